"""Takes note of what targets say about themselves in their responses."""

from __future__ import annotations

from ..clock import Clock
from .decision_log import DecisionLog
from .http_messages import ResponseHead
from .message_metadata import (
    RequestMetadata,
    ResponseMetadata,
    UnreadableLimit,
)
from .target_limits import LimitReport, TargetLimits
from .target_table import TargetRegistration, TargetTable

__all__ = ["TargetAnnouncements"]

_MISDIRECTED_REQUEST = 421


class TargetAnnouncements:
    """Passes on that a target is leaving, and the limit that it names.

    Args:
        table: Learns which targets are leaving.
        limits: Learns their limits.
        log: Logs what is new.
        clock: Tells when a response arrived.
    """

    def __init__(
        self,
        *,
        table: TargetTable,
        limits: TargetLimits,
        log: DecisionLog,
        clock: Clock,
    ) -> None:
        self._table = table
        self._limits = limits
        self._log = log
        self._clock = clock

    def observe(
        self,
        request: RequestMetadata,
        registration: TargetRegistration,
        head: ResponseHead,
        response: ResponseMetadata,
    ) -> None:
        """Takes note of a response to a request.

        Args:
            request: The request.
            registration: The target that it was sent to.
            head: Head of the response.
            response: What its headers say.
        """
        if head.status == _MISDIRECTED_REQUEST:
            # Another target has taken over the address and speaks of itself.
            return
        if response.target_leaving and self._table.mark_leaving(registration):
            self._log.target_leaving(request, registration)
        self._observe_limit(request, registration, response)

    def _observe_limit(
        self,
        request: RequestMetadata,
        registration: TargetRegistration,
        response: ResponseMetadata,
    ) -> None:
        limit = response.limit
        if isinstance(limit, UnreadableLimit):
            self._log.unreadable_limit(request, registration, limit)
            return
        rate_per_s = None if limit is None else limit.rate_per_s
        process = registration.process
        before = self._limits.rate_per_s(process)
        report = LimitReport(process, rate_per_s, self._clock.seconds())
        if self._limits.observe(report):
            self._log.limit_changed(
                request, registration, before=before, rate_per_s=rate_per_s
            )
