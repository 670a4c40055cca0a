"""Selects the peers that a daemon connects to."""

from __future__ import annotations

from .ids import VmId
from .mesh import Mesh
from .platform_services import VmListing, VmRole
from .sessions import Sessions

__all__ = ["PeerAddresses"]

MAX_LISTED_PEERS = 16


class PeerAddresses:
    """Keeps the mesh's peers equal to the members of the cell.

    Before this daemon has joined, a limited number of VMs from the VM
    list are peers as well: they may provide log entries that this VM
    can't get from the log.

    Args:
        mesh: Keeps the connections.
        own: This VM, which is never a peer.
    """

    def __init__(self, mesh: Mesh, own: VmId) -> None:
        self._mesh = mesh
        self._own = own
        self._listed: dict[VmId, tuple[str, int]] = {}
        self._peers: dict[VmId, tuple[str, int]] = {}

    def on_listing(self, listing: VmListing) -> None:
        """Stores a snapshot of the platform's VM list."""
        self._listed = {
            entry.vm: (entry.host, entry.port)
            for entry in listing.entries
            if entry.role is VmRole.ENTRY
        }

    def update(self, sessions: Sessions, *, joined: bool) -> None:
        """Updates the mesh's peers if they have changed.

        Args:
            sessions: The folded sessions.
            joined: Whether this daemon has a session.
        """
        peers: dict[VmId, tuple[str, int]] = {}
        if not joined:
            for vm in sorted(self._listed)[:MAX_LISTED_PEERS]:
                peers[vm] = self._listed[vm]
        for session in sessions.by_id.values():
            peers[session.vm] = (session.host, session.port)
        peers.pop(self._own, None)
        if peers != self._peers:
            self._peers = peers
            self._mesh.set_peers(peers)
