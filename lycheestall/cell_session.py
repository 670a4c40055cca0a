"""A daemon's session in its cell: lease, ownership, handover."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog
from twisted.internet.defer import Deferred, succeed

from .authority import Authority
from .cell_fold import CellFold
from .cell_ownership import CellOwnership
from .cell_view import PartitionWatcher, WriteResult
from .checkpoints import CheckpointSchedule, split_checkpoint
from .clock import Clock, Timer
from .fold import Verdict
from .ids import Offset, PartitionId, SessionId, VmId, ZoneId
from .log_reader import LogReader
from .log_streams import LogStreams
from .membership import Membership
from .mesh import Mesh
from .messages import PartitionGiven
from .outcomes import Reason, Refused, Step
from .records import (
    NO_OFFSET,
    CellRecord,
    CheckpointPart,
    PartitionClaimed,
    PartitionReleased,
    Record,
    SessionDeposed,
    SessionJoined,
    SessionLeft,
    SessionRenewed,
)
from .renewals import Renewals
from .session_lifecycle import (
    SessionEffects,
    SessionLifecycle,
    SessionState,
)
from .settings import TuningSettings

__all__ = ["CellIdentity", "CellSession"]

LOG_UNRESPONSIVE_S = 1.5
LEAVE_TIMEOUT_S = 5.0
MIN_HANDOVER_WAIT_S = 5.0

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class CellIdentity:
    """What a daemon announces when it joins.

    Attributes:
        vm: The VM it runs on.
        zone: The VM's availability zone.
        host: Mesh address.
        port: Mesh port.
        release: The daemon's version.
    """

    vm: VmId
    zone: ZoneId
    host: str
    port: int
    release: str


class CellSession(SessionEffects):
    """Runs one session from its join to its end.

    Args:
        session: Its id.
        identity: What it announces when it joins.
        tuning: Timeouts and sizes.
        fold: The cell's state.
        reader: The reader that applies the cell's stream to the fold.
        streams: The streams this VM follows.
        mesh: Connections to the peers.
        clock: Monotonic clock.
        watcher: Notified of gained and lost partitions.
        membership: Liveness of the members.
        schedule: When checkpoints are due.
        on_ended: Called once with the reason when the session has ended.
    """

    def __init__(
        self,
        session: SessionId,
        identity: CellIdentity,
        *,
        tuning: TuningSettings,
        fold: CellFold,
        reader: LogReader,
        streams: LogStreams,
        mesh: Mesh,
        clock: Clock,
        watcher: PartitionWatcher,
        membership: Membership,
        schedule: CheckpointSchedule,
        on_ended: Callable[[str], None],
    ) -> None:
        self.session = session
        self._lifecycle = SessionLifecycle(self)
        self.membership = membership
        others = [r.stream for r in streams.readers() if r is not reader]
        self.authority = Authority(
            session, reader.stream, others, lease_s=tuning.lease_s
        )
        self._identity = identity
        self._tuning = tuning
        self._fold = fold
        self._reader = reader
        self._streams = streams
        self._clock = clock
        self._schedule = schedule
        self._on_ended = on_ended
        self._writer = streams.open_writer(reader.stream, session)
        self._ownership = CellOwnership(
            session,
            tuning=tuning,
            fold=fold,
            mesh=mesh,
            clock=clock,
            watcher=watcher,
            membership=membership,
            submit=self.submit,
        )
        self.held_partitions = self._ownership.held_partitions
        self._renewals = Renewals(
            self._writer,
            clock,
            interval_s=tuning.renewal_interval_s,
            folded=lambda: reader.folded,
            on_renewed=self.authority.on_renewed,
        )
        self._deposals_in_flight: set[SessionId] = set()
        self._checkpointing = False
        self._advance_timer: Timer | None = None
        self._drain_started_at = 0.0
        self._deadline: Timer | None = None

    @property
    def state(self) -> SessionState:
        """The session's state."""
        return self._lifecycle.state

    @property
    def pending_records(self) -> int:
        """Number of own records that were not read back yet."""
        return self._writer.pending

    @property
    def handing_over(self) -> frozenset[PartitionId]:
        """The partitions with a handover in progress."""
        return self._ownership.handing_over

    def log_unresponsive(self) -> bool:
        """Returns whether own records are not read back from the log."""
        if not self._lifecycle.active:
            return True
        return self._writer.oldest_age_s() > LOG_UNRESPONSIVE_S

    def join(self) -> None:
        """Writes the join record."""
        identity = self._identity
        body = SessionJoined(
            vm=identity.vm,
            zone=identity.zone,
            host=identity.host,
            port=identity.port,
            release=identity.release,
            after=self._reader.newest,
        )
        sent_at = self._clock.seconds()
        self._writer.submit(body).addCallback(self._on_joined, sent_at)

    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        """Writes a record; the result fires when it is read back."""
        if not self._lifecycle.active:
            return succeed(
                WriteResult(NO_OFFSET, Verdict(False, "no session"))
            )
        return self._writer.submit(body)

    def refusal(self, partition: PartitionId, now: float) -> Refused | None:
        """Returns why the session may not act on a partition now."""
        held = self.held_partitions.by_partition.get(partition)
        if held is None or held.released:
            return self._refused(Reason.NOT_OWNER, "another VM owns this")
        if not self._lifecycle.active or not self._reader.ready:
            return self._refused(Reason.NO_AUTHORITY, "no session in the cell")
        if not held.active:
            detail = "the former owner's lease may not have run out"
            return self._refused(Reason.NO_AUTHORITY, detail)
        if not self.authority.holds(now):
            return self._refused(Reason.NO_AUTHORITY, "the lease has run out")
        return None

    def on_folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        """Handles a record that was applied to the fold."""
        self.authority.on_folded(self._reader.stream, offset)
        if not verdict.accepted:
            return
        now = self._clock.seconds()
        match record.body:
            case SessionJoined() | SessionRenewed():
                self.membership.on_renewal_read(record.writer, now)
                self._renewals.on_renewal_read()
            case PartitionClaimed():
                self._ownership.on_claimed(record.writer, record.body)
            case PartitionReleased():
                self._ownership.on_released(record.body)
            case CheckpointPart():
                self._schedule.on_part(offset, record.body, now)
        match record.body:
            case SessionJoined() | SessionLeft() | SessionDeposed():
                self.on_sessions_changed()
        self._schedule_advance()

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Stores live state of a partition that a peer hands over."""
        self._ownership.on_given(peer, message)
        self._schedule_advance()

    def on_sessions_changed(self) -> None:
        """Updates the members from the fold."""
        sessions = self._fold.sessions
        self.authority.set_members(frozenset(sessions.by_id))
        self.membership.prune(sessions)
        for member in sessions.by_id.values():
            self.membership.track_vm(member.vm)
        if self.state in (SessionState.JOINING, SessionState.ENDED):
            return
        if not sessions.is_live(self.session):
            self.end("another member ended the session")

    def tick(self) -> None:
        """Does the periodic work; called at a fixed interval."""
        now = self._clock.seconds()
        for reader in self._streams.readers():
            if reader is self._reader:
                continue
            self.authority.on_folded(reader.stream, reader.folded)
            if reader.up_to_date_at is not None:
                self.authority.on_up_to_date(
                    reader.stream, reader.up_to_date_at
                )
        if not self._lifecycle.active:
            return
        self._depose(now)
        self._checkpoint(now)
        self._advance()

    def drain(self) -> None:
        """Starts to hand over all partitions, then leaves the cell."""
        self._lifecycle.drain()

    def end(self, reason: str) -> None:
        """Ends the session; its partitions are lost."""
        self._lifecycle.end(reason)

    def start_service(self) -> None:
        """Starts the renewals."""
        self.authority.on_folded(self._reader.stream, self._reader.folded)
        self.on_sessions_changed()
        self._renewals.start()

    def start_drain(self) -> None:
        """Starts to hand over all partitions, with a time limit."""
        self._drain_started_at = self._clock.seconds()
        self._deadline = self._clock.callLater(
            self._tuning.drain_limit_s, self._lifecycle.handovers_finished
        )
        self._schedule_advance()

    def write_leave(self) -> None:
        """Writes the leave record; ends the session when it is read back.

        After ``LEAVE_TIMEOUT_S`` the session ends without it.
        """
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = self._clock.callLater(
            LEAVE_TIMEOUT_S,
            self.end,
            "left, but the leave record was not read back",
        )
        left = self._writer.submit(SessionLeft())
        left.addCallback(lambda _: self.end("left"))

    def close(self, reason: str) -> None:
        """Gives up all partitions and notifies the agent."""
        _log.info("cell.session_ended", session=self.session, why=reason)
        for timer in (self._advance_timer, self._deadline):
            if timer is not None and timer.active():
                timer.cancel()
        self._renewals.stop()
        self._writer.close(reason)
        self._ownership.lose_all()
        self._on_ended(reason)

    def _on_joined(self, result: WriteResult, sent_at: float) -> None:
        if self.state is not SessionState.JOINING:
            return
        if not result.verdict.accepted:
            self.end(f"join refused: {result.verdict.reason}")
            return
        _log.info("cell.joined", session=self.session, offset=result.offset)
        self.authority.on_renewed(sent_at)
        self._lifecycle.joined()

    def _depose(self, now: float) -> None:
        if self.log_unresponsive():
            return
        recovered_at = max(
            self._renewals.recovered_at, self._reader.recovered_at
        )
        due_deposals = self.membership.due_deposals(
            self._fold.sessions, now, recovered_at
        )
        for body in due_deposals:
            if body.session in self._deposals_in_flight:
                continue
            self._deposals_in_flight.add(body.session)
            written = self._writer.submit(body)
            written.addCallback(self._on_deposed, body.session)

    def _on_deposed(self, result: WriteResult, session: SessionId) -> None:
        self._deposals_in_flight.discard(session)

    def _checkpoint(self, now: float) -> None:
        if self._checkpointing or self.log_unresponsive():
            return
        members = sorted(self._fold.sessions.by_id)
        due = self._schedule.is_due(
            now,
            folded=self._reader.folded,
            first_retained=self._reader.first_retained,
            rank=members.index(self.session),
        )
        if not due:
            return
        self._checkpointing = True
        parts = split_checkpoint(self._reader.folded, self._fold.dump())
        for part in parts:
            written = self._writer.submit(part)
        written.addCallback(self._on_checkpointed)

    def _on_checkpointed(self, result: WriteResult) -> None:
        self._checkpointing = False

    def _schedule_advance(self) -> None:
        if self._advance_timer is None and self._lifecycle.active:
            self._advance_timer = self._clock.callLater(0.0, self._advance)

    def _advance(self) -> None:
        self._advance_timer = None
        if not self._lifecycle.active:
            return
        draining = self.state is SessionState.DRAINING
        self._ownership.advance(
            draining=draining, log_unresponsive=self.log_unresponsive()
        )
        if not draining:
            return
        if self._ownership.is_drained(
            takeover_impossible=self._takeover_impossible()
        ):
            self._lifecycle.handovers_finished()

    def _takeover_impossible(self) -> bool:
        """Whether releases are not read back, so that no one takes over."""
        draining_s = self._clock.seconds() - self._drain_started_at
        return self.log_unresponsive() and draining_s >= MIN_HANDOVER_WAIT_S

    def _refused(self, reason: Reason, detail: str) -> Refused:
        return Refused(
            Step.ROUTE,
            reason,
            peer=self._identity.vm,
            retry_after_s=1.0,
            detail=detail,
        )
