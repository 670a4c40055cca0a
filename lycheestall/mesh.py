"""The messaging interface between daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from .ids import VmId
from .messages import MeshMessage

__all__ = ["Mesh", "MessageHandler", "PeerLostHandler"]

MessageHandler = Callable[[VmId, MeshMessage], None]
PeerLostHandler = Callable[[VmId], None]


class Mesh(ABC):
    """Sends messages to peers by VM id.

    Messages to one peer are delivered in the order they were sent while
    the connection is open. When a connection is lost, any number of the
    last messages may be lost with it; the handlers set by ``on_lost`` are
    called on both sides, possibly late.
    """

    @abstractmethod
    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Queues a message.

        Args:
            peer: The receiver.
            message: The message.

        Returns:
            False if the message was not queued, such as when there is no
            connection to the peer.
        """

    @abstractmethod
    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Sets the peers to stay connected to; others are disconnected."""

    @abstractmethod
    def connected(self) -> frozenset[VmId]:
        """Returns the peers with an open connection."""

    @abstractmethod
    def on_message(self, handler: MessageHandler) -> None:
        """Sets the handler of received messages."""

    @abstractmethod
    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets the handler of lost connections."""
