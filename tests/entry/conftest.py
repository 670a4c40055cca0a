"""Fixtures of the entry VM's tests."""

from __future__ import annotations

import pytest

from tests.entry.entry_world import EntryWorld


@pytest.fixture
def world() -> EntryWorld:
    """A VM whose store has a configuration and no target."""
    return EntryWorld()
