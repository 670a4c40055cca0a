"""Plans which partitions a session claims and hands over."""

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

__all__ = [
    "HeldPartition",
    "HeldPartitions",
    "OwnershipPlan",
    "OwnershipPlanner",
    "rank_candidates",
]

MAX_CLAIMS_AT_ONCE = 16
MAX_HANDOVERS_AT_ONCE = 4
REBALANCE_DELAY_S = 3.0
CLAIM_RANK_DELAY_S = 2.0
MIN_WEIGHT = 0.5
MAX_WEIGHT = 2.0

_HASH_RANGE = float(2**64)


def rank_candidates(
    partition: PartitionId, candidates: Sequence[Session]
) -> list[SessionId]:
    """Ranks the candidates for a partition, the preferred owner first.

    Weighted rendezvous hashing: a member that joins or leaves moves only
    its own share. The weights give availability zones of unequal size
    equal shares.

    Args:
        partition: The partition.
        candidates: Sessions that may own partitions.
    """
    members_by_zone = Counter(session.zone for session in candidates)
    even_share = len(candidates) / max(len(members_by_zone), 1)
    scored: list[tuple[float, SessionId]] = []
    for session in candidates:
        weight = even_share / members_by_zone[session.zone]
        weight = min(max(weight, MIN_WEIGHT), MAX_WEIGHT)
        name = f"{session.session}:{partition}"
        uniform = (xxhash.xxh3_64_intdigest(name.encode()) + 1) / (
            _HASH_RANGE + 1
        )
        scored.append((weight / -math.log(uniform), session.session))
    scored.sort(reverse=True)
    return [session for _, session in scored]


@dataclass(slots=True)
class HeldPartition:
    """A partition that this session has claimed.

    Attributes:
        epoch: The claim's offset.
        takeover: Whether the previous owner's lease has to expire first.
        acknowledged_at: When a majority was found to know of the claim.
        active: Whether the session may act on it, given a valid lease.
        released: Whether the session has handed it over.
    """

    epoch: Offset
    takeover: bool
    acknowledged_at: float | None = None
    active: bool = False
    released: bool = False


class HeldPartitions:
    """The partitions that the session has claimed.

    Args:
        lease_s: How long a lease lasts.
        lease_margin_s: Extra wait added before a takeover.
    """

    def __init__(self, *, lease_s: float, lease_margin_s: float) -> None:
        self._takeover_wait_s = lease_s + lease_margin_s
        self.by_partition: dict[PartitionId, HeldPartition] = {}

    def add(self, partition: PartitionId, claim: Claim) -> None:
        """Adds a partition after the session's claim was accepted."""
        self.by_partition[partition] = HeldPartition(
            claim.epoch, claim.takeover
        )

    def remove(self, partition: PartitionId) -> HeldPartition | None:
        """Removes a partition that another session has claimed."""
        return self.by_partition.pop(partition, None)

    def is_active(self, partition: PartitionId) -> bool:
        """Returns whether a partition is active."""
        held = self.by_partition.get(partition)
        return held is not None and held.active

    def deactivate(self, partition: PartitionId) -> bool:
        """Marks a partition as released before its release is written.

        Returns:
            Whether it was active.
        """
        held = self.by_partition.get(partition)
        if held is None or not held.active:
            return False
        held.active = False
        held.released = True
        return True

    def activate_ready(
        self, now: float, majority_acknowledged: Callable[[Offset], bool]
    ) -> list[PartitionId]:
        """Activates the partitions that need not wait any longer.

        A takeover waits until a majority knows of the claim, and from
        then on for as long as a lease granted earlier can last.

        Args:
            now: Monotonic time in seconds.
            majority_acknowledged: Whether a majority knows of an offset.

        Returns:
            The partitions that became active.
        """
        ready: list[PartitionId] = []
        for partition, held in self.by_partition.items():
            if held.active or held.released:
                continue
            if held.takeover and not self._takeover_wait_over(
                held, now, majority_acknowledged
            ):
                continue
            held.active = True
            ready.append(partition)
        return ready

    def _takeover_wait_over(
        self,
        held: HeldPartition,
        now: float,
        majority_acknowledged: Callable[[Offset], bool],
    ) -> bool:
        if held.acknowledged_at is None:
            if not majority_acknowledged(held.epoch):
                return False
            held.acknowledged_at = now
        return now - held.acknowledged_at >= self._takeover_wait_s


