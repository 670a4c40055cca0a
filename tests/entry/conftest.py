"""Fixtures of the entry VM's tests."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness


@pytest.fixture
def world() -> EntryVmHarness:
    """A VM whose store has a configuration and no target."""
    return EntryVmHarness()
