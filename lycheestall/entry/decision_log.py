"""Logs decisions about requests and counts them in metrics."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import xxhash

from ..clock import Clock
from ..logs import Logger
from ._log_fields import (
    account_fields,
    decode_id,
    evidence_fields,
    milliseconds,
    outcome_fields,
)
from .accounts import Account, AuthenticationEvidence
from .attempt_messages import SendAttempt
from .attempt_outcomes import AttemptOutcome
from .configuration import Route
from .decision_writer import DecisionWriter
from .entry_metrics import EntryMetrics
from .message_metadata import RequestMetadata, UnreadableLimit
from .origin_search import OriginLookup
from .permit_service import Permit, PermitDenied
from .placement.choice import Choice
from .quotas.quota_log import QuotaLog
from .responses import ResponseState
from .retry_policy import NextStep
from .target_links import LinkContact, LinkSummary
from .target_table import TargetRegistration
from .token_ledger import HolderId
from .turn_log import TurnLog
from .versions.software_versions import VersionKnowledge

__all__ = ["DecisionContext", "DecisionLog"]

REQUESTS_PER_CHOICE_LINE = 16
"""Requests of which the choices of one are logged."""


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """State that a decision is based on, and its age.

    Attributes:
        store: Whether the store is reached directly, through a peer or
            not at all.
        outage: Which decisions the VM may make without the store.
        targets_age_s: Seconds since the targets were read.
        ledger_age_s: Seconds since the ledger was read.
        ledger_position: Offset up to which the ledger was read.
    """

    store: str
    outage: str
    targets_age_s: float
    ledger_age_s: float
    ledger_position: int


class DecisionLog:
    """Writes rate-limited log lines about requests and updates metrics.

    Args:
        logger: Receives the log lines.
        metrics: Counts requests and failed attempts.
        context: Returns the state that decisions are based on.
        clock: Tells the time for the rate limit.

    Attributes:
        turns: Logs decisions about turns of conversations.
        quotas: Logs decisions about the quotas of accounts.
    """

    def __init__(
        self,
        logger: Logger,
        metrics: EntryMetrics,
        *,
        context: Callable[[], DecisionContext],
        clock: Clock,
    ) -> None:
        self._logger = logger
        self._metrics = metrics
        self._context = context
        self._clock = clock
        self._write = DecisionWriter(logger, clock).write
        self.turns = TurnLog(logger, metrics, self._write)
        self.quotas = QuotaLog(metrics, self._write)

    def target_chosen(self, metadata: RequestMetadata, choice: Choice) -> None:
        """Logs a choice by expected completion time, and its figures.

        Choices are frequent, so only a share of the requests is logged; all
        choices of one request are.
        """
        digest = xxhash.xxh3_64_intdigest(metadata.request_id)
        if digest % REQUESTS_PER_CHOICE_LINE:
            return
        self._write(
            "target chosen",
            request=decode_id(metadata.request_id),
            target=choice.registration.target,
            target_started_ms=choice.registration.started_ms,
            expected_ms=milliseconds(choice.expected_s),
            wait_ms=milliseconds(choice.wait_s),
            load=round(choice.load, 1),
            own=choice.own,
            load_age_ms=milliseconds(choice.load_age_s),
            relative_time=round(choice.relative_time, 2),
            speed_weight=round(choice.speed_weight, 1),
            recent_delay=round(choice.recent_delay, 2),
            cached=choice.cached,
        )

    def attempt_failed(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        outcome: AttemptOutcome,
        *,
        next_step: NextStep,
        contact: LinkContact,
        new_connection: bool,
        relayed_by: HolderId | None,
    ) -> None:
        """Logs an attempt that gave no final response.

        Args:
            metadata: The request's metadata.
            registration: The target of the attempt.
            outcome: How the attempt ended.
            next_step: What follows.
            contact: When the VM has last heard from targets.
            new_connection: Whether it asked for a new connection.
            relayed_by: The peer that sent it, if one did.
        """
        outcome_name = type(outcome).__name__
        self._metrics.attempt_failed(outcome_name)
        self._write(
            "attempt failed",
            request=decode_id(metadata.request_id),
            target=registration.target,
            target_started_ms=registration.started_ms,
            software_version=registration.software_version,
            outcome=outcome_name,
            next_step=next_step.value,
            target_heard_ms=milliseconds(contact.target_s),
            targets_heard_ms=milliseconds(contact.any_s),
            new_connection=new_connection,
            relayed_by=relayed_by,
            **outcome_fields(outcome),
        )

    def attempt_relayed(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        peer: HolderId,
        *,
        summary: LinkSummary,
        report_age_s: float,
    ) -> None:
        """Logs that a peer is asked to send an attempt.

        Args:
            metadata: The request's metadata.
            registration: The target of the attempt.
            peer: The peer.
            summary: The links of this VM that are lost.
            report_age_s: Age of the peer's report on its links.
        """
        self._metrics.attempt_relayed()
        self._write(
            "attempt relayed",
            request=decode_id(metadata.request_id),
            target=registration.target,
            target_started_ms=registration.started_ms,
            peer=peer,
            all_lost=summary.all_lost,
            lost=len(summary.lost),
            report_age_ms=milliseconds(report_age_s),
        )

    def attempt_sent_for_peer(
        self, message: SendAttempt, outcome: AttemptOutcome, *, took_s: float
    ) -> None:
        """Logs the outcome of an attempt that was sent for a peer.

        Args:
            message: What the peer has asked for.
            outcome: How the attempt ended.
            took_s: Seconds since the message arrived.
        """
        outcome_name = type(outcome).__name__
        self._metrics.attempt_sent_for_peer(outcome_name)
        self._write(
            "attempt sent for a peer",
            request=decode_id(message.request_id),
            peer=message.holder,
            target=message.target,
            target_started_ms=message.started_ms,
            outcome=outcome_name,
            took_ms=round(took_s * 1000, 1),
            **outcome_fields(outcome),
        )

    def stream_origin_found(
        self,
        metadata: RequestMetadata,
        lookup: OriginLookup,
        *,
        knowledge: VersionKnowledge,
        took_s: float,
    ) -> None:
        """Logs which software version began a stream that is resumed.

        Args:
            metadata: The request's metadata.
            lookup: What was found.
            knowledge: What this VM knows of the service's versions.
            took_s: Seconds that the search took.
        """
        self._metrics.stream_origin_found(lookup.source.value)
        self._write(
            "stream origin found",
            request=decode_id(metadata.request_id),
            resumed_request=decode_id(metadata.resumed_request),
            resume_after=metadata.resume_after,
            source=lookup.source.value,
            software_version=lookup.software_version,
            peers_asked=lookup.asked,
            peers_replied=lookup.replied,
            targets_read=lookup.targets_read,
            journal_read=lookup.journal_read,
            known_versions=knowledge.versions,
            targets_age_ms=milliseconds(knowledge.read_age_s),
            targets_followed_ms=milliseconds(knowledge.followed_s),
            took_ms=round(took_s * 1000, 1),
        )

    def stream_resumed(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        *,
        resume_after: int,
    ) -> None:
        """Logs an attempt that continues a stream after one of its events.

        Args:
            metadata: The request's metadata.
            registration: The target of the attempt.
            resume_after: ID of the last event that was received.
        """
        self._write(
            "stream resumed",
            request=decode_id(metadata.request_id),
            resumed_request=decode_id(metadata.resumed_request),
            resume_after=resume_after,
            target=registration.target,
            target_started_ms=registration.started_ms,
            software_version=registration.software_version,
        )

    def request_ended(
        self,
        metadata: RequestMetadata,
        *,
        route: Route,
        version: int,
        target: str,
        status: int,
        attempts: int,
        tokens: int,
        took_s: float,
        outcome: str,
        recorded_tokens: int | None,
        response: ResponseState,
        account: Account | None = None,
    ) -> None:
        """Logs the end of a request.

        Args:
            metadata: The request's metadata.
            route: The request's route.
            version: Version of the configuration that was used.
            target: The target of the last attempt; empty if none.
            status: The status code sent; 0 if none.
            attempts: Number of attempts.
            tokens: Tokens sent to the caller.
            took_s: Seconds since the request arrived.
            outcome: How the request ended.
            recorded_tokens: The program's tokens recorded in the ledger,
                if it has a budget.
            response: What the caller has received.
            account: The account that it belongs to, if any.
        """
        self._metrics.request_ended(route.name, status, outcome, took_s)
        if response is ResponseState.BROKEN_OFF:
            self._metrics.response_broken_off(route.name, outcome)
        self._write(
            "request ended",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            route=route.name,
            version=version,
            target=target,
            status=status,
            outcome=outcome,
            response=response.value,
            sends=attempts,
            tokens=tokens,
            budget=metadata.token_budget,
            most=metadata.max_output_tokens,
            known_tokens=recorded_tokens,
            took_ms=round(took_s * 1000, 1),
            **account_fields(account),
            **self._context_fields(status, response),
        )

    def target_leaving(
        self, metadata: RequestMetadata, registration: TargetRegistration
    ) -> None:
        """Logs that a target's response says that it is shutting down."""
        self._write(
            "target leaving",
            request=decode_id(metadata.request_id),
            target=registration.target,
            target_started_ms=registration.started_ms,
        )

    def limit_changed(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        *,
        before: float | None,
        rate_per_s: float | None,
    ) -> None:
        """Logs that a target's response names another limit than before.

        Args:
            metadata: The request that the target responded to.
            registration: The target.
            before: Its limit until now in requests per second; None if it
                had none.
            rate_per_s: Its limit from now on; None if it has none.
        """
        self._write(
            "target limit",
            request=decode_id(metadata.request_id),
            target=registration.target,
            target_started_ms=registration.started_ms,
            before=before,
            rate_per_s=rate_per_s,
        )

    def unreadable_limit(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        limit: UnreadableLimit,
    ) -> None:
        """Logs a limit that is not a number; what was known stays."""
        self._write(
            "target limit unreadable",
            request=decode_id(metadata.request_id),
            target=registration.target,
            target_started_ms=registration.started_ms,
            limit=limit.text,
        )

    def permit_decided(
        self,
        metadata: RequestMetadata,
        registration: TargetRegistration,
        result: Permit | PermitDenied,
        *,
        asked_at: float,
    ) -> None:
        """Logs whether a request may be sent to a target with a limit.

        Args:
            metadata: The request's metadata.
            registration: The target.
            result: The decision; one about a target without a limit leaves
                no line.
            asked_at: When it was asked for.
        """
        if result.rate_per_s is None:
            return
        granted = isinstance(result, Permit)
        now = self._clock.seconds()
        at = result.starts_at if isinstance(result, Permit) else result.until
        self._metrics.permit_decided(granted=granted)
        self._write(
            "permit decided",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            target=registration.target,
            target_started_ms=registration.started_ms,
            rate_per_s=result.rate_per_s,
            decider=result.decider,
            granted=granted,
            wait_ms=round(max(0.0, at - now) * 1000),
            took_ms=round((now - asked_at) * 1000, 1),
        )

    def request_refused(
        self,
        request: str,
        *,
        status: int,
        version: int,
        reason: str,
        account: Account | None = None,
        evidence: AuthenticationEvidence | None = None,
    ) -> None:
        """Logs a request rejected before it was routed.

        Args:
            request: ID of the request.
            status: The status code sent.
            version: Version of the configuration that was used.
            reason: Text for the caller.
            account: The account that it belongs to, if it is known.
            evidence: What the decision on its account was based on, where
                the configuration has accounts.
        """
        self._metrics.request_ended("", status, reason, 0.0)
        self._write(
            "request refused",
            request=request,
            status=status,
            version=version,
            outcome=reason,
            **account_fields(account),
            **evidence_fields(evidence),
            **self._context_fields(status),
        )

    def _context_fields(
        self,
        status: int,
        response: ResponseState = ResponseState.COMPLETE,
    ) -> dict[str, object]:
        broken_off = response is ResponseState.BROKEN_OFF
        if status == HTTPStatus.OK and not broken_off:
            return {}
        context = self._context()
        return {
            "store": context.store,
            "outage": context.outage,
            "targets_age_ms": milliseconds(context.targets_age_s),
            "ledger_age_ms": milliseconds(context.ledger_age_s),
            "ledger_position": context.ledger_position,
        }
