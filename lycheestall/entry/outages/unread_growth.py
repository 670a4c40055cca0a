"""Limits what a VM allocates before another VM has read its records."""

from __future__ import annotations

from typing import Any

from ..token_allocator import TokenAllocator
from ..token_ledger import AllocationWrite
from .ledger_readers import LedgerReaders

__all__ = ["UnreadGrowth"]


class UnreadGrowth:
    """Lets a peer read records that allocate over half of a budget at once.

    Otherwise such records could be known to one VM only when the store becomes
    unavailable.

    Args:
        allocator: Token budgets of this VM.
        readers: Asks peers to read the ledger.
        clock: Provides the time.
    """

    def __init__(
        self, *, allocator: TokenAllocator, readers: LedgerReaders, clock: Any
    ) -> None:
        self._allocator = allocator
        self._readers = readers
        self._clock = clock

    async def may_use(self, writes: list[AllocationWrite]) -> bool:
        """Notes records that were read back; returns whether to use them.

        They are not used if no peer at all has replied, as after a suspension
        of this VM. They are written again then, and used after the window.

        Args:
            writes: The records.
        """
        now = self._clock.seconds()
        states = [
            (state, write.allocation.limit)
            for write in writes
            if (state := self._allocator.state_of(write.program)) is not None
        ]
        growing = [state.grows_unread(limit, now) for state, limit in states]
        if not any(growing):
            return True
        if not await self._readers.confirm():
            return False
        now = self._clock.seconds()
        for state, limit in states:
            state.recent_limits = [(now, limit)]
        return True
