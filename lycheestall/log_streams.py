"""A daemon's log streams, with peers as a fallback path to the log."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from .cell_relay import CellRelay
from .checkpoints import CheckpointAssembler
from .clock import Clock
from .fold import Fold, Verdict
from .ids import Offset, SessionId, StreamName, VmId
from .log_reader import MAX_TAIL_BYTES, FoldedHandler, LogReader
from .log_writer import FLUSH_S, LogWriter
from .mesh import Mesh
from .messages import (
    AppendGiven,
    AppendWanted,
    MeshMessage,
    StreamOffsets,
    TailGiven,
    TailWanted,
)
from .platform_services import LogEntry, LogService
from .records import Record

__all__ = ["LogStreams", "RelaySelector"]

READ_BACK_WAIT_S = 0.25

RelaySelector = Callable[[StreamName], VmId | None]


class LogStreams:
    """The reader and writer of each stream.

    If the log does not respond to this daemon, it gets entries from a
    peer and lets a peer append its records.

    Args:
        log: The platform's log service.
        clock: Schedules timeouts and retries.
        mesh: Sends messages to peers.
        flush_s: Minimum time between two appends of the relay.
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
        self._own_vm = VmId("")
        self._reader_by_stream: dict[StreamName, LogReader] = {}
        self._writer_by_stream: dict[StreamName, LogWriter] = {}
        self._folded_by_peer: dict[tuple[VmId, StreamName], Offset] = {}
        self._cell_relay = CellRelay(log, clock, interval_s=flush_s)
        self._select_relay: RelaySelector | None = None
        self._first_peer_index = 0

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
        """Creates the reader of a stream; ``start`` starts it.

        Args:
            stream: The stream.
            fold: Receives each record.
            on_folded: Called with each record after it was folded and
                the stream's writer was notified.
            on_loaded: Called after a checkpoint has replaced the state.
            assembler: Reassembles the stream's checkpoints.
            shared: Whether the relay pushes what it reads to its peers,
                so that they need not poll the log.
        """

        def folded(offset: Offset, record: Record, verdict: Verdict) -> None:
            writer = self._writer_by_stream.get(stream)
            if writer is not None and record.writer == writer.session:
                writer.on_folded(offset, record, verdict)
            on_folded(offset, record, verdict)

        reader = LogReader(
            stream,
            fold,
            self._log,
            self._clock,
            on_folded=folded,
            on_loaded=on_loaded,
            request_tail=self._request_tail,
            on_read=self._push_to_peers if shared else None,
            must_read=self._must_read,
            assembler=assembler,
        )
        self._reader_by_stream[stream] = reader
        return reader

    def open_writer(self, stream: StreamName, session: SessionId) -> LogWriter:
        """Opens a writer; the stream's reader reads its records back.

        A stream has one writer at a time. The previous writer is no
        longer notified of its records and must be closed by the caller.
        """
        writer = LogWriter(
            stream,
            session,
            self._log,
            self._clock,
            append_via_peer=self._append_via_peer,
            append_via_relay=self._append_via_relay,
            flush_s=self._flush_s,
        )
        self._writer_by_stream[stream] = writer
        return writer

    def set_relay_selector(
        self, own_vm: VmId, select_relay: RelaySelector
    ) -> None:
        """Sends appends through a relay, a member that appends for all.

        Args:
            own_vm: This VM.
            select_relay: Returns the relay of a stream, or None.
        """
        self._own_vm = own_vm
        self._select_relay = select_relay

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
        """Returns the readers of all streams."""
        return tuple(self._reader_by_stream.values())

    def stream_offsets(self) -> tuple[StreamOffsets, ...]:
        """Returns the newest known and folded offsets of each stream."""
        return tuple(
            StreamOffsets(reader.stream, reader.newest, reader.folded)
            for reader in self._reader_by_stream.values()
        )

    def on_stream_offsets(
        self, peer: VmId, streams: tuple[StreamOffsets, ...]
    ) -> None:
        """Handles the stream offsets that a peer reports."""
        for offsets in streams:
            reader = self._reader_by_stream.get(offsets.stream)
            if reader is None:
                continue
            reader.note_newest(offsets.newest)
            self._folded_by_peer[peer, offsets.stream] = offsets.folded

    def on_peer_lost(self, peer: VmId) -> None:
        """Discards the state of a peer whose connection was lost."""
        for stream in self._reader_by_stream:
            self._folded_by_peer.pop((peer, stream), None)

    def on_message(self, peer: VmId, message: MeshMessage) -> bool:
        """Handles a message; returns False for other types of message."""
        if isinstance(message, TailWanted):
            reader = self._reader_by_stream.get(message.stream)
            if reader is not None:
                entries = reader.recent_entries(message.start)
                self._mesh.send(peer, TailGiven(message.stream, entries))
            return True
        if isinstance(message, TailGiven):
            reader = self._reader_by_stream.get(message.stream)
            if reader is not None:
                reader.add_from_peer(message.entries, pushed=message.pushed)
            return True
        if isinstance(message, AppendWanted):
            self._append_for_peer(peer, message)
            return True
        return isinstance(message, AppendGiven)

    def _append_for_peer(self, peer: VmId, message: AppendWanted) -> None:
        if message.stream not in self._reader_by_stream:
            return
        if self._cell_relay.add(
            message.stream, message.payloads, hold_s=message.hold_s
        ):
            reply = AppendGiven(message.stream, len(message.payloads))
            self._mesh.send(peer, reply)

    def _append_via_relay(
        self, stream: StreamName, payloads: tuple[bytes, ...], hold_s: float
    ) -> bool:
        if self._select_relay is None:
            return False
        relay = self._select_relay(stream)
        if relay is None:
            return False
        if relay == self._own_vm:
            return self._cell_relay.add(stream, payloads, hold_s=hold_s)
        request = AppendWanted(stream, payloads, hold_s)
        return self._mesh.send(relay, request)

    def _is_relay(self, stream: StreamName) -> bool:
        if self._select_relay is None:
            return False
        return self._select_relay(stream) == self._own_vm

    def _must_read(self, stream: StreamName) -> bool:
        """Returns whether to poll the log even if a peer pushes entries.

        The relay must poll, and so must a VM whose own records are not
        read back in time.
        """
        if self._is_relay(stream):
            return True
        writer = self._writer_by_stream.get(stream)
        if writer is None:
            return False
        return writer.oldest_age_s() > READ_BACK_WAIT_S + self._flush_s

    def _push_to_peers(
        self, stream: StreamName, entries: Sequence[LogEntry]
    ) -> None:
        if not self._is_relay(stream):
            return
        for batch in _split_batches(entries):
            message = TailGiven(stream, batch, pushed=True)
            for peer in self._mesh.connected():
                self._mesh.send(peer, message)

    def _request_tail(self, stream: StreamName, start: Offset) -> None:
        peers = self._peers_round_robin()
        for peer in peers:
            folded = self._folded_by_peer.get((peer, stream))
            if folded is not None and folded >= start:
                self._mesh.send(peer, TailWanted(stream, start))
                return
        if peers:
            self._mesh.send(peers[0], TailWanted(stream, start))

    def _append_via_peer(
        self, stream: StreamName, payloads: tuple[bytes, ...]
    ) -> bool:
        for peer in self._peers_round_robin():
            if self._mesh.send(peer, AppendWanted(stream, payloads)):
                return True
        return False

    def _peers_round_robin(self) -> list[VmId]:
        peers = sorted(self._mesh.connected())
        if not peers:
            return []
        self._first_peer_index = (self._first_peer_index + 1) % len(peers)
        return (
            peers[self._first_peer_index :] + peers[: self._first_peer_index]
        )


def _split_batches(
    entries: Sequence[LogEntry],
) -> Iterator[tuple[LogEntry, ...]]:
    """Yields entries in batches of at most ``MAX_TAIL_BYTES``.

    A larger entry is a batch of its own.
    """
    batch: list[LogEntry] = []
    size = 0
    for entry in entries:
        if batch and size + len(entry.payload) > MAX_TAIL_BYTES:
            yield tuple(batch)
            batch, size = [], 0
        batch.append(entry)
        size += len(entry.payload)
    if batch:
        yield tuple(batch)
