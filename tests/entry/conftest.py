"""Fixtures for tests of the entry VM."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness


@pytest.fixture
def harness() -> EntryVmHarness:
    """A VM whose store has a configuration and no targets."""
    return EntryVmHarness()
