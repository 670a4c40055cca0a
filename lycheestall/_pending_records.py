"""Records of one writer that have not been read back yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .cell_view import Folded
from .codec import encode_record
from .fold import Verdict
from .ids import Offset, SessionId
from .records import Record, RulesRecord

__all__ = ["PendingRecords"]


@dataclass(slots=True)
class _Pending:
    sequence: int
    payload: bytes
    done: Deferred[Folded]
    sent: bool = False


class PendingRecords:
    """Numbers records and keeps them until they are read back.

    Args:
        writer: The session that writes them.
    """

    def __init__(self, writer: SessionId) -> None:
        self._writer = writer
        self._sequence = 0
        self._pending: deque[_Pending] = deque()

    def __len__(self) -> int:
        """Returns how many records wait."""
        return len(self._pending)

    def add(self, body: RulesRecord) -> Deferred[Folded]:
        """Numbers a record; the result fires once it is read back.

        Args:
            body: What to write.
        """
        self._sequence += 1
        record = Record(self._writer, self._sequence, body)
        done: Deferred[Folded] = Deferred(self._drop)
        payload = encode_record(record)
        self._pending.append(_Pending(self._sequence, payload, done))
        return done

    def send(self) -> list[bytes]:
        """Returns the payloads of all that waits, as sent from now on."""
        for pending in self._pending:
            pending.sent = True
        return [pending.payload for pending in self._pending]

    def sent(self, done: Deferred[Folded]) -> bool:
        """Returns whether a record that waits may be in the log.

        Args:
            done: What ``add`` returned.
        """
        return any(p.sent for p in self._pending if p.done is done)

    def settle(self, offset: Offset, sequence: int, verdict: Verdict) -> None:
        """Fires a record that was read back.

        Args:
            offset: Where it is.
            sequence: Its number.
            verdict: What the fold made of it.
        """
        while self._pending and self._pending[0].sequence <= sequence:
            pending = self._pending.popleft()
            if pending.sequence == sequence:
                pending.done.callback(Folded(offset, verdict))
            else:
                pending.done.cancel()

    def _drop(self, done: Deferred[Folded]) -> None:
        kept = [p for p in self._pending if p.done is not done]
        self._pending = deque(kept)
