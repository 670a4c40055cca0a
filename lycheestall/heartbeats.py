"""Heartbeats: when they were sent, and which replies count."""

from __future__ import annotations

from collections.abc import Iterable

from .ids import SessionId, VmId
from .mesh import Mesh
from .messages import Heartbeat, HeartbeatReply, NewestOffset
from .targets import LoadReport

__all__ = ["Heartbeats"]

KEPT_SENDING_TIMES = 64


class Heartbeats:
    """Sends heartbeats to all peers and dates their replies.

    Args:
        mesh: Reaches the peers.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh
        self._number = 0
        self._sent_at_by_number: dict[int, float] = {}

    def send(
        self,
        now: float,
        peers: Iterable[VmId],
        *,
        session: SessionId,
        streams: tuple[NewestOffset, ...],
        loads: tuple[LoadReport, ...],
        draining: bool,
    ) -> None:
        """Sends one heartbeat to each peer.

        Args:
            now: Monotonic time in seconds.
            peers: Whom to send to.
            session: The sender's session.
            streams: What the sender knows of each stream.
            loads: Load reports to pass on.
            draining: Whether the sender is shutting down.
        """
        self._number += 1
        self._sent_at_by_number[self._number] = now
        self._sent_at_by_number.pop(self._number - KEPT_SENDING_TIMES, None)
        heartbeat = Heartbeat(self._number, session, streams, loads, draining)
        for peer in peers:
            self._mesh.send(peer, heartbeat)

    def answer(
        self,
        peer: VmId,
        heartbeat: Heartbeat,
        *,
        session: SessionId,
        streams: tuple[NewestOffset, ...],
    ) -> None:
        """Answers a peer's heartbeat."""
        reply = HeartbeatReply(heartbeat.number, session, streams)
        self._mesh.send(peer, reply)

    def sent_at(self, reply: HeartbeatReply) -> float | None:
        """Returns when the heartbeat of a reply was sent, if known."""
        return self._sent_at_by_number.get(reply.number)
