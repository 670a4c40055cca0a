"""Serves the admin API requests about rules."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..ids import Offset, OperatorName
from ..publication_history import HistoryEntry
from .publisher import (
    PublishBlocked,
    PublishConflict,
    Published,
    PublishInvalid,
    PublishOutcome,
    PublishUnknown,
    RulesPublisher,
)
from .stream import RulesStream

__all__ = [
    "RulesAdminReply",
    "PublishReply",
    "PublishOutcomeKind",
    "RulesAdmin",
    "RulesHistory",
    "RulesInForce",
]


class PublishOutcomeKind(Enum):
    """The kind of outcome of a publication."""

    PUBLISHED = "published"
    CONFLICT = "conflict"
    INVALID = "invalid"
    BLOCKED = "blocked"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


_STATUS_BY_KIND = {
    PublishOutcomeKind.PUBLISHED: 200,
    PublishOutcomeKind.CONFLICT: 409,
    PublishOutcomeKind.INVALID: 422,
    PublishOutcomeKind.BLOCKED: 409,
    PublishOutcomeKind.UNREACHABLE: 503,
    PublishOutcomeKind.UNKNOWN: 504,
}


@dataclass(frozen=True, slots=True)
class RulesAdminReply:
    """A response.

    Attributes:
        status: The HTTP status.
        document: A dataclass instance, the body.
    """

    status: int
    document: object


@dataclass(frozen=True, slots=True)
class RulesInForce:
    """The rules in force on one VM.

    Attributes:
        version: Their version, -1 before the first publication.
        text: Their text.
        text_format: The text's format.
        operator: Who published them.
        current: Whether the VM has applied every log record that it knows of
            and can parse the rules.
    """

    version: Offset
    text: str
    text_format: int
    operator: OperatorName
    current: bool


@dataclass(frozen=True, slots=True)
class RulesHistory:
    """The audit trail, oldest first."""

    version: Offset
    entries: tuple[HistoryEntry, ...]


@dataclass(frozen=True, slots=True)
class PublishReply:
    """The outcome of a publication and its details."""

    outcome: PublishOutcomeKind
    detail: PublishOutcome


class RulesAdmin:
    """Shows and publishes rules on behalf of operators.

    Args:
        stream: This VM's access to the rules stream.
        publisher: Publishes rules to that stream.
    """

    def __init__(self, stream: RulesStream, publisher: RulesPublisher) -> None:
        self._stream = stream
        self._publisher = publisher

    def show(self) -> RulesAdminReply:
        """Returns the rules in force on this VM."""
        state = self._stream.fold
        document = RulesInForce(
            state.version,
            state.text,
            state.text_format,
            state.operator,
            self._stream.current(),
        )
        return RulesAdminReply(200, document)

    def history(self) -> RulesAdminReply:
        """Returns the audit trail."""
        state = self._stream.fold
        document = RulesHistory(state.version, state.history.entries())
        return RulesAdminReply(200, document)

    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> RulesAdminReply:
        """Publishes a rule file against a base version.

        Args:
            base: The version the file is based on.
            text: The file's text.
            operator: Who publishes.
        """
        outcome = await self._publisher.publish(base, text, operator)
        kind = _outcome_kind(outcome)
        return RulesAdminReply(
            _STATUS_BY_KIND[kind], PublishReply(kind, outcome)
        )


def _outcome_kind(outcome: PublishOutcome) -> PublishOutcomeKind:
    if isinstance(outcome, Published):
        return PublishOutcomeKind.PUBLISHED
    if isinstance(outcome, PublishConflict):
        return PublishOutcomeKind.CONFLICT
    if isinstance(outcome, PublishInvalid):
        return PublishOutcomeKind.INVALID
    if isinstance(outcome, PublishBlocked):
        return PublishOutcomeKind.BLOCKED
    if isinstance(outcome, PublishUnknown):
        return PublishOutcomeKind.UNKNOWN
    return PublishOutcomeKind.UNREACHABLE
