"""The links of one VM of the soak test to the store and the targets."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import orjson

from lycheestall.entry.callers import CallerFactory
from tests.entry.fake_store_server import FakeStoreServer
from tests.entry.memory_store import MemoryLog
from tests.soak.loopback_proxy import LoopbackProxy, ProxyMode
from tests.soak.soak_targets import SoakTarget


class SoakLinks:
    """A store server of a VM's own, which gives out proxies as its targets.

    Args:
        reactor: Listens and connects.
        log: The store's content.
        targets: The targets, each of which gets a proxy.

    Attributes:
        store_port: Port of the store server.
    """

    def __init__(
        self, reactor: Any, log: MemoryLog, targets: Sequence[SoakTarget]
    ) -> None:
        self._proxy_by_port = {
            target.proxy.port: LoopbackProxy(reactor, target.proxy.port)
            for target in targets
        }
        handler = FakeStoreServer(log, reactor, translate=self._translate)
        self._store = reactor.listenTCP(
            0, CallerFactory(handler, reactor), interface="127.0.0.1"
        )
        self.store_port: int = self._store.getHost().port

    def set_mode(self, mode: ProxyMode) -> None:
        """Changes how all links to the targets behave."""
        for proxy in self._proxy_by_port.values():
            proxy.set_mode(mode)

    def stop(self) -> None:
        """Stops listening."""
        for proxy in self._proxy_by_port.values():
            proxy.stop()
        self._store.stopListening()

    def _translate(self, value: bytes) -> bytes:
        document = orjson.loads(value)
        host, _, port = document["address"].partition(":")
        proxy = self._proxy_by_port[int(port)]
        return orjson.dumps({**document, "address": f"{host}:{proxy.port}"})
