"""The process of an entry VM: listeners, signals, startup and shutdown."""

from __future__ import annotations

import os
import resource
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
from .boot_clock import BootClockReactor
from .callers import (
    CallerFactory,
    ConnectionBounds,
    ConnectionLog,
    caller_bounds,
    peer_bounds,
    status_bounds,
)
from .entry_metrics import EntryMetrics
from .entry_vm import EntryVm
from .header_codec import HeaderCodec
from .peer_rpc import PeerClient, PeerEndpoint
from .readiness import MetricsHandler, ReadinessHandler
from .record_decoder import RecordDecoder
from .responses import RequestHandler
from .store import Store
from .token_ledger import HolderId
from .vm_settings import Address, EntrySettings, SettingsProblem

__all__ = ["EntryProcess", "PlatformAdapter", "SettingsLoader", "run_entry"]

LISTEN_BACKLOG = 512
LOG_FLUSH_INTERVAL_S = 0.2
"""Seconds between writes of buffered log lines."""

DEREGISTRATION_DELAY_S = 3.2
"""Seconds after the VM stops being ready during which the platform may still
send new callers."""

EXIT_MARGIN_S = 0.8
"""Seconds of the grace period that are reserved for the last steps of the
shutdown."""

ANSWER_MARGIN_S = 0.2
"""Seconds in which callers whose requests are cut off receive their
responses."""

DRAIN_POLL_S = 0.05
"""Seconds between checks whether requests are still running."""


SettingsLoader = Callable[[], EntrySettings | list[SettingsProblem]]
"""Reads the settings; returns all problems if they are invalid."""


class PlatformAdapter:
    """The components that depend on the platform's protocols.

    Args:
        create_store: Creates the client of the platform's store.
        headers: Parses and builds the platform's headers.
        decoder: Decodes the store's records.
    """

    def __init__(
        self,
        *,
        create_store: Callable[[Any, EntrySettings], Store],
        headers: HeaderCodec,
        decoder: RecordDecoder,
    ) -> None:
        self.create_store = create_store
        self.headers = headers
        self.decoder = decoder


