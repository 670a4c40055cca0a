"""Until when an owner may act: the log lease and the peer lease."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from .ids import Offset, SessionId, StreamName
from .records import NO_OFFSET

__all__ = ["Authority"]

NEVER = float("-inf")
MIN_PEER_LEASE_MEMBERS = 3
MAX_OPEN_REPLIES = 8


@dataclass(frozen=True, slots=True)
class _Reply:
    sent_at: float
    newest_by_stream: Mapping[StreamName, Offset]


class Authority:
    """A session's lease, worked out from times at which it asked.

    All times are readings of one monotonic clock, in seconds. The lease
    lasts ``lease_s`` from the later of two times:

    - the log's word: the earlier of when the newest accepted renewal
      was sent and when each other stream was asked and had nothing new;
    - the peers' word: the newest time by which a majority of the
      members had been asked and knew of no record, in any stream, that
      is not folded here. A cell of fewer than three has no such lease.

    Args:
        session: The session whose lease this is.
        renewed_stream: The stream that holds the session's renewals.
        other_streams: Streams this VM has to be up to date with.
        lease_s: How long each word is good for.
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
        self._log_word_by_stream = {renewed_stream: NEVER}
        self._folded_by_stream = {renewed_stream: NO_OFFSET}
        for stream in other_streams:
            self._log_word_by_stream[stream] = NEVER
            self._folded_by_stream[stream] = NO_OFFSET
        self._members: frozenset[SessionId] = frozenset()
        self._word_by_member: dict[SessionId, float] = {}
        self._open_by_member: dict[SessionId, deque[_Reply]] = {}
        self._valid_until = NEVER

    @property
    def valid_until(self) -> float:
        """When the lease ends."""
        return self._valid_until

    def holds(self, now: float) -> bool:
        """Returns whether the session may act at a time."""
        return now < self._valid_until

    def configure(self, members: frozenset[SessionId]) -> None:
        """Takes the members of the cell, as folded here."""
        self._members = members
        self._update()

    def renewed(self, sent_at: float) -> None:
        """Takes an accepted renewal.

        Args:
            sent_at: When it was sent, or earlier.
        """
        self._hear_log(self._renewed_stream, sent_at)

    def up_to_date(self, stream: StreamName, sent_at: float) -> None:
        """Takes the log's answer that another stream has nothing new.

        Args:
            stream: The stream that was read.
            sent_at: When the read was sent.
        """
        if stream != self._renewed_stream:
            self._hear_log(stream, sent_at)

    def folded(self, stream: StreamName, offset: Offset) -> None:
        """Takes how far a stream is folded here."""
        if stream not in self._folded_by_stream:
            return
        self._folded_by_stream[stream] = offset
        changed = False
        for member, replies in self._open_by_member.items():
            if replies and self._settle(member, replies):
                changed = True
        if changed:
            self._update()

    def replied(
        self,
        member: SessionId,
        sent_at: float,
        newest_by_stream: Mapping[StreamName, Offset],
    ) -> None:
        """Takes a member's heartbeat reply.

        Args:
            member: The replier's session.
            sent_at: When the heartbeat was sent.
            newest_by_stream: The newest offsets the replier knows of.
        """
        replies = self._open_by_member.setdefault(
            member, deque(maxlen=MAX_OPEN_REPLIES)
        )
        replies.append(_Reply(sent_at, newest_by_stream))
        if self._settle(member, replies):
            self._update()

    def forget(self, member: SessionId) -> None:
        """Drops what is kept of an ended session."""
        self._open_by_member.pop(member, None)
        self._word_by_member.pop(member, None)

    def _hear_log(self, stream: StreamName, sent_at: float) -> None:
        newest = max(self._log_word_by_stream[stream], sent_at)
        self._log_word_by_stream[stream] = newest
        self._update()

    def _settle(self, member: SessionId, replies: deque[_Reply]) -> bool:
        """Counts the replies that tell of nothing newer than folded."""
        settled = False
        while replies and self._covers(replies[0]):
            sent_at = replies.popleft().sent_at
            known = self._word_by_member.get(member, NEVER)
            self._word_by_member[member] = max(known, sent_at)
            settled = True
        return settled

    def _covers(self, reply: _Reply) -> bool:
        for stream, folded in self._folded_by_stream.items():
            if reply.newest_by_stream.get(stream, NO_OFFSET) > folded:
                return False
        return True

    def _update(self) -> None:
        word = max(min(self._log_word_by_stream.values()), self._peer_word())
        self._valid_until = word + self._lease_s

    def _peer_word(self) -> float:
        count = len(self._members)
        if count < MIN_PEER_LEASE_MEMBERS:
            return NEVER
        if self._session not in self._members:
            return NEVER
        words: list[float] = []
        for member in self._members:
            if member != self._session:
                words.append(self._word_by_member.get(member, NEVER))
        words.sort(reverse=True)
        return words[count // 2 - 1]
