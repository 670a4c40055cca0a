"""Fixtures shared by all tests."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None
)
settings.load_profile("fixed")
