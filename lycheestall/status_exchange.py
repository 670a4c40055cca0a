"""Asks the peers for their status and answers theirs."""

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

ANSWER_LIMIT_S = 1.0


class StatusExchange:
    """Gathers each VM's own view over the mesh.

    Args:
        mesh: Reaches the peers.
        clock: Times the wait for them.
        own: Returns this VM's own view.
    """

    def __init__(
        self, *, mesh: Mesh, clock: Clock, own: Callable[[], VmStatus]
    ) -> None:
        self._mesh = mesh
        self._clock = clock
        self._own = own
        self._next_request = 1
        self._round_by_request: dict[int, _Round] = {}

    def on_message(self, peer: VmId, message: MeshMessage) -> bool:
        """Takes a message; False when it is not about status."""
        if isinstance(message, StatusWanted):
            document = to_json(self._own())
            self._mesh.send(peer, StatusGiven(message.request, document))
            return True
        if isinstance(message, StatusGiven):
            waiting = self._round_by_request.get(message.request)
            if waiting is not None:
                waiting.answered(peer, message.document)
            return True
        return False

    def gather(self, peers: Iterable[VmId]) -> Deferred[dict[VmId, VmStatus]]:
        """Asks peers; those that do not answer in time are left out.

        Args:
            peers: Whom to ask.
        """
        request = self._next_request
        self._next_request += 1
        asked = {
            peer
            for peer in peers
            if self._mesh.send(peer, StatusWanted(request))
        }
        current = _Round(asked)
        self._round_by_request[request] = current
        timer = self._clock.callLater(ANSWER_LIMIT_S, current.end)

        def ended(found: dict[VmId, VmStatus]) -> dict[VmId, VmStatus]:
            del self._round_by_request[request]
            if timer.active():
                timer.cancel()
            return found

        return current.done.addCallback(ended)


class _Round:
    """The answers to one question."""

    def __init__(self, asked: set[VmId]) -> None:
        self._open = asked
        self._status_by_vm: dict[VmId, VmStatus] = {}
        self.done: Deferred[dict[VmId, VmStatus]] = Deferred()
        if not asked:
            self.end()

    def answered(self, peer: VmId, document: bytes) -> None:
        if peer not in self._open:
            return
        self._open.discard(peer)
        status = cattrs.structure(orjson.loads(document), VmStatus)
        self._status_by_vm[peer] = status
        if not self._open:
            self.end()

    def end(self) -> None:
        if not self.done.called:
            self.done.callback(self._status_by_vm)
