"""The daemon process: listeners, signal handlers and one node."""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from typing import Any

from twisted.internet import defer
from twisted.internet.defer import Deferred, ensureDeferred

from .accounts import Accounts
from .admin_api import AdminApi
from .caller_api import CallerApi
from .http_limits import BoundedSite
from .http_targets import HttpTargetFactory
from .ids import SessionId
from .log_http import HttpLogService
from .logs import configure_logs, get_logger
from .mesh_tls import TlsContexts
from .mesh_websocket import WebsocketMesh
from .messages import Hello
from .metrics import Metrics
from .node import Node, NodeDependencies
from .node_admin import NodeAdmin
from .settings import Settings
from .settings_check import load_settings
from .vm_list_http import HttpVmList

__all__ = ["Daemon", "run_daemon"]

LISTEN_BACKLOG = 1024
EXIT_INVALID_SETTINGS = 2


class Daemon:
    """A node with its network listeners.

    Args:
        settings: Validated settings.
        reactor: The running Twisted reactor.
    """

    def __init__(self, settings: Settings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._logger = get_logger(vm=settings.vm, zone=settings.zone)
        self._ports: list[Any] = []
        self._draining = False
        self.exit_code = 0
        session = new_session_id(settings)
        self._mesh = _mesh(settings, session)
        metrics = Metrics(vm=settings.vm)
        target_factory = HttpTargetFactory(reactor)
        platform = settings.platform
        self.node = Node(
            settings=settings,
            session=session,
            dependencies=NodeDependencies(
                clock=reactor,
                wall_ms=wall_ms,
                log=HttpLogService(target_factory.client, platform.log_url),
                vm_list=HttpVmList(
                    target_factory.client, platform.vm_list_url
                ),
                mesh=self._mesh,
                target_factory=target_factory,
                random=random.Random(os.urandom(16)),
                logger=self._logger,
                metrics=metrics,
            ),
        )
        accounts = Accounts(settings.accounts)
        self._caller_api = CallerApi(
            accounts=accounts,
            handler=self.node,
            ready=self.node.ready,
            clock=reactor,
        )
        self._admin_api = AdminApi(
            accounts=accounts, backend=NodeAdmin(self.node), metrics=metrics
        )

    async def start(self) -> None:
        """Opens the listeners and starts the node."""
        await self._mesh.start()
        listen = self._settings.listen
        self._listen(self._caller_api.app.resource(), listen.callers_port)
        self._listen(self._admin_api.app.resource(), listen.admin_port)
        self.node.start()
        self._logger.info(
            "serving",
            host=listen.host,
            callers_port=listen.callers_port,
            admin_port=listen.admin_port,
            mesh_port=listen.mesh_port,
        )

    def drain(self) -> None:
        """Starts the graceful shutdown; repeated calls have no effect."""
        if self._draining:
            return
        self._draining = True
        self._logger.info("draining")
        done = ensureDeferred(self._drain())
        done.addErrback(self._drain_failed)
        done.addBoth(lambda _: self._reactor.stop())

    async def _drain(self) -> None:
        await self.node.drain()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self.node.stop()
        await self._mesh.stop()
        self._logger.info("stopped")

    def _drain_failed(self, failure: Any) -> None:
        self.exit_code = 1
        self._logger.error("drain failed", error=failure.getTraceback())

    def _listen(self, resource: Any, port: int) -> None:
        self._ports.append(
            self._reactor.listenTCP(
                port,
                BoundedSite(resource),
                backlog=LISTEN_BACKLOG,
                interface=self._settings.listen.host,
            )
        )


def wall_ms() -> int:
    """Returns the wall-clock time in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


def new_session_id(settings: Settings) -> SessionId:
    """Returns a new session id for this run of the daemon.

    Args:
        settings: The settings, with the VM's id.
    """
    return SessionId(f"{settings.vm}.{wall_ms()}.{os.urandom(4).hex()}")


def _mesh(settings: Settings, session: SessionId) -> WebsocketMesh:
    from . import __version__

    tls = None
    if settings.tls is not None:
        tls = TlsContexts(settings.tls)
    return WebsocketMesh(
        Hello(settings.vm, session, settings.cell, __version__),
        settings.listen.host,
        settings.listen.mesh_port,
        tls=tls,
    )


def run_daemon(settings_file: str, *, log_level: str) -> int:
    """Runs a daemon until it receives SIGTERM or SIGINT.

    Args:
        settings_file: Path of the settings file.
        log_level: Lowest severity of the log lines to write.

    Returns:
        The exit code of the process.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    configure_logs(level=log_level)
    loaded = load_settings(settings_file)
    if not isinstance(loaded, Settings):
        for error in loaded:
            print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    daemon = Daemon(loaded, reactor)
    started: Deferred[None] = Deferred()
    # A startup trigger would run before the asyncio loop is running; a
    # timer runs after.
    reactor.callLater(0, started.callback, None)
    started.addCallback(lambda _: ensureDeferred(daemon.start()))
    started.addErrback(lambda failure: _start_failed(daemon, reactor, failure))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: _drain_from_signal(daemon, reactor))
    reactor.run(installSignalHandlers=False)
    return daemon.exit_code


def _drain_from_signal(daemon: Daemon, reactor: Any) -> None:
    reactor.callFromThread(daemon.drain)


def _start_failed(daemon: Daemon, reactor: Any, failure: Any) -> None:
    get_logger().error("start failed", error=failure.getTraceback())
    daemon.exit_code = 1
    reactor.stop()
