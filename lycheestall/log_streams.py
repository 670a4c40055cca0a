"""The streams a daemon follows, and help between daemons with them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from .cell_relay import CellRelay
from .checkpoints import CheckpointAssembler
from .clock import Clock
from .fold import Fold, Verdict
from .ids import Offset, SessionId, StreamName, VmId
from .log_reader import TAIL_BYTES, FoldedHandler, LogReader
from .log_writer import FLUSH_S, LogWriter
from .mesh import Mesh
from .messages import (
    AppendGiven,
    AppendWanted,
    MeshMessage,
    NewestOffset,
    TailGiven,
    TailWanted,
)
from .platform_services import LogEntry, LogService
from .records import Record

__all__ = ["LogStreams", "RelayChoice"]

OWN_WAIT_S = 0.25

RelayChoice = Callable[[StreamName], VmId | None]


class LogStreams:
    """Readers and writers by stream, with peers as a second way.

    A daemon that the log does not answer gets entries from a peer and
    has its records appended by one.

    Args:
        log: The platform's log service.
        clock: Times retries.
        mesh: Reaches the peers.
        flush_s: Least time between two appends that are shared.
    """

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        mesh: Mesh,
        *,
        flush_s: float = FLUSH_S,
    ) -> None:
        self._log = log
        self._clock = clock
        self._mesh = mesh
        self._flush_s = flush_s
        self._own = VmId("")
        self._reader_by_stream: dict[StreamName, LogReader] = {}
        self._writer_by_stream: dict[StreamName, LogWriter] = {}
        self._folded_by_peer: dict[tuple[VmId, StreamName], Offset] = {}
        self._cell_relay = CellRelay(log, clock, interval_s=flush_s)
        self._choose_relay: RelayChoice | None = None
        self._turn = 0

    def follow(
        self,
        stream: StreamName,
        fold: Fold,
        *,
        on_folded: FoldedHandler,
        on_loaded: Callable[[], None],
        assembler: CheckpointAssembler | None = None,
        shared: bool = False,
    ) -> LogReader:
        """Makes the reader of a stream; ``start`` starts it.

        Args:
            stream: The stream.
            fold: Gets each record.
            on_folded: Hears of each record, after the fold and after
                the stream's writer.
            on_loaded: Hears that a checkpoint has replaced the state.
            assembler: Finds the stream's checkpoints.
            shared: Whether the member that appends for all also passes
                on what it reads, so that the others need not read.
        """

        def folded(offset: Offset, record: Record, verdict: Verdict) -> None:
            writer = self._writer_by_stream.get(stream)
            if writer is not None and record.writer == writer.session:
                writer.folded(offset, record, verdict)
            on_folded(offset, record, verdict)

        reader = LogReader(
            stream,
            fold,
            self._log,
            self._clock,
            on_folded=folded,
            on_loaded=on_loaded,
            ask_peer=self._ask_peer,
            on_read=self._feed if shared else None,
            must_read=self._must_read,
            assembler=assembler,
        )
        self._reader_by_stream[stream] = reader
        return reader

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Returns a writer whose records the stream's reader reads back.

        A stream has one writer at a time; an older one gets no more news
        and has to be closed.
        """
        writer = LogWriter(
            stream,
            session,
            self._log,
            self._clock,
            relay=self._relay,
            preferred=self._append_by_relay,
            flush_s=self._flush_s,
        )
        self._writer_by_stream[stream] = writer
        return writer

    def share_appends(self, own: VmId, choose: RelayChoice) -> None:
        """Lets one member append for all.

        Args:
            own: This VM.
            choose: Returns the member for a stream, or None.
        """
        self._own = own
        self._choose_relay = choose

    def start(self) -> None:
        """Starts all readers."""
        for reader in self._reader_by_stream.values():
            reader.start()

    def stop(self) -> None:
        """Stops all readers and closes all writers."""
        for reader in self._reader_by_stream.values():
            reader.stop()
        for writer in self._writer_by_stream.values():
            writer.close("the daemon stops")
        self._cell_relay.stop()

    def readers(self) -> tuple[LogReader, ...]:
        """Returns the readers."""
        return tuple(self._reader_by_stream.values())

    def newest(self) -> tuple[NewestOffset, ...]:
        """Returns what this daemon knows of each stream."""
        return tuple(
            NewestOffset(reader.stream, reader.newest, reader.folded)
            for reader in self._reader_by_stream.values()
        )

    def hear(self, peer: VmId, streams: tuple[NewestOffset, ...]) -> None:
        """Takes what a peer knows of the streams."""
        for known in streams:
            reader = self._reader_by_stream.get(known.stream)
            if reader is None:
                continue
            reader.hear(known.newest)
            self._folded_by_peer[peer, known.stream] = known.folded

    def lost(self, peer: VmId) -> None:
        """Forgets a peer whose connection is lost."""
        for stream in self._reader_by_stream:
            self._folded_by_peer.pop((peer, stream), None)

    def on_message(self, peer: VmId, message: MeshMessage) -> bool:
        """Takes a message; False when it is not for the streams."""
        if isinstance(message, TailWanted):
            reader = self._reader_by_stream.get(message.stream)
            if reader is not None:
                entries = reader.tail(message.start)
                self._mesh.send(peer, TailGiven(message.stream, entries))
            return True
        if isinstance(message, TailGiven):
            reader = self._reader_by_stream.get(message.stream)
            if reader is not None:
                reader.take(message.entries, fed=message.fed)
            return True
        if isinstance(message, AppendWanted):
            self._append_for(peer, message)
            return True
        return isinstance(message, AppendGiven)

    def _append_for(self, peer: VmId, message: AppendWanted) -> None:
        if message.stream not in self._reader_by_stream:
            return
        if self._cell_relay.add(
            message.stream, message.payloads, hold_s=message.hold_s
        ):
            given = AppendGiven(message.stream, len(message.payloads))
            self._mesh.send(peer, given)

    def _append_by_relay(
        self, stream: StreamName, payloads: tuple[bytes, ...], hold_s: float
    ) -> bool:
        if self._choose_relay is None:
            return False
        relay = self._choose_relay(stream)
        if relay is None:
            return False
        if relay == self._own:
            return self._cell_relay.add(stream, payloads, hold_s=hold_s)
        wanted = AppendWanted(stream, payloads, hold_s)
        return self._mesh.send(relay, wanted)

    def _appends_for_all(self, stream: StreamName) -> bool:
        if self._choose_relay is None:
            return False
        return self._choose_relay(stream) == self._own

    def _must_read(self, stream: StreamName) -> bool:
        """Returns whether a feed is not enough.

        The member that feeds the others reads, and so does a VM whose
        own records do not come back.
        """
        if self._appends_for_all(stream):
            return True
        writer = self._writer_by_stream.get(stream)
        if writer is None:
            return False
        return writer.oldest_age_s() > OWN_WAIT_S + self._flush_s

    def _feed(self, stream: StreamName, entries: Sequence[LogEntry]) -> None:
        if not self._appends_for_all(stream):
            return
        for batch in _batches(entries):
            given = TailGiven(stream, batch, fed=True)
            for peer in self._mesh.connected():
                self._mesh.send(peer, given)

    def _ask_peer(self, stream: StreamName, start: Offset) -> None:
        peers = self._peers_in_turn()
        for peer in peers:
            folded = self._folded_by_peer.get((peer, stream))
            if folded is not None and folded >= start:
                self._mesh.send(peer, TailWanted(stream, start))
                return
        if peers:
            self._mesh.send(peers[0], TailWanted(stream, start))

    def _relay(self, stream: StreamName, payloads: tuple[bytes, ...]) -> bool:
        for peer in self._peers_in_turn():
            if self._mesh.send(peer, AppendWanted(stream, payloads)):
                return True
        return False

    def _peers_in_turn(self) -> list[VmId]:
        peers = sorted(self._mesh.connected())
        if not peers:
            return []
        self._turn = (self._turn + 1) % len(peers)
        return peers[self._turn :] + peers[: self._turn]


def _batches(
    entries: Sequence[LogEntry],
) -> Iterator[tuple[LogEntry, ...]]:
    """Yields entries in batches of bounded size."""
    batch: list[LogEntry] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.payload) > TAIL_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(entry)
        size += len(entry.payload)
    if batch:
        yield tuple(batch)
