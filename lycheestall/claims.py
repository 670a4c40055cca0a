"""Who owns what, as the log says; one class for partitions and targets."""

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
    """The newest valid claim on something.

    Attributes:
        epoch: The claim's offset, the fencing number.
        owner: Who made it.
        takeover: Whether the former owner ended without releasing, so
            that its lease has to run out before the owner acts.
        successor: To whom the owner has released it, or empty.
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
        """Returns the newest claim's offset, -1 when there is none."""
        claim = self._by_key.get(key)
        return NO_OFFSET if claim is None else claim.epoch

    def holds(self, key: KeyT, session: SessionId, epoch: Offset) -> bool:
        """Returns whether a session holds a key under an epoch.

        Args:
            key: A partition or target.
            session: The session that acts.
            epoch: The claim offset it acts under.
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
        """Takes a claim record of a live session."""
        former = self._by_key.get(key)
        if previous != self.epoch(key):
            return Verdict(False, "another claim came first")
        if not self.claimable(key, writer, is_live):
            return Verdict(False, "the owner is live and has not released")
        takeover = former is not None and former.successor == NO_SESSION
        self._by_key[key] = Claim(offset, writer, takeover)
        return Verdict(True)

    def release(
        self,
        writer: SessionId,
        key: KeyT,
        epoch: Offset,
        successor: SessionId,
    ) -> Verdict:
        """Takes a release record of a live session."""
        if not self.holds(key, writer, epoch):
            return Verdict(False, "the writer does not hold this")
        if successor in (NO_SESSION, writer):
            return Verdict(False, "no successor named")
        released = replace(self._by_key[key], successor=successor)
        self._by_key[key] = released
        return Verdict(True)

    def dump(self) -> object:
        """Returns the state as primitives."""
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
    """The newest claim on each target that takes orders."""
