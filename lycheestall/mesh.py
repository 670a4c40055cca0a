"""The interface between daemons: ordered messages to a peer, or loss."""

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

    Messages to one peer arrive in sending order while the connection
    lasts. A lost connection loses any suffix of them; ``on_lost`` then
    tells both sides, possibly late.
    """

    @abstractmethod
    def send(self, peer: VmId, message: MeshMessage) -> bool:
        """Queues a message.

        Args:
            peer: The receiver.
            message: What to send.

        Returns:
            False when there is no connection to the peer.
        """

    @abstractmethod
    def set_peers(self, address_by_vm: dict[VmId, tuple[str, int]]) -> None:
        """Says whom to stay connected with; others are dropped."""

    @abstractmethod
    def connected(self) -> frozenset[VmId]:
        """Returns the peers with an open connection."""

    @abstractmethod
    def on_message(self, handler: MessageHandler) -> None:
        """Sets who gets the messages that arrive."""

    @abstractmethod
    def on_lost(self, handler: PeerLostHandler) -> None:
        """Sets who is told of a peer's lost connection."""
