"""Benchmarks that run on one machine: load, policies and cost slopes."""
