"""One session of a daemon in its cell: lease, ownership, handover."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import structlog
from twisted.internet.defer import Deferred, succeed

from .authority import Authority
from .cell_fold import CellFold
from .cell_ownership import CellOwnership
from .cell_view import Folded, PartitionWatcher
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

LOG_SILENT_S = 1.5
LEAVE_LIMIT_S = 5.0
HANDOVER_WAIT_S = 5.0

_log = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class CellIdentity:
    """What a daemon says of itself when it joins.

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
        identity: What it says of itself.
        tuning: Times and sizes.
        fold: The cell's state.
        reader: The reader that feeds the fold.
        streams: The streams this VM follows.
        mesh: Reaches the peers.
        clock: Monotonic time.
        watcher: Hears of partitions gained and lost.
        membership: What is known of the members.
        schedule: When checkpoints are due.
        on_ended: Told once when the session is over, with the reason.
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
        self.holdings = self._ownership.holdings
        self._renewals = Renewals(
            self._writer,
            clock,
            interval_s=tuning.renewal_interval_s,
            folded=lambda: reader.folded,
            on_renewed=self.authority.renewed,
        )
        self._deposing: set[SessionId] = set()
        self._checkpointing = False
        self._acting_soon: Timer | None = None
        self._drain_began = 0.0
        self._deadline: Timer | None = None

    @property
    def state(self) -> SessionState:
        """How far the session has come."""
        return self._lifecycle.state

    @property
    def pending_records(self) -> int:
        """How many own records are not read back yet."""
        return self._writer.pending

    @property
    def handing(self) -> frozenset[PartitionId]:
        """The partitions being given away."""
        return self._ownership.handing

    def log_silent(self) -> bool:
        """Returns whether own records are not coming back."""
        if not self._lifecycle.active:
            return True
        return self._writer.oldest_age_s() > LOG_SILENT_S

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
        self._writer.submit(body).addCallback(self._joined, sent_at)

    def submit(self, body: CellRecord) -> Deferred[Folded]:
        """Writes a record and waits until it is read back."""
        if not self._lifecycle.active:
            return succeed(Folded(NO_OFFSET, Verdict(False, "no session")))
        return self._writer.submit(body)

    def refusal(self, partition: PartitionId, now: float) -> Refused | None:
        """Returns why the session may not act on a partition now."""
        holding = self.holdings.by_partition.get(partition)
        if holding is None or holding.released:
            return self._refused(Reason.NOT_OWNER, "another VM owns this")
        if not self._lifecycle.active or not self._reader.ready:
            return self._refused(Reason.NO_AUTHORITY, "no session in the cell")
        if not holding.acting:
            detail = "the former owner's lease may not have run out"
            return self._refused(Reason.NO_AUTHORITY, detail)
        if not self.authority.holds(now):
            return self._refused(Reason.NO_AUTHORITY, "the lease has run out")
        return None

    def on_folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        """Takes a record that the fold has taken."""
        self.authority.folded(self._reader.stream, offset)
        if not verdict.accepted:
            return
        now = self._clock.seconds()
        match record.body:
            case SessionJoined() | SessionRenewed():
                self.membership.renewal_read(record.writer, now)
                self._renewals.read()
            case PartitionClaimed():
                self._ownership.on_claimed(record.writer, record.body)
            case PartitionReleased():
                self._ownership.on_released(record.body)
            case CheckpointPart():
                self._schedule.on_part(offset, record.body, now)
        match record.body:
            case SessionJoined() | SessionLeft() | SessionDeposed():
                self.sessions_changed()
        self._act_soon()

    def on_given(self, peer: VmId, message: PartitionGiven) -> None:
        """Takes live state of a partition that a peer hands over."""
        self._ownership.on_given(peer, message)
        self._act_soon()

    def sessions_changed(self) -> None:
        """Takes over the members from the fold."""
        sessions = self._fold.sessions
        self.authority.configure(frozenset(sessions.by_id))
        self.membership.forget(sessions)
        for member in sessions.by_id.values():
            self.membership.expect_listed(member.vm)
        if self.state in (SessionState.JOINING, SessionState.ENDED):
            return
        if not sessions.is_live(self.session):
            self.end("the session was ended by another")

    def tick(self) -> None:
        """Does what is due by time."""
        now = self._clock.seconds()
        for reader in self._streams.readers():
            if reader is self._reader:
                continue
            self.authority.folded(reader.stream, reader.folded)
            if reader.up_to_date_at is not None:
                self.authority.up_to_date(reader.stream, reader.up_to_date_at)
        if not self._lifecycle.active:
            return
        self._depose(now)
        self._checkpoint(now)
        self._act()

    def drain(self) -> None:
        """Starts to give everything away; the session ends after it."""
        self._lifecycle.drain()

    def end(self, why: str) -> None:
        """Ends the session; what it owned is lost."""
        self._lifecycle.end(why)

    def begin_service(self) -> None:
        """Starts to renew and to take part."""
        self.authority.folded(self._reader.stream, self._reader.folded)
        self.sessions_changed()
        self._renewals.start()

    def begin_drain(self) -> None:
        """Starts to give everything away, within the drain's limit."""
        self._drain_began = self._clock.seconds()
        self._deadline = self._clock.callLater(
            self._tuning.drain_limit_s, self._lifecycle.emptied
        )
        self._act_soon()

    def write_leave(self) -> None:
        """Writes the leave record and waits a while for it."""
        if self._deadline is not None and self._deadline.active():
            self._deadline.cancel()
        self._deadline = self._clock.callLater(
            LEAVE_LIMIT_S, self.end, "left without the log's answer"
        )
        left = self._writer.submit(SessionLeft())
        left.addCallback(lambda _: self.end("left"))

    def close(self, why: str) -> None:
        """Loses everything and tells the agent."""
        _log.info("cell.session_ended", session=self.session, why=why)
        for timer in (self._acting_soon, self._deadline):
            if timer is not None and timer.active():
                timer.cancel()
        self._renewals.stop()
        self._writer.close(why)
        self._ownership.end()
        self._on_ended(why)

    def _joined(self, folded: Folded, sent_at: float) -> None:
        if self.state is not SessionState.JOINING:
            return
        if not folded.verdict.accepted:
            self.end(f"join refused: {folded.verdict.why}")
            return
        _log.info("cell.joined", session=self.session, offset=folded.offset)
        self.authority.renewed(sent_at)
        self._lifecycle.joined()

    def _depose(self, now: float) -> None:
        if self.log_silent():
            return
        back_at = max(self._renewals.back_at, self._reader.recovered_at)
        silent = self.membership.silent(self._fold.sessions, now, back_at)
        for body in silent:
            if body.session in self._deposing:
                continue
            self._deposing.add(body.session)
            written = self._writer.submit(body)
            written.addCallback(self._deposed, body.session)

    def _deposed(self, folded: Folded, session: SessionId) -> None:
        self._deposing.discard(session)

    def _checkpoint(self, now: float) -> None:
        if self._checkpointing or self.log_silent():
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
        written.addCallback(self._checkpointed)

    def _checkpointed(self, folded: Folded) -> None:
        self._checkpointing = False

    def _act_soon(self) -> None:
        if self._acting_soon is None and self._lifecycle.active:
            self._acting_soon = self._clock.callLater(0.0, self._act)

    def _act(self) -> None:
        self._acting_soon = None
        if not self._lifecycle.active:
            return
        draining = self.state is SessionState.DRAINING
        self._ownership.act(draining=draining, log_silent=self.log_silent())
        if not draining:
            return
        if self._ownership.drained(hopeless=self._handover_hopeless()):
            self._lifecycle.emptied()

    def _handover_hopeless(self) -> bool:
        """Whether releases stay unread, so that nobody can take over."""
        waited_s = self._clock.seconds() - self._drain_began
        return self.log_silent() and waited_s >= HANDOVER_WAIT_S

    def _refused(self, reason: Reason, detail: str) -> Refused:
        return Refused(
            Step.ROUTE,
            reason,
            peer=self._identity.vm,
            retry_after_s=1.0,
            detail=detail,
        )
