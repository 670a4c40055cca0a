"""Adapter for the platform: its headers, settings file and store."""
