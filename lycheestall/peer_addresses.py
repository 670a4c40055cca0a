"""Whom a daemon stays connected with."""

from __future__ import annotations

from .ids import VmId
from .mesh import Mesh
from .platform_services import VmListing, VmRole
from .sessions import Sessions

__all__ = ["PeerAddresses"]

MAX_LISTED_PEERS = 16


class PeerAddresses:
    """Tells the mesh the members of the cell.

    Before this daemon has joined, a bounded number of listed VMs counts
    as peers too: one of them may give what the log does not.

    Args:
        mesh: Keeps the connections.
        own: This VM, which is no peer.
    """

    def __init__(self, mesh: Mesh, own: VmId) -> None:
        self._mesh = mesh
        self._own = own
        self._listed: dict[VmId, tuple[str, int]] = {}
        self._peers: dict[VmId, tuple[str, int]] = {}

    def listed(self, listing: VmListing) -> None:
        """Takes a snapshot of the platform's VM list."""
        self._listed = {
            entry.vm: (entry.host, entry.port)
            for entry in listing.entries
            if entry.role is VmRole.ENTRY
        }

    def update(self, sessions: Sessions, *, joined: bool) -> None:
        """Passes the peers to the mesh if they have changed.

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
