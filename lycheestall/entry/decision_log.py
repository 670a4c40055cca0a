"""One log line for each decision about a request, and its metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass
from http import HTTPStatus

from ..clock import Clock
from ..logs import Logger
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    Stopped,
    WholeAnswer,
)
from .configuration import Route
from .entry_metrics import EntryMetrics
from .request_facts import RequestFacts
from .retry_policy import NextStep
from .target_table import TargetRegistration

__all__ = ["Beliefs", "DecisionLog"]

MAX_SUPPRESSED_S = 1.0
"""Seconds over which lines about repeated refusals are counted."""

MAX_LINES_A_SECOND = 300
"""Lines about requests; the rest is counted, so that a flood of refusals
costs no more than the requests themselves."""


@dataclass(frozen=True, slots=True)
class Beliefs:
    """What a VM knows when it decides, and how old that is.

    Attributes:
        store: How the store is reached: directly, through a peer or not.
        outage: What the VM may decide without the store.
        targets_age_s: Seconds since the targets were read.
        ledger_age_s: Seconds since the ledger was read.
        ledger_position: Offset up to which it was read.
    """

    store: str
    outage: str
    targets_age_s: float
    ledger_age_s: float
    ledger_position: int


class DecisionLog:
    """Writes decisions down.

    Args:
        logger: Where the lines go.
        metrics: Counts them.
        beliefs: Returns what the VM knows now.
        clock: Bounds the lines in time.
    """

    def __init__(
        self,
        logger: Logger,
        metrics: EntryMetrics,
        *,
        beliefs: Callable[[], Beliefs],
        clock: Clock,
    ) -> None:
        self._logger = logger
        self._metrics = metrics
        self._beliefs = beliefs
        self._clock = clock
        self._window_start = 0.0
        self._lines = 0
        self._suppressed = 0

    def _line(self, event: str, **fields: object) -> None:
        now = self._clock.seconds()
        if now - self._window_start >= MAX_SUPPRESSED_S:
            if self._suppressed:
                self._logger.warning("lines left out", lines=self._suppressed)
            self._window_start = now
            self._lines = 0
            self._suppressed = 0
        self._lines += 1
        if self._lines > MAX_LINES_A_SECOND:
            self._suppressed += 1
            return
        self._logger.info(event, **fields)

    def attempt(
        self,
        facts: RequestFacts,
        entry: TargetRegistration,
        outcome: AttemptOutcome,
        *,
        next_step: NextStep,
    ) -> None:
        """Notes an attempt that did not end in an answer."""
        kind = type(outcome).__name__
        self._metrics.attempt_failed(kind)
        self._line(
            "attempt failed",
            request=_text(facts.attempt),
            target=entry.target,
            target_started_ms=entry.started_ms,
            outcome=kind,
            next_step=next_step.value,
            **_details(outcome),
        )

    def ended(
        self,
        facts: RequestFacts,
        *,
        route: Route,
        version: int,
        target: str,
        status: int,
        sends: int,
        tokens: int,
        took_s: float,
        outcome: str,
        known_tokens: int | None,
    ) -> None:
        """Notes the end of a request.

        Args:
            facts: What its headers say.
            route: Its route.
            version: Version of the configuration that decided.
            target: The last target asked.
            status: The status sent; 0 if there was none.
            sends: Attempts made.
            tokens: Tokens that went to the caller.
            took_s: Seconds from arrival.
            outcome: How it ended.
            known_tokens: Tokens of its program in the ledger, if it has
                a budget.
        """
        self._metrics.request_ended(route.name, status, outcome, took_s)
        self._line(
            "request ended",
            request=_text(facts.attempt),
            program=facts.program,
            route=route.name,
            version=version,
            target=target,
            status=status,
            outcome=outcome,
            sends=sends,
            tokens=tokens,
            budget=facts.token_budget,
            most=facts.max_output_tokens,
            known_tokens=known_tokens,
            took_ms=round(took_s * 1000, 1),
            **self._grounds(status),
        )

    def refused(
        self, request: str, *, status: int, version: int, reason: str
    ) -> None:
        """Notes a request that found no route or was invalid."""
        self._metrics.request_ended("", status, reason, 0.0)
        self._line(
            "request refused",
            request=request,
            status=status,
            version=version,
            outcome=reason,
            **self._grounds(status),
        )

    def _grounds(self, status: int) -> dict[str, object]:
        if status == HTTPStatus.OK:
            return {}
        beliefs = self._beliefs()
        return {
            "store": beliefs.store,
            "outage": beliefs.outage,
            "targets_age_ms": _milliseconds(beliefs.targets_age_s),
            "ledger_age_ms": _milliseconds(beliefs.ledger_age_s),
            "ledger_position": beliefs.ledger_position,
        }


def _details(outcome: AttemptOutcome) -> dict[str, object]:
    if isinstance(outcome, NotRun):
        return {"reason": outcome.reason.value, "status": outcome.status}
    if isinstance(outcome, Broken):
        return {"reason": outcome.reason.value, "answered": outcome.answered}
    if isinstance(outcome, WholeAnswer):
        return {"status": outcome.head.status}
    if isinstance(outcome, NotSent | Stopped):
        return asdict(outcome)
    return {}


def _milliseconds(seconds: float) -> int | None:
    return None if seconds == float("inf") else round(seconds * 1000)


def _text(value: bytes) -> str:
    return value.decode("latin-1")
