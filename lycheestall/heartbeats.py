"""Heartbeats between the members of a cell."""

from __future__ import annotations

from collections.abc import Callable

from .cell_session import CellSession
from .clock import Clock
from .ids import Offset, StreamName, VmId
from .log_streams import LogStreams
from .mesh import Mesh
from .messages import Heartbeat, HeartbeatReply, MeshMessage
from .records import NO_OFFSET
from .session_lifecycle import SessionState
from .targets import LoadReport

__all__ = ["Heartbeats", "LoadHandler", "LoadSource"]

MAX_KEPT_SEND_TIMES = 64

LoadSource = Callable[[], tuple[LoadReport, ...]]
LoadHandler = Callable[[VmId, tuple[LoadReport, ...]], None]


class Heartbeats:
    """Sends heartbeats to all peers and handles theirs and the replies.

    A leaving session neither sends nor answers: once its leave record is
    written, the other members rely on it granting no more peer leases.

    Args:
        mesh: Connections to the peers.
        streams: The streams this VM follows.
        clock: Monotonic clock.
        stream: The cell's stream.
        current: Returns the current session, if any.
    """

    def __init__(
        self,
        mesh: Mesh,
        streams: LogStreams,
        clock: Clock,
        *,
        stream: StreamName,
        current: Callable[[], CellSession | None],
    ) -> None:
        self._mesh = mesh
        self._streams = streams
        self._clock = clock
        self._stream = stream
        self._current = current
        self._load_source: LoadSource = tuple
        self._on_loads: LoadHandler | None = None
        self._number = 0
        self._sent_at_by_number: dict[int, float] = {}

    def exchange_loads(
        self, source: LoadSource, on_loads: LoadHandler
    ) -> None:
        """Sets the source and the handler of load reports in heartbeats."""
        self._load_source = source
        self._on_loads = on_loads

    def send(self) -> None:
        """Sends one heartbeat to each connected peer."""
        current = self._sending_session()
        if current is None:
            return
        self._number += 1
        self._sent_at_by_number[self._number] = self._clock.seconds()
        self._sent_at_by_number.pop(self._number - MAX_KEPT_SEND_TIMES, None)
        heartbeat = Heartbeat(
            self._number,
            current.session,
            self._streams.stream_offsets(),
            self._load_source(),
            current.state is SessionState.DRAINING,
        )
        for peer in self._mesh.connected():
            self._mesh.send(peer, heartbeat)

    def on_message(self, peer: VmId, message: MeshMessage) -> bool:
        """Handles heartbeats and replies; returns False for other messages."""
        if isinstance(message, Heartbeat):
            self._on_heartbeat(peer, message)
            return True
        if isinstance(message, HeartbeatReply):
            self._on_reply(peer, message)
            return True
        return False

    def _sending_session(self) -> CellSession | None:
        current = self._current()
        if current is None or current.state is SessionState.LEAVING:
            return None
        return current

    def _on_heartbeat(self, peer: VmId, message: Heartbeat) -> None:
        self._streams.on_stream_offsets(peer, message.streams)
        if self._on_loads is not None and message.loads:
            self._on_loads(peer, message.loads)
        current = self._sending_session()
        if current is None:
            return
        current.membership.on_heartbeat(
            message.session,
            self._newest(message),
            self._clock.seconds(),
            draining=message.draining,
        )
        reply = HeartbeatReply(
            message.number, current.session, self._streams.stream_offsets()
        )
        self._mesh.send(peer, reply)

    def _on_reply(self, peer: VmId, message: HeartbeatReply) -> None:
        self._streams.on_stream_offsets(peer, message.streams)
        sent_at = self._sent_at_by_number.get(message.number)
        current = self._current()
        if current is None or sent_at is None:
            return
        current.membership.on_heartbeat(
            message.session, self._newest(message), self._clock.seconds()
        )
        newest_by_stream = {
            known.stream: known.newest for known in message.streams
        }
        current.authority.on_reply(message.session, sent_at, newest_by_stream)

    def _newest(self, message: Heartbeat | HeartbeatReply) -> Offset:
        for known in message.streams:
            if known.stream == self._stream:
                return known.newest
        return NO_OFFSET
