"""Which partitions a session claims, gives away and may act on."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from .claims import NO_SESSION, Claim, Claims
from .ids import Offset, PartitionId, SessionId
from .records import PartitionClaimed
from .sessions import Session

__all__ = ["Holding", "Holdings", "Ownership", "OwnershipPlan", "rank"]

MAX_CLAIMS_AT_ONCE = 16
MAX_HANDOVERS_AT_ONCE = 4
SETTLE_S = 3.0
ORPHAN_RANK_DELAY_S = 2.0
MIN_WEIGHT = 0.5
MAX_WEIGHT = 2.0

_HASH_RANGE = float(2**64)


def rank(
    partition: PartitionId, candidates: Sequence[Session]
) -> list[SessionId]:
    """Returns the candidates for a partition, the best first.

    Weighted rendezvous hashing: a member that comes or goes moves only
    its own share. Weights even out availability zones of unequal size.

    Args:
        partition: The partition.
        candidates: Sessions that may own partitions.
    """
    members_by_zone = Counter(session.zone for session in candidates)
    even = len(candidates) / max(len(members_by_zone), 1)
    scored: list[tuple[float, SessionId]] = []
    for session in candidates:
        weight = even / members_by_zone[session.zone]
        weight = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
        name = f"{session.session}:{partition}"
        point = (xxhash.xxh3_64_intdigest(name.encode()) + 1) / (
            _HASH_RANGE + 1
        )
        scored.append((weight / -math.log(point), session.session))
    scored.sort(reverse=True)
    return [session for _, session in scored]


@dataclass(slots=True)
class Holding:
    """A partition that this session has claimed.

    Attributes:
        epoch: The claim's offset.
        takeover: Whether a former owner's lease has to run out first.
        known_at: When a majority was found to know of the claim.
        acting: Whether the session may act on it.
        released: Whether the session has given it away.
    """

    epoch: Offset
    takeover: bool
    known_at: float | None = None
    acting: bool = False
    released: bool = False


class Holdings:
    """The session's own claims and the waits of its takeovers.

    Args:
        lease_s: How long authority lasts.
        lease_margin_s: What is waited on top.
    """

    def __init__(self, *, lease_s: float, lease_margin_s: float) -> None:
        self._wait_s = lease_s + lease_margin_s
        self.by_partition: dict[PartitionId, Holding] = {}

    def claimed(self, partition: PartitionId, claim: Claim) -> None:
        """Takes an own claim that was read back as accepted."""
        self.by_partition[partition] = Holding(claim.epoch, claim.takeover)

    def lost(self, partition: PartitionId) -> Holding | None:
        """Takes the news that the partition is another's now."""
        return self.by_partition.pop(partition, None)

    def acting(self, partition: PartitionId) -> bool:
        """Returns whether the waits for a partition are over."""
        holding = self.by_partition.get(partition)
        return holding is not None and holding.acting

    def stop_acting(self, partition: PartitionId) -> bool:
        """Ends acting on a partition before it is released.

        Returns:
            Whether the session was acting on it.
        """
        holding = self.by_partition.get(partition)
        if holding is None or not holding.acting:
            return False
        holding.acting = False
        holding.released = True
        return True

    def ready(
        self, now: float, majority_knows: Callable[[Offset], bool]
    ) -> list[PartitionId]:
        """Returns partitions whose waits have just ended.

        A takeover waits until a majority knows of the claim, and from
        then on for as long as any lease given before can last.

        Args:
            now: Monotonic time in seconds.
            majority_knows: Whether a majority knows of an offset.
        """
        ready: list[PartitionId] = []
        for partition, holding in self.by_partition.items():
            if holding.acting or holding.released:
                continue
            if holding.takeover and not self._waited(
                holding, now, majority_knows
            ):
                continue
            holding.acting = True
            ready.append(partition)
        return ready

    def _waited(
        self,
        holding: Holding,
        now: float,
        majority_knows: Callable[[Offset], bool],
    ) -> bool:
        if holding.known_at is None:
            if not majority_knows(holding.epoch):
                return False
            holding.known_at = now
        return now - holding.known_at >= self._wait_s


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """What to do about ownership now.

    Attributes:
        claims: Records to write.
        handovers: Partitions to give away, with their successors.
    """

    claims: tuple[PartitionClaimed, ...] = ()
    handovers: tuple[tuple[PartitionId, SessionId], ...] = ()


