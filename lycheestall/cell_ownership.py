"""Claims, takeovers and handovers of one session."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .cell_fold import CellFold
from .cell_view import Folded, PartitionWatcher
from .clock import Clock
from .handover import HandoverGiver, HandoverTaker
from .ids import Offset, PartitionId, SessionId, VmId
from .membership import Membership
from .mesh import Mesh
from .messages import PartitionGiven
from .ownership import Holdings, Ownership
from .records import (
    NO_OFFSET,
    CellRecord,
    PartitionClaimed,
    PartitionReleased,
)
from .settings import TuningSettings

__all__ = ["CellOwnership"]


@dataclass(frozen=True, slots=True)
class _Gain:
    """What the watcher is told when a claim comes into effect."""

    handed: dict[str, bytes]
    unproven: bool


class CellOwnership:
    """Owns partitions for a session and tells the watcher.

    Args:
        session: The session.
        tuning: Times and sizes.
        fold: The cell's state.
        mesh: Reaches the peers.
        clock: Monotonic time.
        watcher: Hears of partitions gained and lost.
        membership: What is known of the members.
        submit: Writes a record under the session.
    """

    def __init__(
        self,
        session: SessionId,
        *,
        tuning: TuningSettings,
        fold: CellFold,
        mesh: Mesh,
        clock: Clock,
        watcher: PartitionWatcher,
        membership: Membership,
        submit: Callable[[CellRecord], Deferred[Folded]],
    ) -> None:
        self.holdings = Holdings(
            lease_s=tuning.lease_s, lease_margin_s=tuning.lease_margin_s
        )
        self._session = session
        self._fold = fold
        self._clock = clock
        self._watcher = watcher
        self._membership = membership
        self._submit = submit
        self._ownership = Ownership(session, tuning.partitions)
        self._giver = HandoverGiver(
            mesh,
            submit=submit,
            quiesce=watcher.quiesce,
            stop_acting=self.holdings.stop_acting,
            vm_of=self._live_vm,
        )
        self._taker = HandoverTaker(mesh)
        self._claiming: set[PartitionId] = set()
        self._gain_by_partition: dict[PartitionId, _Gain] = {}
        self._candidates: tuple[SessionId, ...] = ()
        self._stable_since = clock.seconds()
        self._quiet_by_partition: dict[PartitionId, bool] = {}

    @property
    def handing(self) -> frozenset[PartitionId]:
        """The partitions being given away."""
        return self._giver.under_way()

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Takes live state of a partition that a peer hands over."""
        self._taker.on_given(peer, message)

    def on_released(self, body: PartitionReleased) -> None:
        """Takes an accepted release."""
        if body.successor == self._session:
            self._taker.released(body.partition, self._clock.seconds())

    def on_claimed(self, writer: SessionId, body: PartitionClaimed) -> None:
        """Takes an accepted claim of any session."""
        partition = body.partition
        if partition in self.holdings.by_partition:
            self._lose(partition)
        if writer != self._session:
            self._taker.forget(partition)
            return
        claim = self._fold.claims.by_key[partition]
        given = self._taker.take(partition, body.previous)
        unproven = given is None and body.previous != NO_OFFSET
        handed = {} if given is None else given.programs
        self._gain_by_partition[partition] = _Gain(handed, unproven)
        self.holdings.claimed(partition, claim)
        self._taker.confirm(partition, claim)

    def act(self, *, draining: bool, log_silent: bool) -> None:
        """Does what is due now.

        Args:
            draining: Whether everything is to be given away.
            log_silent: Whether no handover can be begun.
        """
        now = self._clock.seconds()
        self._claim_released(now)
        self._gain(now)
        self._plan(now, draining=draining, log_silent=log_silent)

    def drained(self, *, hopeless: bool) -> bool:
        """Returns whether nothing is left to give away.

        Without another member to give to, partitions are only quiesced.

        Args:
            hopeless: Whether nobody can take over, since releases are
                not read back.
        """
        held = [
            partition
            for partition, holding in self.holdings.by_partition.items()
            if holding.acting or holding.released
        ]
        if not held:
            return True
        others = any(name != self._session for name in self._candidates)
        if others and not hopeless:
            return False
        released = self._giver.released
        for partition in held:
            if partition in released or partition in self._quiet_by_partition:
                continue
            self._quiesce_alone(partition)
        return all(
            partition in released or self._quiet_by_partition[partition]
            for partition in held
        )

    def end(self) -> None:
        """Loses everything, at the end of the session."""
        for partition in list(self.holdings.by_partition):
            self._lose(partition)

    def _claim_released(self, now: float) -> None:
        for partition in self._taker.ready(now):
            claim = self._fold.claims.by_key.get(partition)
            if claim is None or claim.successor != self._session:
                self._taker.forget(partition)
                continue
            self._claim(PartitionClaimed(partition, claim.epoch))

    def _gain(self, now: float) -> None:
        def majority_knows(offset: Offset) -> bool:
            sessions = self._fold.sessions
            return self._membership.majority_knows(sessions, offset)

        for partition in self.holdings.ready(now, majority_knows):
            holding = self.holdings.by_partition[partition]
            gain = self._gain_by_partition.pop(partition)
            self._watcher.gained(
                partition,
                holding.epoch,
                handed=gain.handed,
                unproven=gain.unproven,
            )

    def _plan(self, now: float, *, draining: bool, log_silent: bool) -> None:
        sessions = self._fold.sessions
        candidates = self._membership.candidates(sessions)
        names = tuple(candidate.session for candidate in candidates)
        if names != self._candidates:
            self._candidates = names
            self._stable_since = now
        plan = self._ownership.plan(
            now,
            claims=self._fold.claims,
            is_live=sessions.is_live,
            candidates=candidates,
            responsive=lambda name: self._membership.responsive(name, now),
            holdings=self.holdings,
            claiming=frozenset(self._claiming),
            handing=self._giver.under_way(),
            stable_since=self._stable_since,
            draining=draining,
        )
        for body in plan.claims:
            self._claim(body)
        if log_silent:
            return
        for partition, successor in plan.handovers:
            holding = self.holdings.by_partition[partition]
            self._giver.begin(partition, holding.epoch, successor)

    def _claim(self, body: PartitionClaimed) -> None:
        if body.partition in self._claiming:
            return
        self._claiming.add(body.partition)
        self._submit(body).addCallback(self._claim_written, body.partition)

    def _claim_written(self, folded: Folded, partition: PartitionId) -> None:
        self._claiming.discard(partition)

    def _lose(self, partition: PartitionId) -> None:
        holding = self.holdings.lost(partition)
        self._giver.ended(partition)
        self._gain_by_partition.pop(partition, None)
        self._quiet_by_partition.pop(partition, None)
        if holding is not None and (holding.acting or holding.released):
            self._watcher.lost(partition)

    def _quiesce_alone(self, partition: PartitionId) -> None:
        self._quiet_by_partition[partition] = False

        def quiesced(_: object) -> None:
            self._quiet_by_partition[partition] = True

        self._watcher.quiesce(partition).addCallback(quiesced)

    def _live_vm(self, session: SessionId) -> VmId | None:
        found = self._fold.sessions.by_id.get(session)
        return None if found is None else found.vm
