"""Ownership of partitions and targets, computed from the log."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Generic, TypeVar, cast

from .fold import FoldPart, Verdict
from .ids import Offset, PartitionId, SessionId, TargetId
from .records import NO_OFFSET

__all__ = ["Claim", "Claims", "TargetClaims"]

NO_SESSION = SessionId("")

KeyT = TypeVar("KeyT", PartitionId, TargetId)


@dataclass(frozen=True, slots=True)
class Claim:
    """The newest valid claim on a partition or target.

    Attributes:
        epoch: The claim's offset, used as fencing token.
        owner: The session that made the claim.
        takeover: Whether the previous owner ended without a release, so
            that its lease has to expire before the new owner may act.
        successor: The session to which the owner released it, or empty.
    """

    epoch: Offset
    owner: SessionId
    takeover: bool
    successor: SessionId = NO_SESSION


class Claims(FoldPart, Generic[KeyT]):
    """The newest claim on each key."""

    def __init__(self) -> None:
        self._by_key: dict[KeyT, Claim] = {}

    @property
    def by_key(self) -> Mapping[KeyT, Claim]:
        """The newest claim of each key that was ever claimed."""
        return self._by_key

    def epoch(self, key: KeyT) -> Offset:
        """Returns the newest claim's offset, -1 if there is none."""
        claim = self._by_key.get(key)
        return NO_OFFSET if claim is None else claim.epoch

    def holds(self, key: KeyT, session: SessionId, epoch: Offset) -> bool:
        """Returns whether a session holds a key under an epoch.

        Args:
            key: A partition or target.
            session: The session.
            epoch: The offset of the session's claim.
        """
        claim = self._by_key.get(key)
        if claim is None or claim.successor != NO_SESSION:
            return False
        return claim.owner == session and claim.epoch == epoch

    def claimable(
        self,
        key: KeyT,
        session: SessionId,
        is_live: Callable[[SessionId], bool],
    ) -> bool:
        """Returns whether a session's claim would be valid now."""
        claim = self._by_key.get(key)
        if claim is None:
            return True
        if claim.successor == NO_SESSION:
            return not is_live(claim.owner)
        return claim.successor == session or not is_live(claim.successor)

    def claim(
        self,
        offset: Offset,
        writer: SessionId,
        key: KeyT,
        previous: Offset,
        is_live: Callable[[SessionId], bool],
    ) -> Verdict:
        """Applies a claim record of a live session."""
        previous_claim = self._by_key.get(key)
        if previous != self.epoch(key):
            return Verdict(False, "another claim came first")
        if not self.claimable(key, writer, is_live):
            return Verdict(
                False, "the owner's session is live and has not released this"
            )
        takeover = (
            previous_claim is not None
            and previous_claim.successor == NO_SESSION
        )
        self._by_key[key] = Claim(offset, writer, takeover)
        return Verdict(True)

    def release(
        self,
        writer: SessionId,
        key: KeyT,
        epoch: Offset,
        successor: SessionId,
    ) -> Verdict:
        """Applies a release record of a live session."""
        if not self.holds(key, writer, epoch):
            return Verdict(
                False, "the writer does not own this under this epoch"
            )
        if successor in (NO_SESSION, writer):
            return Verdict(
                False, "the release names no other session as successor"
            )
        released = replace(self._by_key[key], successor=successor)
        self._by_key[key] = released
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state as CBOR-encodable values."""
        return [
            [key, claim.epoch, claim.owner, claim.takeover, claim.successor]
            for key, claim in self._by_key.items()
        ]

    def load(self, state: object) -> None:
        """Replaces the state."""
        self._by_key = {}
        for key, epoch, owner, takeover, successor in cast(list[Any], state):
            self._by_key[key] = Claim(epoch, owner, takeover, successor)


class TargetClaims(Claims[TargetId]):
    """The newest claim on each target that accepts orders."""