@dataclass(frozen=True, slots=True)
class OwnershipPlan:
    """The ownership changes to start now.

    Attributes:
        claims: Claim records to write.
        handovers: Partitions to hand over, with their successors.
    """

    claims: tuple[PartitionClaimed, ...] = ()
    handovers: tuple[tuple[PartitionId, SessionId], ...] = ()


class OwnershipPlanner:
    """Balances the partitions over the members.

    Args:
        session: This session.
        partitions: Number of partitions.
    """

    def __init__(self, session: SessionId, partitions: int) -> None:
        self._session = session
        self._partitions = partitions
        self._claimable_since: dict[PartitionId, float] = {}
        self._ranking_cache: dict[
            tuple[PartitionId, tuple[SessionId, ...]], list[SessionId]
        ] = {}

    def plan(
        self,
        now: float,
        *,
        claims: Claims[PartitionId],
        is_live: Callable[[SessionId], bool],
        candidates: Sequence[Session],
        is_responsive: Callable[[SessionId], bool],
        held_partitions: HeldPartitions,
        claiming: frozenset[PartitionId],
        handing_over: frozenset[PartitionId],
        stable_since: float,
        draining: bool,
    ) -> OwnershipPlan:
        """Returns which partitions to claim and which to hand over.

        Args:
            now: Monotonic time in seconds.
            claims: The newest claim on each partition.
            is_live: Whether a session is live.
            candidates: Sessions that may own partitions.
            is_responsive: Whether a session answers heartbeats.
            held_partitions: The partitions this session has claimed.
            claiming: Partitions with a claim in flight.
            handing_over: Partitions with a handover in progress.
            stable_since: When the candidates last changed.
            draining: Whether this session hands over all its partitions.
        """
        if draining:
            others = [c for c in candidates if c.session != self._session]
            handovers = self._handovers(
                others,
                is_responsive,
                held_partitions,
                handing_over,
                limit=self._partitions,
            )
            return OwnershipPlan(handovers=handovers)
        wanted = self._claims(now, claims, is_live, candidates, claiming)
        if now - stable_since < REBALANCE_DELAY_S:
            return OwnershipPlan(claims=wanted)
        handovers = self._handovers(
            candidates,
            is_responsive,
            held_partitions,
            handing_over,
            limit=MAX_HANDOVERS_AT_ONCE - len(handing_over),
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
                self._claimable_since.pop(partition, None)
                continue
            if len(wanted) + len(claiming) >= MAX_CLAIMS_AT_ONCE:
                continue
            if partition in claiming:
                continue
            if _successor_of(claims, partition) == self._session:
                continue
            if self._claim_delay_over(now, partition, candidates):
                previous = claims.epoch(partition)
                wanted.append(PartitionClaimed(partition, previous))
        return tuple(wanted)

    def _claim_delay_over(
        self,
        now: float,
        partition: PartitionId,
        candidates: Sequence[Session],
    ) -> bool:
        since = self._claimable_since.setdefault(partition, now)
        ranked = self._rank(partition, candidates)
        if self._session not in ranked:
            return False
        position = ranked.index(self._session)
        return now - since >= position * CLAIM_RANK_DELAY_S

    def _handovers(
        self,
        candidates: Sequence[Session],
        is_responsive: Callable[[SessionId], bool],
        held_partitions: HeldPartitions,
        handing_over: frozenset[PartitionId],
        *,
        limit: int,
    ) -> tuple[tuple[PartitionId, SessionId], ...]:
        reachable = [c for c in candidates if is_responsive(c.session)]
        found: list[tuple[PartitionId, SessionId]] = []
        for partition, held in held_partitions.by_partition.items():
            if len(found) >= limit:
                break
            if not held.active or partition in handing_over or not reachable:
                continue
            best = self._rank(partition, reachable)[0]
            if best != self._session:
                found.append((partition, best))
        return tuple(found)

    def _rank(
        self, partition: PartitionId, candidates: Sequence[Session]
    ) -> list[SessionId]:
        names = tuple(candidate.session for candidate in candidates)
        found = self._ranking_cache.get((partition, names))
        if found is None:
            if len(self._ranking_cache) >= 2 * self._partitions:
                self._ranking_cache.clear()
            found = rank_candidates(partition, candidates)
            self._ranking_cache[partition, names] = found
        return found

    def _all_partitions(self) -> Iterable[PartitionId]:
        for number in range(self._partitions):
            yield PartitionId(number)


def _successor_of(
    claims: Claims[PartitionId], partition: PartitionId
) -> SessionId:
    claim = claims.by_key.get(partition)
    return NO_SESSION if claim is None else claim.successor
