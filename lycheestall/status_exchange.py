"""Exchanges status documents with the peers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import cattrs
import orjson
from twisted.internet.defer import Deferred

from .admin_api import to_json
from .clock import Clock
from .ids import VmId
from .mesh import Mesh
from .messages import MeshMessage, StatusGiven, StatusWanted
from .status import VmStatus

__all__ = ["StatusExchange"]

REPLY_TIMEOUT_S = 1.0


class StatusExchange:
    """Requests the status of peers over the mesh and replies to theirs.

    Args:
        mesh: Connections to the peers.
        clock: Times the wait for replies.
        own_status: Returns this VM's status.
    """

    def __init__(
        self, *, mesh: Mesh, clock: Clock, own_status: Callable[[], VmStatus]
    ) -> None:
        self._mesh = mesh
        self._clock = clock
        self._own_status = own_status
        self._next_request = 1
        self._query_by_request: dict[int, _StatusQuery] = {}

    def on_message(self, peer: VmId, message: MeshMessage) -> bool:
        """Handles a message; returns False if it is not about status."""
        if isinstance(message, StatusWanted):
            document = to_json(self._own_status())
            self._mesh.send(peer, StatusGiven(message.request, document))
            return True
        if isinstance(message, StatusGiven):
            query = self._query_by_request.get(message.request)
            if query is not None:
                query.add_reply(peer, message.document)
            return True
        return False

    def gather(self, peers: Iterable[VmId]) -> Deferred[dict[VmId, VmStatus]]:
        """Returns the status of each peer that replies in time.

        Args:
            peers: The VMs to send the request to.
        """
        request = self._next_request
        self._next_request += 1
        asked = {
            peer
            for peer in peers
            if self._mesh.send(peer, StatusWanted(request))
        }
        query = _StatusQuery(asked)
        self._query_by_request[request] = query
        timer = self._clock.callLater(REPLY_TIMEOUT_S, query.finish)

        def clean_up(found: dict[VmId, VmStatus]) -> dict[VmId, VmStatus]:
            del self._query_by_request[request]
            if timer.active():
                timer.cancel()
            return found

        return query.done.addCallback(clean_up)


class _StatusQuery:
    """The replies to one status request."""

    def __init__(self, asked: set[VmId]) -> None:
        self._awaited = asked
        self._status_by_vm: dict[VmId, VmStatus] = {}
        self.done: Deferred[dict[VmId, VmStatus]] = Deferred()
        if not asked:
            self.finish()

    def add_reply(self, peer: VmId, document: bytes) -> None:
        if peer not in self._awaited:
            return
        self._awaited.discard(peer)
        status = cattrs.structure(orjson.loads(document), VmStatus)
        self._status_by_vm[peer] = status
        if not self._awaited:
            self.finish()

    def finish(self) -> None:
        if not self.done.called:
            self.done.callback(self._status_by_vm)