class EntryProcess:
    """Runs an entry VM on network sockets.

    Args:
        settings: The checked settings.
        adapter: The platform-specific components.
        reactor: The reactor.
        output: Buffered output of the log.
        load_settings: Reads the settings again on SIGHUP.
    """

    def __init__(
        self,
        settings: EntrySettings,
        adapter: PlatformAdapter,
        reactor: Any,
        output: BoundedOutput,
        load_settings: SettingsLoader,
    ) -> None:
        reactor = BootClockReactor(reactor)
        self._settings = settings
        self._load_settings = load_settings
        self._reactor = reactor
        self._output = output
        self._logger = get_logger(vm=settings.vm)
        self._stopping = False
        self._ports: list[Any] = []
        metrics = EntryMetrics(vm=settings.vm)
        self._peers = PeerClient(reactor, self._logger)
        self._vm = EntryVm(
            settings=settings,
            store=adapter.create_store(reactor, settings),
            peers=self._peers,
            headers=adapter.headers,
            decoder=adapter.decoder,
            holder=HolderId(f"{settings.vm}.{os.urandom(6).hex()}"),
            reactor=reactor,
            logger=self._logger,
            metrics=metrics,
        )
        self._metrics = metrics
        descriptors = _max_descriptors(settings)
        self._callers = self._factory(
            "callers",
            self._vm,
            caller_bounds(settings.memory_mb, descriptors),
        )
        self._peer_bounds = peer_bounds(settings.memory_mb, descriptors)

    def start(self) -> None:
        """Opens the listeners and starts to follow the store."""
        settings = self._settings
        self._listen(
            settings.readiness,
            self._factory(
                "readiness", ReadinessHandler(self._ready), status_bounds()
            ),
        )
        self._listen(
            Address(settings.host, settings.metrics_port),
            self._factory(
                "metrics",
                MetricsHandler(self._metrics.render),
                status_bounds(),
            ),
        )
        self._listen(
            Address(settings.host, settings.peers_port),
            self._factory(
                "peers",
                PeerEndpoint(self._vm, self._logger),
                self._peer_bounds,
            ),
        )
        self._listen(settings.callers, self._callers)
        self._vm.start()
        self._flush_log()
        self._logger.info("started", zone=settings.zone)

    def stop(self) -> None:
        """Starts the graceful shutdown; further calls have no effect."""
        if self._stopping:
            return
        self._stopping = True
        self._logger.info("stopping", running=self._vm.running)
        done = ensureDeferred(self._shut_down())
        done.addErrback(self._shut_down_failed)
        done.addBoth(lambda _: self._reactor.stop())

    def reload(self) -> None:
        """Reloads the settings; only ``grace_s`` changes without a restart."""
        loaded = self._load_settings()
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
        """Writes the remaining buffered log lines."""
        self._output.drain()

    def _ready(self) -> bool:
        return self._vm.ready

    async def _shut_down(self) -> None:
        started = self._reactor.seconds()
        deadline = started + self._settings.grace_s - EXIT_MARGIN_S
        self._vm.drain(ends_at=deadline - ANSWER_MARGIN_S)
        self._callers.close_idle()
        await sleep(self._reactor, DEREGISTRATION_DELAY_S)
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        while self._reactor.seconds() < deadline - ANSWER_MARGIN_S:
            self._callers.close_idle()
            if not self._callers.busy_connections and not self._vm.running:
                break
            await sleep(self._reactor, DRAIN_POLL_S)
        cut_off = self._vm.end_requests()
        if cut_off:
            self._logger.warning("requests cut off", requests=cut_off)
            await sleep(self._reactor, ANSWER_MARGIN_S)
        remaining_s = max(0.1, deadline - self._reactor.seconds())
        stopped = ensureDeferred(self._vm.stop())
        stopped.addTimeout(remaining_s, self._reactor)
        try:
            await stopped
        except defer.TimeoutError:
            # Peers record the granted tokens; the rest remains reserved.
            self._logger.warning(
                "shutdown timed out before all ledger records were written"
            )
        self._logger.info("stopped", running=self._vm.running)

    def _shut_down_failed(self, failure: Any) -> None:
        self._logger.error("shutdown failed", error=failure.getTraceback())

    def _flush_log(self) -> None:
        self._output.drain()
        self._reactor.callLater(LOG_FLUSH_INTERVAL_S, self._flush_log)

    def _factory(
        self, port: str, handler: RequestHandler, bounds: ConnectionBounds
    ) -> CallerFactory:
        log = ConnectionLog(port, self._logger, self._metrics, self._reactor)
        return CallerFactory(handler, self._reactor, bounds=bounds, log=log)

    def _listen(self, address: Address, factory: CallerFactory) -> None:
        port = self._reactor.listenTCP(
            address.port,
            factory,
            backlog=LISTEN_BACKLOG,
            interface=address.host,
        )
        self._ports.append(port)


def _max_descriptors(settings: EntrySettings) -> int:
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        return settings.max_descriptors
    return min(settings.max_descriptors, allowed)


def run_entry(
    settings: EntrySettings,
    adapter: PlatformAdapter,
    *,
    log_level: str,
    load_settings: SettingsLoader,
) -> int:
    """Runs an entry VM until SIGTERM.

    Args:
        settings: The checked settings.
        adapter: The platform-specific components.
        log_level: Lowest severity of log lines to write.
        load_settings: Reads the settings again on SIGHUP.

    Returns:
        Exit code of the process.
    """
    from twisted.internet import reactor as installed

    reactor: Any = installed
    output = BoundedOutput(sys.stdout.fileno())
    configure_logs(level=log_level, output=cast(TextIO, output))
    process = EntryProcess(settings, adapter, reactor, output, load_settings)
    # Startup triggers run before the asyncio loop is running; a timer with
    # zero delay runs after it has started.
    reactor.callLater(0, process.start)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(process.stop))
    signal.signal(
        signal.SIGHUP, lambda *_: reactor.callFromThread(process.reload)
    )
    reactor.run(installSignalHandlers=False)
    process.finish_log()
    return 0
