"""Partition claims, takeovers and handovers of one session."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from .cell_fold import CellFold
from .cell_view import PartitionWatcher, WriteResult
from .clock import Clock
from .handover import HandoverReceiver, HandoverSender
from .ids import Offset, PartitionId, SessionId, VmId
from .membership import Membership
from .mesh import Mesh
from .messages import PartitionGiven
from .ownership import HeldPartitions, OwnershipPlanner
from .records import (
    NO_OFFSET,
    CellRecord,
    PartitionClaimed,
    PartitionReleased,
)
from .settings import TuningSettings

__all__ = ["CellOwnership"]


@dataclass(frozen=True, slots=True)
class _PendingGain:
    """Arguments for the watcher once the claimed partition is active."""

    program_states: dict[str, bytes]
    may_miss_programs: bool


class CellOwnership:
    """Manages the partitions of a session and notifies the watcher.

    Args:
        session: The session.
        tuning: Timeouts and sizes.
        fold: The cell's state.
        mesh: Connections to the peers.
        clock: Monotonic clock.
        watcher: Notified of gained and lost partitions.
        membership: Liveness of the members.
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
        submit: Callable[[CellRecord], Deferred[WriteResult]],
    ) -> None:
        self.held_partitions = HeldPartitions(
            lease_s=tuning.lease_s, lease_margin_s=tuning.lease_margin_s
        )
        self._session = session
        self._fold = fold
        self._clock = clock
        self._watcher = watcher
        self._membership = membership
        self._submit = submit
        self._planner = OwnershipPlanner(session, tuning.partitions)
        self._sender = HandoverSender(
            mesh,
            submit=submit,
            quiesce=watcher.quiesce,
            deactivate=self.held_partitions.deactivate,
            vm_of=self._vm_of_live_session,
        )
        self._receiver = HandoverReceiver(mesh)
        self._claiming: set[PartitionId] = set()
        self._pending_gain_by_partition: dict[PartitionId, _PendingGain] = {}
        self._candidates: tuple[SessionId, ...] = ()
        self._stable_since = clock.seconds()
        self._quiesced_by_partition: dict[PartitionId, bool] = {}

    @property
    def handing_over(self) -> frozenset[PartitionId]:
        """The partitions with a handover in progress."""
        return self._sender.in_progress()

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Stores live state of a partition that a peer hands over."""
        self._receiver.on_given(peer, message)

    def on_released(self, body: PartitionReleased) -> None:
        """Handles an accepted release."""
        if body.successor == self._session:
            self._receiver.on_released(body.partition, self._clock.seconds())

    def on_claimed(self, writer: SessionId, body: PartitionClaimed) -> None:
        """Handles an accepted claim of any session."""
        partition = body.partition
        if partition in self.held_partitions.by_partition:
            self._lose(partition)
        if writer != self._session:
            self._receiver.forget(partition)
            return
        claim = self._fold.claims.by_key[partition]
        received = self._receiver.finish(partition, body.previous)
        may_miss_programs = received is None and body.previous != NO_OFFSET
        program_states = {} if received is None else received.programs
        self._pending_gain_by_partition[partition] = _PendingGain(
            program_states, may_miss_programs
        )
        self.held_partitions.add(partition, claim)
        self._receiver.confirm_taken(partition, claim)

    def advance(self, *, draining: bool, log_unresponsive: bool) -> None:
        """Starts the claims, takeovers and handovers that are due.

        Args:
            draining: Whether to hand over all partitions.
            log_unresponsive: Whether own records are not read back from the
                log, so that no handover is started.
        """
        now = self._clock.seconds()
        self._claim_released(now)
        self._activate_ready(now)
        self._plan(now, draining=draining, log_unresponsive=log_unresponsive)

    def is_drained(self, *, takeover_impossible: bool) -> bool:
        """Returns whether all partitions are handed over or quiesced.

        Without another member to hand over to, partitions are only
        quiesced.

        Args:
            takeover_impossible: Whether no member can take over, because
                releases are not read back from the log.
        """
        remaining = [
            partition
            for partition, held in self.held_partitions.by_partition.items()
            if held.active or held.released
        ]
        if not remaining:
            return True
        others = any(name != self._session for name in self._candidates)
        if others and not takeover_impossible:
            return False
        released = self._sender.released
        for partition in remaining:
            if (
                partition in released
                or partition in self._quiesced_by_partition
            ):
                continue
            self._quiesce_without_handover(partition)
        return all(
            partition in released or self._quiesced_by_partition[partition]
            for partition in remaining
        )

    def lose_all(self) -> None:
        """Gives up all partitions at the end of the session."""
        for partition in list(self.held_partitions.by_partition):
            self._lose(partition)

    def _claim_released(self, now: float) -> None:
        for partition in self._receiver.ready(now):
            claim = self._fold.claims.by_key.get(partition)
            if claim is None or claim.successor != self._session:
                self._receiver.forget(partition)
                continue
            self._claim(PartitionClaimed(partition, claim.epoch))

    def _activate_ready(self, now: float) -> None:
        def majority_acknowledged(offset: Offset) -> bool:
            sessions = self._fold.sessions
            return self._membership.majority_acknowledged(sessions, offset)

        for partition in self.held_partitions.activate_ready(
            now, majority_acknowledged
        ):
            held = self.held_partitions.by_partition[partition]
            pending_gain = self._pending_gain_by_partition.pop(partition)
            self._watcher.partition_gained(
                partition,
                held.epoch,
                program_states=pending_gain.program_states,
                may_miss_programs=pending_gain.may_miss_programs,
            )

    def _plan(
        self, now: float, *, draining: bool, log_unresponsive: bool
    ) -> None:
        sessions = self._fold.sessions
        candidates = self._membership.candidates(sessions)
        names = tuple(candidate.session for candidate in candidates)
        if names != self._candidates:
            self._candidates = names
            self._stable_since = now
        plan = self._planner.plan(
            now,
            claims=self._fold.claims,
            is_live=sessions.is_live,
            candidates=candidates,
            is_responsive=lambda name: self._membership.is_responsive(
                name, now
            ),
            held_partitions=self.held_partitions,
            claiming=frozenset(self._claiming),
            handing_over=self._sender.in_progress(),
            stable_since=self._stable_since,
            draining=draining,
        )
        for body in plan.claims:
            self._claim(body)
        if log_unresponsive:
            return
        for partition, successor in plan.handovers:
            held = self.held_partitions.by_partition[partition]
            self._sender.begin(partition, held.epoch, successor)

    def _claim(self, body: PartitionClaimed) -> None:
        if body.partition in self._claiming:
            return
        self._claiming.add(body.partition)
        self._submit(body).addCallback(self._claim_written, body.partition)

    def _claim_written(
        self, result: WriteResult, partition: PartitionId
    ) -> None:
        self._claiming.discard(partition)

    def _lose(self, partition: PartitionId) -> None:
        held = self.held_partitions.remove(partition)
        self._sender.forget(partition)
        self._pending_gain_by_partition.pop(partition, None)
        self._quiesced_by_partition.pop(partition, None)
        if held is not None and (held.active or held.released):
            self._watcher.partition_lost(partition)

    def _quiesce_without_handover(self, partition: PartitionId) -> None:
        self._quiesced_by_partition[partition] = False

        def quiesced(_: object) -> None:
            self._quiesced_by_partition[partition] = True

        self._watcher.quiesce(partition).addCallback(quiesced)

    def _vm_of_live_session(self, session: SessionId) -> VmId | None:
        found = self._fold.sessions.by_id.get(session)
        return None if found is None else found.vm
