"""The ``CellView`` of a daemon: membership and partition ownership."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, succeed

from .cell_dependencies import CellDependencies
from .cell_fold import CellFold
from .cell_relay import choose_relay
from .cell_session import CellIdentity, CellSession
from .cell_status import AgentStatus, describe_agent
from .cell_view import CellView, PartitionWatcher, WriteResult
from .checkpoints import CheckpointAssembler, CheckpointSchedule
from .claims import NO_SESSION
from .clock import Timer
from .fold import Fold, Verdict
from .heartbeats import Heartbeats, LoadHandler, LoadSource
from .ids import Offset, PartitionId, SessionId, StreamName, VmId
from .log_reader import FoldedHandler, LogReader
from .log_streams import LogStreams
from .log_writer import LogWriter
from .membership import Membership
from .mesh import MessageHandler, PeerLostHandler
from .messages import (
    Hello,
    MeshMessage,
    PartitionGiven,
    PartitionTaken,
)
from .outcomes import Reason, Refused, Step
from .peer_addresses import PeerAddresses
from .platform_services import VmListing
from .records import (
    NO_OFFSET,
    CellRecord,
    Record,
    SessionDeposed,
    SessionJoined,
    SessionLeft,
)
from .settings import TuningSettings

__all__ = ["CellAgent"]

TICK_INTERVAL_S = 0.25
PEER_DROP_DELAY_S = 1.0


class CellAgent(CellView):
    """Joins the cell, renews the lease, owns and hands over partitions.

    When another member ends the session, the agent first loses the
    partitions it owned and then joins under a new session. The agent
    receives the mesh's messages and passes on those it doesn't handle.

    Args:
        identity: What this daemon announces when it joins.
        stream: The cell's log stream.
        fold: The cell's state.
        watcher: Notified of gained and lost partitions.
        dependencies: Services that the agent depends on.
        tuning: Timeouts and sizes.
    """

    def __init__(
        self,
        identity: CellIdentity,
        stream: StreamName,
        fold: CellFold,
        watcher: PartitionWatcher,
        dependencies: CellDependencies,
        *,
        tuning: TuningSettings,
    ) -> None:
        self.fold = fold
        self._identity = identity
        self._watcher = watcher
        self._dependencies = dependencies
        self._tuning = tuning
        self._clock = dependencies.clock
        self._mesh = dependencies.mesh
        self._streams = LogStreams(
            dependencies.log,
            dependencies.clock,
            dependencies.mesh,
            flush_s=tuning.log_flush_s,
        )
        self._reader = self._streams.follow(
            stream,
            fold,
            on_folded=self._on_folded,
            on_loaded=self._on_loaded,
            shared=True,
        )
        self._heartbeats = Heartbeats(
            dependencies.mesh,
            self._streams,
            dependencies.clock,
            stream=stream,
            current=lambda: self._cell_session,
        )
        self._streams.set_relay_selector(identity.vm, self._relay_vm)
        self._schedule = CheckpointSchedule()
        self._session = SessionId("")
        self._cell_session: CellSession | None = None
        self._peers = PeerAddresses(dependencies.mesh, identity.vm)
        self._listing: VmListing | None = None
        self._on_other_message: MessageHandler | None = None
        self._on_peer_lost: PeerLostHandler | None = None
        self._drained: Deferred[None] | None = None
        self._timers: list[Timer] = []
        self._running = False

    def follow(
        self,
        stream: StreamName,
        fold: Fold,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        assembler: CheckpointAssembler | None = None,
    ) -> LogReader:
        """Follows another stream; has to be called before ``start``.

        The lease is then valid only while this VM is up to date with
        that stream as well.
        """
        return self._streams.follow(
            stream,
            fold,
            on_folded=on_folded,
            on_loaded=on_loaded,
            assembler=assembler,
        )

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Returns a writer to another followed stream."""
        return self._streams.open_writer(stream, session)

    def on_other_message(self, handler: MessageHandler) -> None:
        """Sets the handler of messages that the agent doesn't handle."""
        self._on_other_message = handler

    def on_peer_lost(self, handler: PeerLostHandler) -> None:
        """Sets a further handler of lost peer connections."""
        self._on_peer_lost = handler

    def exchange_loads(
        self,
        source: LoadSource,
        on_loads: LoadHandler,
    ) -> None:
        """Sets the source and the handler of load reports in heartbeats."""
        self._heartbeats.exchange_loads(source, on_loads)

    def start(self) -> None:
        """Follows the log and joins once the state is complete."""
        self._running = True
        self._mesh.on_message(self._on_message)
        self._mesh.on_lost(self._on_lost)
        self._streams.start()
        self._send_heartbeats()
        self._tick()

    def stop(self) -> None:
        """Stops at once without leaving the cell; cancels all timers."""
        self._running = False
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        if self._cell_session is not None:
            self._cell_session.end("the daemon stops")
        self._streams.stop()

    def drain(self) -> Deferred[None]:
        """Hands over all partitions, leaves the cell and stops.

        Returns:
            Fires when the session has ended.
        """
        if self._drained is None:
            self._drained = Deferred()
            if self._cell_session is None:
                self._finish_drain()
            else:
                self._cell_session.drain()
                self._heartbeats.send()
        done: Deferred[None] = Deferred()
        self._drained.chainDeferred(done)
        return done

    def observe_vms(self, listing: VmListing) -> None:
        """Handles a snapshot of the platform's VM list."""
        self._listing = listing
        self._peers.on_listing(listing)
        if self._cell_session is not None:
            now = self._clock.seconds()
            self._cell_session.membership.on_listing(listing, now)
        self._set_peers()

    def status(self) -> AgentStatus:
        """Returns a status snapshot for operators."""
        return describe_agent(
            session=self._session,
            fold=self.fold,
            reader=self._reader,
            current=self._cell_session,
            connected=self._mesh.connected(),
            now=self._clock.seconds(),
        )

    @property
    def session(self) -> SessionId:
        """This daemon's newest session, empty before the first."""
        return self._session

    @property
    def reader(self) -> LogReader:
        """The reader of the cell's stream."""
        return self._reader

    def owner_of(self, partition: PartitionId) -> VmId | None:
        """Returns the VM that owns a partition, None if there is none."""
        claim = self.fold.claims.by_key.get(partition)
        if claim is None:
            return None
        name = claim.owner
        if claim.successor != NO_SESSION:
            name = claim.successor
        session = self.fold.sessions.by_id.get(name)
        return None if session is None else session.vm

    def epoch_of(self, partition: PartitionId) -> Offset:
        """Returns the offset of the newest claim, -1 if there is none."""
        return self.fold.claims.epoch(partition)

    def refusal(self, partition: PartitionId) -> Refused | None:
        """Returns why this VM may not act on a partition right now."""
        if self._cell_session is None:
            return Refused(
                Step.ROUTE,
                Reason.NO_AUTHORITY,
                peer=self._identity.vm,
                retry_after_s=1.0,
                detail="this VM has not joined its cell",
            )
        now = self._clock.seconds()
        return self._cell_session.refusal(partition, now)

    def has_authority(self) -> bool:
        """Returns whether this VM's lease is valid right now."""
        current = self._cell_session
        if current is None:
            return False
        return current.authority.valid_until > self._clock.seconds()

    def log_unresponsive(self) -> bool:
        """Returns whether own records are not read back from the log."""
        if self._cell_session is None:
            return True
        return self._cell_session.log_unresponsive()

    def submit(self, body: CellRecord) -> Deferred[WriteResult]:
        """Writes a record; the result fires when it is read back.

        Without a session the record is not written, and the result fires
        at once with offset -1 and a verdict that is not accepted.
        """
        if self._cell_session is None:
            return succeed(
                WriteResult(NO_OFFSET, Verdict(False, "no session"))
            )
        return self._cell_session.submit(body)

    def _tick(self) -> None:
        self._set_timer(TICK_INTERVAL_S, self._tick)
        if self._cell_session is None:
            self._begin_session()
            return
        self._cell_session.tick()

    def _begin_session(self) -> None:
        if self._drained is not None or not self._reader.ready:
            return
        self._session = self._dependencies.new_session()
        now = self._clock.seconds()
        membership = Membership(
            self._session,
            self._identity.vm,
            lease_s=self._tuning.lease_s,
            lease_margin_s=self._tuning.lease_margin_s,
        )
        if self._listing is not None:
            membership.on_listing(self._listing, now)
        current = CellSession(
            self._session,
            self._identity,
            tuning=self._tuning,
            fold=self.fold,
            reader=self._reader,
            streams=self._streams,
            mesh=self._mesh,
            clock=self._clock,
            watcher=self._watcher,
            membership=membership,
            schedule=self._schedule,
            on_ended=self._on_session_ended,
        )
        self._cell_session = current
        current.on_sessions_changed()
        current.join()

    def _on_session_ended(self, reason: str) -> None:
        self._cell_session = None
        if self._drained is not None:
            self._finish_drain()

    def _finish_drain(self) -> None:
        assert self._drained is not None
        self.stop()
        if not self._drained.called:
            self._drained.callback(None)

    def _on_folded(
        self, offset: Offset, record: Record, verdict: Verdict
    ) -> None:
        if self._cell_session is not None:
            self._cell_session.on_folded(offset, record, verdict)
        if isinstance(record.body, SessionJoined):
            self._set_peers()
        if isinstance(record.body, SessionLeft | SessionDeposed):
            self._set_timer(PEER_DROP_DELAY_S, self._set_peers)

    def _on_loaded(self) -> None:
        if self._cell_session is not None:
            self._cell_session.end("the state was replaced by a checkpoint")
        self._set_peers()

    def _set_peers(self) -> None:
        joined = self._cell_session is not None
        self._peers.update(self.fold.sessions, joined=joined)

    def _send_heartbeats(self) -> None:
        self._set_timer(
            self._tuning.heartbeat_interval_s, self._send_heartbeats
        )
        self._heartbeats.send()

    def _set_timer(self, delay_s: float, run: Callable[[], None]) -> None:
        if not self._running:
            return
        self._timers = [timer for timer in self._timers if timer.active()]
        self._timers.append(self._clock.callLater(delay_s, run))

    def _on_message(self, peer: VmId, message: MeshMessage) -> None:
        if self._streams.on_message(peer, message):
            return
        if self._heartbeats.on_message(peer, message):
            return
        match message:
            case PartitionGiven():
                if self._cell_session is not None:
                    self._cell_session.on_given(peer, message)
            case Hello() | PartitionTaken():
                return
            case _:
                if self._on_other_message is not None:
                    self._on_other_message(peer, message)

    def _relay_vm(self, stream: StreamName) -> VmId | None:
        current = self._cell_session
        if current is None:
            return None
        now = self._clock.seconds()
        relay_candidates = current.membership.relay_candidates(
            self.fold.sessions, now
        )
        return choose_relay(stream, relay_candidates)

    def _on_lost(self, peer: VmId) -> None:
        self._streams.on_peer_lost(peer)
        if self._on_peer_lost is not None:
            self._on_peer_lost(peer)
