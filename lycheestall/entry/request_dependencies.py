"""Components shared by all requests of a VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .attempt_timeouts import AttemptTimeouts
from .connection_pool import ConnectionPool
from .conversation_service import ConversationService
from .crashes.crash_reporter import CrashReporter
from .decision_log import DecisionLog
from .header_codec import HeaderCodec
from .link_monitor import LinkMonitor
from .permit_service import PermitService
from .placement.target_chooser import TargetChooser
from .quotas.quota_service import QuotaService
from .relay_client import RelayClient
from .shutdown.drain_window import DrainWindow
from .stream_origin_service import StreamOriginService
from .target_announcements import TargetAnnouncements
from .target_table import TargetRegistration, TargetTable
from .turn_reservations import TurnReservations
from .versions.withheld_targets import WithheldTargets

__all__ = ["RequestDependencies"]


@dataclass(frozen=True, slots=True)
class RequestDependencies:
    """Components that request processing depends on.

    Attributes:
        clock: Tells the time and schedules timers.
        headers: Parses and writes headers.
        chooser: Chooses targets.
        timeouts: Computes attempts' timeouts.
        permits: Keeps to the limits that targets name.
        quotas: Keeps to the quotas of accounts.
        table: The registered targets.
        link_monitor: Knows which of them this VM reaches itself.
        relay: Has attempts sent by peers that reach others.
        stream_origins: Knows which software versions began streams.
        withheld_targets: Knows which targets must not begin resumable streams
            yet.
        announcements: Takes note of what targets say about themselves.
        reservations: Reserves and settles the tokens of turns.
        crash_reporter: Reports requests whose targets crash while running
            them.
        is_blocked: Returns whether a request, given its fingerprint, is
            blocked because it crashes targets.
        request_answered: Notes that a target has answered a request, given
            its fingerprint.
        drain_window: Tells how long requests may last while this VM shuts
            down.
        pool_of: Returns the connection pool of a target.
        log: Logs decisions about requests.
        conversations: Keeps conversations for callers.
        max_body_bytes: Returns the limit on the body of a request.
        max_record_bytes: Limit on a turn that is kept.
    """

    clock: Any
    headers: HeaderCodec
    chooser: TargetChooser
    timeouts: AttemptTimeouts
    permits: PermitService
    quotas: QuotaService
    table: TargetTable
    link_monitor: LinkMonitor
    relay: RelayClient
    stream_origins: StreamOriginService
    withheld_targets: WithheldTargets
    announcements: TargetAnnouncements
    reservations: TurnReservations
    crash_reporter: CrashReporter
    is_blocked: Callable[[str], bool]
    request_answered: Callable[[str], None]
    drain_window: DrainWindow
    pool_of: Callable[[TargetRegistration], ConnectionPool]
    log: DecisionLog
    conversations: ConversationService
    max_body_bytes: Callable[[], int]
    max_record_bytes: int
