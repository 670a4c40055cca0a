"""The lease that allows a session to act on the partitions it owns."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .ids import Offset, SessionId, StreamName
from .records import NO_OFFSET

__all__ = ["Authority"]

NEVER = float("-inf")
MIN_PEER_LEASE_MEMBERS = 3
MAX_PENDING_REPLIES = 8


@dataclass(frozen=True, slots=True)
class _Reply:
    sent_at: float
    newest_by_stream: Mapping[StreamName, Offset]


class Authority:
    """A session's lease, computed from when its requests were sent.

    All times are readings of one monotonic clock, in seconds. The lease
    lasts ``lease_s`` from the later of two times:

    - Confirmed by the log: the earliest of the send time of the newest
      accepted renewal and, for each other stream, the send time of the
      newest read that returned no new records.
    - Confirmed by the peers: the newest time such that heartbeats sent
      no earlier were answered by a majority of the members, and those
      knew of no record, in any stream, that is not folded here. A cell
      of fewer than three members has no peer lease.

    Args:
        session: The session whose lease this is.
        renewed_stream: The stream that holds the session's renewals.
        other_streams: Further streams that have to be up to date.
        lease_s: How long the lease lasts after a confirmation.
    """

    def __init__(
        self,
        session: SessionId,
        renewed_stream: StreamName,
        other_streams: Iterable[StreamName] = (),
        *,
        lease_s: float,
    ) -> None:
        self._session = session
        self._renewed_stream = renewed_stream
        self._lease_s = lease_s
        self._log_confirmed_at_by_stream = {renewed_stream: NEVER}
        self._folded_by_stream = {renewed_stream: NO_OFFSET}
        for stream in other_streams:
            self._log_confirmed_at_by_stream[stream] = NEVER
            self._folded_by_stream[stream] = NO_OFFSET
        self._members: frozenset[SessionId] = frozenset()
        self._peer_confirmed_at_by_member: dict[SessionId, float] = {}
        self._pending_replies_by_member: dict[SessionId, deque[_Reply]] = {}
        self._valid_until = NEVER

    @property
    def valid_until(self) -> float:
        """When the lease ends."""
        return self._valid_until

    def holds(self, now: float) -> bool:
        """Returns whether the lease is valid at a time."""
        return now < self._valid_until

    def set_members(self, members: frozenset[SessionId]) -> None:
        """Sets the members of the cell, as folded here."""
        self._members = members
        self._update()

    def on_renewed(self, sent_at: float) -> None:
        """Extends the log lease after an accepted renewal.

        Args:
            sent_at: When it was sent, or earlier.
        """
        self._confirm_by_log(self._renewed_stream, sent_at)

    def on_up_to_date(self, stream: StreamName, sent_at: float) -> None:
        """Extends the log lease after a read without new records.

        Args:
            stream: The stream that was read.
            sent_at: When the read was sent.
        """
        if stream != self._renewed_stream:
            self._confirm_by_log(stream, sent_at)

    def on_folded(self, stream: StreamName, offset: Offset) -> None:
        """Records the newest offset folded here from a stream."""
        if stream not in self._folded_by_stream:
            return
        self._folded_by_stream[stream] = offset
        changed = False
        for member, replies in self._pending_replies_by_member.items():
            if replies and self._confirm_by_replies(member, replies):
                changed = True
        if changed:
            self._update()

    def on_reply(
        self,
        member: SessionId,
        sent_at: float,
        newest_by_stream: Mapping[StreamName, Offset],
    ) -> None:
        """Extends the peer lease by a member's heartbeat reply.

        A reply that knows of newer records counts once those are folded.


        Args:
            member: The replier's session.
            sent_at: When the heartbeat was sent.
            newest_by_stream: The newest offsets the replier knows of.
        """
        replies = self._pending_replies_by_member.setdefault(
            member, deque(maxlen=MAX_PENDING_REPLIES)
        )
        replies.append(_Reply(sent_at, newest_by_stream))
        if self._confirm_by_replies(member, replies):
            self._update()

    def forget(self, member: SessionId) -> None:
        """Drops the state of an ended session."""
        self._pending_replies_by_member.pop(member, None)
        self._peer_confirmed_at_by_member.pop(member, None)

    def _confirm_by_log(self, stream: StreamName, sent_at: float) -> None:
        newest = max(self._log_confirmed_at_by_stream[stream], sent_at)
        self._log_confirmed_at_by_stream[stream] = newest
        self._update()

    def _confirm_by_replies(
        self, member: SessionId, replies: deque[_Reply]
    ) -> bool:
        """Counts the replies that know of no record not yet folded."""
        confirmed = False
        while replies and self._is_covered(replies[0]):
            sent_at = replies.popleft().sent_at
            known = self._peer_confirmed_at_by_member.get(member, NEVER)
            self._peer_confirmed_at_by_member[member] = max(known, sent_at)
            confirmed = True
        return confirmed

    def _is_covered(self, reply: _Reply) -> bool:
        for stream, folded in self._folded_by_stream.items():
            if reply.newest_by_stream.get(stream, NO_OFFSET) > folded:
                return False
        return True

    def _update(self) -> None:
        lease_start = max(
            min(self._log_confirmed_at_by_stream.values()),
            self._majority_confirmed_at(),
        )
        self._valid_until = lease_start + self._lease_s

    def _majority_confirmed_at(self) -> float:
        count = len(self._members)
        if count < MIN_PEER_LEASE_MEMBERS:
            return NEVER
        if self._session not in self._members:
            return NEVER
        confirmed_at: list[float] = []
        for member in self._members:
            if member != self._session:
                confirmed_at.append(
                    self._peer_confirmed_at_by_member.get(member, NEVER)
                )
        confirmed_at.sort(reverse=True)
        return confirmed_at[count // 2 - 1]
