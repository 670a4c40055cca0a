"""The process of an entry VM: sockets, signals, start and stop."""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from dataclasses import fields, replace
from typing import Any, TextIO, cast

from twisted.internet import defer
from twisted.internet.defer import ensureDeferred

from ..clock import sleep
from ..log_output import BoundedOutput
from ..logs import configure_logs, get_logger
from .caller_connection import CallerFactory
from .entry_metrics import EntryMetrics
from .entry_vm import EntryVm
from .exchange import RequestHandler
from .header_codec import HeaderCodec
from .peer_link import PeerCaller, PeerEndpoint
from .readiness import MetricsHandler, ReadinessHandler
from .record_decoder import RecordDecoder
from .store import Store
from .token_ledger import HolderId
from .vm_settings import Address, EntrySettings, SettingsProblem

__all__ = ["PlatformAdapter", "EntryProcess", "SettingsLoader", "run_entry"]

LISTEN_BACKLOG = 512
LOG_DRAIN_S = 0.2
"""Seconds between writes of the log."""

STILL_ROUTED_S = 3.2
"""Seconds after readiness ends during which new callers still come."""

GRACE_MARGIN_S = 0.8
"""Part of the grace period that is kept for the end of the process."""

POLL_BUSY_S = 0.05
"""Seconds between looks at whether requests are still in progress."""


SettingsLoader = Callable[[], EntrySettings | list[SettingsProblem]]
"""Reads the settings; every problem if they can't be used."""


class PlatformAdapter:
    """What is special to the platform that the VM runs on.

    Args:
        store: Makes the client of the platform's store.
        headers: Reads and writes headers.
        records: Decodes the store's records.
    """

    def __init__(
        self,
        *,
        store: Callable[[Any, Address], Store],
        headers: HeaderCodec,
        records: RecordDecoder,
    ) -> None:
        self.store = store
        self.headers = headers
        self.records = records


class EntryProcess:
    """One entry VM on real sockets.

    Args:
        settings: Checked settings.
        adapter: The platform's side.
        reactor: The running reactor.
        output: The log.
        reread: Reads the settings again.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: PlatformAdapter,
        reactor: Any,
        output: BoundedOutput,
        reread: SettingsLoader,
    ) -> None:
        self._settings = settings
        self._reread = reread
        self._reactor = reactor
        self._output = output
        self._logger = get_logger(vm=settings.vm)
        self._stopping = False
        self._ports: list[Any] = []
        metrics = EntryMetrics(vm=settings.vm)
        self._peers = PeerCaller(reactor, self._logger)
        self._vm = EntryVm(
            settings=settings,
            store=adapter.store(reactor, settings.store),
            peers=self._peers,
            headers=adapter.headers,
            records=adapter.records,
            holder=HolderId(f"{settings.vm}.{os.urandom(6).hex()}"),
            reactor=reactor,
            logger=self._logger,
            metrics=metrics,
        )
        self._callers = CallerFactory(self._vm, reactor)
        self._metrics = metrics

    def start(self) -> None:
        """Opens the listeners and follows the store."""
        settings = self._settings
        self._listen(settings.readiness, ReadinessHandler(self._ready))
        self._listen(
            Address(settings.host, settings.metrics_port),
            MetricsHandler(self._metrics.render),
        )
        self._listen(
            Address(settings.host, settings.peers_port),
            PeerEndpoint(self._vm, self._logger),
        )
        self._listen_with(settings.callers, self._callers)
        self._vm.start()
        self._drain_log()
        self._logger.info("started", zone=settings.zone)

    def stop(self) -> None:
        """Begins the graceful shutdown; later calls change nothing."""
        if self._stopping:
            return
        self._stopping = True
        self._logger.info("stopping", running=self._vm.running)
        done = ensureDeferred(self._shut_down())
        done.addErrback(self._shut_down_failed)
        done.addBoth(lambda _: self._reactor.stop())

    def reload(self) -> None:
        """Rereads the settings; addresses stay those of the start."""
        loaded = self._reread()
        if not isinstance(loaded, EntrySettings):
            problems = [str(problem) for problem in loaded]
            self._logger.error("settings unusable", problems=problems)
            return
        changed = [
            field.name
            for field in fields(loaded)
            if getattr(loaded, field.name)
            != getattr(self._settings, field.name)
        ]
        self._settings = replace(self._settings, grace_s=loaded.grace_s)
        self._logger.info(
            "settings reread",
            changed=changed,
            needs_restart=[name for name in changed if name != "grace_s"],
        )

    def finish_log(self) -> None:
        """Writes what is left of the log."""
        self._output.drain()

    def _ready(self) -> bool:
        return self._vm.ready

    async def _shut_down(self) -> None:
        started = self._reactor.seconds()
        ends = started + self._settings.grace_s - GRACE_MARGIN_S
        self._vm.drain()
        self._callers.close_idle()
        await sleep(self._reactor, STILL_ROUTED_S)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        while self._reactor.seconds() < ends:
            self._callers.close_idle()
            if not self._callers.busy and not self._vm.running:
                break
            await sleep(self._reactor, POLL_BUSY_S)
        left_s = max(0.1, ends - self._reactor.seconds())
        stopped = ensureDeferred(self._vm.stop())
        stopped.addTimeout(left_s, self._reactor)
        try:
            await stopped
        except defer.TimeoutError:
            # Peers record what was granted; the rest stays held.
            self._logger.warning("stopped before the ledger took all records")
        self._logger.info("stopped", running=self._vm.running)

    def _shut_down_failed(self, failure: Any) -> None:
        self._logger.error("shutdown failed", error=failure.getTraceback())

    def _drain_log(self) -> None:
        self._output.drain()
        self._reactor.callLater(LOG_DRAIN_S, self._drain_log)

    def _listen(self, address: Address, handler: RequestHandler) -> None:
        self._listen_with(address, CallerFactory(handler, self._reactor))

    def _listen_with(self, address: Address, factory: CallerFactory) -> None:
        port = self._reactor.listenTCP(
            address.port,
            factory,
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        self._ports.append(port)


def run_entry(
    settings: EntrySettings,
    adapter: PlatformAdapter,
    *,
    log_level: str,
    reread: SettingsLoader,
) -> int:
    """Runs an entry VM until SIGTERM.

    Args:
        settings: Checked settings.
        adapter: The platform's side.
        log_level: Least severe log lines to write.
        reread: Reads the settings again.

    Returns:
        The process's exit code.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    output = BoundedOutput(sys.stdout.fileno())
    configure_logs(level=log_level, output=cast(TextIO, output))
    process = EntryProcess(settings, adapter, reactor, output, reread)
    # Startup triggers run before the asyncio loop does; a timer does not.
    reactor.callLater(0, process.start)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(process.stop))
    signal.signal(
        signal.SIGHUP, lambda *_: reactor.callFromThread(process.reload)
    )
    reactor.run(installSignalHandlers=False)
    process.finish_log()
    return 0
