"""Watches the links to the targets, and probes those that are in doubt."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, succeed
from twisted.python.failure import Failure

from ..ids import TargetId
from ..logs import Logger
from ._log_fields import milliseconds
from .connection_pool import ConnectionPool, is_timeout
from .crashes.target_contact import ProbeResult, TargetContact
from .entry_metrics import EntryMetrics
from .target_links import MAX_PROBES_AT_ONCE, LinkSummary, TargetLinks
from .target_table import TargetRegistration, TargetTable

__all__ = ["LinkMonitor", "LinkUse"]

PROBE_TIMEOUT_S = 0.25
"""Timeout for opening a connection as a probe."""

MAX_LOGGED_TARGETS = 20
"""Targets named in one log line; the others are only counted."""


class LinkUse:
    """One attempt's use of the link to its target.

    Args:
        monitor: Learns what the attempt observes.
        target: The target.

    Attributes:
        on_lost: Called when the link is lost and has been silent since.
    """

    def __init__(self, monitor: LinkMonitor, target: TargetId) -> None:
        self._monitor = monitor
        self._target = target
        self.on_lost: Callable[[], None] | None = None

    def heard(self) -> None:
        """Notes that the target has sent data."""
        self._monitor.links.heard(self._target, self._monitor.now())

    def connected(self) -> None:
        """Notes that the target has accepted a new connection."""
        self._monitor.links.connected(self._target, self._monitor.now())

    def connect_failed(self, *, refused: bool) -> None:
        """Notes that a new connection could not be opened.

        Args:
            refused: Whether it was refused; otherwise nothing was heard.
        """
        self._monitor.links.connect_failed(
            self._target, self._monitor.now(), refused=refused
        )

    def end(self) -> None:
        """Ends the use."""
        self._monitor.end_use(self, self._target)


class LinkMonitor(TargetContact):
    """Connects the decisions about links with connections and logs.

    Args:
        table: The registered targets.
        pool_of: Returns the connection pool of a target.
        clock: Tells the time.
        logger: Logs which links are lost or work again.
        metrics: Receives the gauges.

    Attributes:
        links: Decides which links work.
    """

    def __init__(
        self,
        *,
        table: TargetTable,
        pool_of: Callable[[TargetRegistration], ConnectionPool],
        clock: Any,
        logger: Logger,
        metrics: EntryMetrics,
    ) -> None:
        self._table = table
        self._pool_of = pool_of
        self._clock = clock
        self._logger = logger
        self._metrics = metrics
        self._uses_by_target: dict[TargetId, set[LinkUse]] = {}
        self._logged = LinkSummary()
        self.links = TargetLinks()

    def now(self) -> float:
        """Returns the current time."""
        seconds: float = self._clock.seconds()
        return seconds

    def use(self, target: TargetId) -> LinkUse:
        """Notes that an attempt uses the link to a target from now on."""
        use = LinkUse(self, target)
        self.links.request_started(target, self.now())
        self._uses_by_target.setdefault(target, set()).add(use)
        return use

    def end_use(self, use: LinkUse, target: TargetId) -> None:
        """Notes that an attempt no longer uses the link to its target."""
        self.links.request_ended(target)
        uses = self._uses_by_target.get(target, set())
        uses.discard(use)
        if not uses:
            self._uses_by_target.pop(target, None)

    def check(self) -> LinkSummary:
        """Starts the probes that are due and logs what has changed.

        Returns:
            The links that don't work.
        """
        registered = self._table.targets()
        for target in self.links.start_probes(registered, self.now()):
            self._probe(target)
        summary = self.links.summary(self.now())
        if summary != self._logged:
            self._log_change(summary)
        return summary

    def heard_since(self, target: TargetId, at: float) -> bool:
        """Returns whether a target was heard after some time."""
        return self.links.contact(target, self.now()).target_s < (
            self.now() - at
        )

    def probe(self, target: TargetId) -> Deferred[ProbeResult]:
        """Opens a connection to a target, which is kept as an idle one."""
        registration = self._table.get(target)
        if registration is None:
            return succeed(ProbeResult.SILENT)
        probe: Any = self._pool_of(registration).probe(
            timeout_s=PROBE_TIMEOUT_S
        )
        result: Deferred[ProbeResult] = probe.addCallbacks(
            lambda _: self._probe_connected(target), _failed_probe
        )
        return result

    def reaches_another(
        self, target: TargetId, *, since: float
    ) -> Deferred[bool]:
        """Returns whether this VM reaches another target.

        Args:
            target: The target that doesn't count.
            since: Time after which it is enough to have heard one.
        """
        others = [one for one in self._table.targets() if one != target]
        if any(self.heard_since(other, since) for other in others):
            return succeed(True)
        others.sort(key=lambda one: self.links.contact(one, 0.0).target_s)
        probes = [self.probe(other) for other in others[:MAX_PROBES_AT_ONCE]]
        results: Any = DeferredList(probes, consumeErrors=True)
        reached: Deferred[bool] = results.addCallback(
            lambda replies: any(
                result is ProbeResult.CONNECTED for _, result in replies
            )
        )
        return reached

    def remove_expired(self) -> None:
        """Forgets targets that are no longer registered."""
        self.links.keep_only(self._table.targets())

    def _probe_connected(self, target: TargetId) -> ProbeResult:
        self.links.connected(target, self.now())
        return ProbeResult.CONNECTED

    def _probe(self, target: TargetId) -> None:
        registration = self._table.get(target)
        if registration is None:
            self.links.forget(target)
            return
        pool = self._pool_of(registration)
        probe = pool.probe(timeout_s=PROBE_TIMEOUT_S)
        probe.addCallbacks(
            lambda _: self.links.connected(target, self.now()),
            lambda failure: self._probe_failed(target, pool, failure),
        )

    def _probe_failed(
        self, target: TargetId, pool: ConnectionPool, failure: Failure
    ) -> None:
        refused = not is_timeout(failure)
        self.links.probe_failed(target, self.now(), refused=refused)
        now = self.now()
        if self.links.is_silent(target, now):
            # Its idle connections may have ended unnoticed.
            pool.close()
        for used in list(self._uses_by_target):
            if self.links.is_silent(used, now):
                self._break_off(used)

    def _break_off(self, target: TargetId) -> None:
        for use in list(self._uses_by_target.get(target, ())):
            if use.on_lost is not None:
                use.on_lost()

    def _log_change(self, summary: LinkSummary) -> None:
        before, self._logged = self._logged, summary
        lost = sorted(set(summary.lost) - set(before.lost))
        restored: list[TargetId] = []
        if not summary.all_lost:
            restored = sorted(set(before.lost) - set(summary.lost))
        contact = self.links.contact(TargetId(""), self.now())
        self._logger.info(
            "target links",
            all_lost=summary.all_lost,
            lost=lost[:MAX_LOGGED_TARGETS],
            restored=restored[:MAX_LOGGED_TARGETS],
            lost_now=len(summary.lost),
            targets_heard_ms=milliseconds(contact.any_s),
        )
        self._metrics.set_gauge(
            "lost_target_links",
            len(summary.lost),
            description="Targets that this VM doesn't reach itself.",
        )
        self._metrics.set_gauge(
            "all_target_links_lost",
            float(summary.all_lost),
            description="1 if this VM reaches no target itself.",
        )


def _failed_probe(failure: Failure) -> ProbeResult:
    return ProbeResult.SILENT if is_timeout(failure) else ProbeResult.REFUSED
