"""One log line for each decision about a request, and its metrics."""

from __future__ import annotations

from dataclasses import asdict

from ..logs import Logger
from .attempt_outcomes import (
    AttemptOutcome,
    Broken,
    NotRun,
    NotSent,
    Stopped,
)
from .configuration import Route
from .entry_metrics import EntryMetrics
from .request_facts import RequestFacts
from .retry_policy import NextStep
from .target_table import TargetEntry

__all__ = ["DecisionLog"]


class DecisionLog:
    """Writes decisions down.

    Args:
        logger: Where the lines go.
        metrics: Counts them.
    """

    def __init__(self, logger: Logger, metrics: EntryMetrics) -> None:
        self._logger = logger
        self._metrics = metrics

    def attempt(
        self,
        facts: RequestFacts,
        entry: TargetEntry,
        outcome: AttemptOutcome,
        *,
        next_step: NextStep,
    ) -> None:
        """Notes an attempt that did not end in an answer."""
        kind = type(outcome).__name__
        self._metrics.attempt_failed(kind)
        self._logger.info(
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
        """
        self._metrics.request_ended(route.name, status, outcome, took_s)
        self._logger.info(
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
            took_ms=round(took_s * 1000, 1),
        )

    def refused(
        self, request: str, *, status: int, version: int, reason: str
    ) -> None:
        """Notes a request that found no route or was invalid."""
        self._metrics.request_ended("", status, reason, 0.0)
        self._logger.info(
            "request refused",
            request=request,
            status=status,
            version=version,
            outcome=reason,
        )


def _details(outcome: AttemptOutcome) -> dict[str, object]:
    if isinstance(outcome, NotRun):
        return {"reason": outcome.reason.value, "status": outcome.status}
    if isinstance(outcome, Broken):
        return {"reason": outcome.reason.value, "answered": outcome.answered}
    if isinstance(outcome, NotSent | Stopped):
        return asdict(outcome)
    return {}


def _text(value: bytes) -> str:
    return value.decode("latin-1")