class Ownership:
    """Spreads the partitions over the members.

    Args:
        session: The session that plans.
        partitions: How many partitions there are.
    """

    def __init__(self, session: SessionId, partitions: int) -> None:
        self._session = session
        self._partitions = partitions
        self._unowned_since: dict[PartitionId, float] = {}
        self._ranked: dict[
            tuple[PartitionId, tuple[SessionId, ...]], list[SessionId]
        ] = {}

    def plan(
        self,
        now: float,
        *,
        claims: Claims[PartitionId],
        is_live: Callable[[SessionId], bool],
        candidates: Sequence[Session],
        responsive: Callable[[SessionId], bool],
        holdings: Holdings,
        claiming: frozenset[PartitionId],
        handing: frozenset[PartitionId],
        stable_since: float,
        draining: bool,
    ) -> OwnershipPlan:
        """Returns what to claim and what to give away.

        Args:
            now: Monotonic time in seconds.
            claims: The folded claims.
            is_live: Whether a session is live.
            candidates: Sessions that may own partitions.
            responsive: Whether a session answers heartbeats.
            holdings: This session's own claims.
            claiming: Partitions whose claim is on its way.
            handing: Partitions whose handover is on its way.
            stable_since: When the candidates last changed.
            draining: Whether this session gives everything away.
        """
        if draining:
            others = [c for c in candidates if c.session != self._session]
            handovers = self._handovers(
                others, responsive, holdings, handing, limit=self._partitions
            )
            return OwnershipPlan(handovers=handovers)
        wanted = self._claims(now, claims, is_live, candidates, claiming)
        if now - stable_since < SETTLE_S:
            return OwnershipPlan(claims=wanted)
        handovers = self._handovers(
            candidates,
            responsive,
            holdings,
            handing,
            limit=MAX_HANDOVERS_AT_ONCE - len(handing),
        )
        return OwnershipPlan(wanted, handovers)

    def _claims(
        self,
        now: float,
        claims: Claims[PartitionId],
        is_live: Callable[[SessionId], bool],
        candidates: Sequence[Session],
        claiming: frozenset[PartitionId],
    ) -> tuple[PartitionClaimed, ...]:
        wanted: list[PartitionClaimed] = []
        for partition in self._all_partitions():
            if not claims.claimable(partition, self._session, is_live):
                self._unowned_since.pop(partition, None)
                continue
            if len(wanted) + len(claiming) >= MAX_CLAIMS_AT_ONCE:
                continue
            if partition in claiming:
                continue
            if _given_to(claims, partition) == self._session:
                continue
            if self._turn_has_come(now, partition, candidates):
                previous = claims.epoch(partition)
                wanted.append(PartitionClaimed(partition, previous))
        return tuple(wanted)

    def _turn_has_come(
        self,
        now: float,
        partition: PartitionId,
        candidates: Sequence[Session],
    ) -> bool:
        since = self._unowned_since.setdefault(partition, now)
        ranked = self._rank(partition, candidates)
        if self._session not in ranked:
            return False
        turn = ranked.index(self._session)
        return now - since >= turn * ORPHAN_RANK_DELAY_S

    def _handovers(
        self,
        candidates: Sequence[Session],
        responsive: Callable[[SessionId], bool],
        holdings: Holdings,
        handing: frozenset[PartitionId],
        *,
        limit: int,
    ) -> tuple[tuple[PartitionId, SessionId], ...]:
        reachable = [c for c in candidates if responsive(c.session)]
        found: list[tuple[PartitionId, SessionId]] = []
        for partition, holding in holdings.by_partition.items():
            if len(found) >= limit:
                break
            if not holding.acting or partition in handing or not reachable:
                continue
            best = self._rank(partition, reachable)[0]
            if best != self._session:
                found.append((partition, best))
        return tuple(found)

    def _rank(
        self, partition: PartitionId, candidates: Sequence[Session]
    ) -> list[SessionId]:
        names = tuple(candidate.session for candidate in candidates)
        found = self._ranked.get((partition, names))
        if found is None:
            if len(self._ranked) >= 2 * self._partitions:
                self._ranked.clear()
            found = rank(partition, candidates)
            self._ranked[partition, names] = found
        return found

    def _all_partitions(self) -> Iterable[PartitionId]:
        for number in range(self._partitions):
            yield PartitionId(number)


def _given_to(
    claims: Claims[PartitionId], partition: PartitionId
) -> SessionId:
    claim = claims.by_key.get(partition)
    return NO_SESSION if claim is None else claim.successor
