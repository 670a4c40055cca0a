"""Experiments on one machine: loads, baselines, slopes, their reports."""
