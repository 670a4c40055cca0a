"""What operators ask of the rules, answered in dataclasses."""

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
    "DeskReply",
    "PublishReply",
    "PublishWord",
    "RulesDesk",
    "RulesHistory",
    "RulesInForce",
]


class PublishWord(Enum):
    """The typed word for a publication's outcome."""

    PUBLISHED = "published"
    CONFLICT = "conflict"
    INVALID = "invalid"
    BLOCKED = "blocked"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"


_STATUS_BY_WORD = {
    PublishWord.PUBLISHED: 200,
    PublishWord.CONFLICT: 409,
    PublishWord.INVALID: 422,
    PublishWord.BLOCKED: 409,
    PublishWord.UNREACHABLE: 503,
    PublishWord.UNKNOWN: 504,
}


@dataclass(frozen=True, slots=True)
class DeskReply:
    """An answer: an HTTP status and a dataclass."""

    status: int
    document: object


@dataclass(frozen=True, slots=True)
class RulesInForce:
    """The rules in force on one VM.

    Attributes:
        version: Their version, -1 before the first.
        text: Their text.
        text_format: The text's format.
        operator: Who published them.
        current: Whether the VM knows of nothing newer.
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
    """What became of a publication, with the details of its outcome."""

    outcome: PublishWord
    detail: PublishOutcome


class RulesDesk:
    """Shows, lists and publishes rules on behalf of operators.

    Args:
        stream: This VM's hold on the rules stream.
        publisher: Publishes over it.
    """

    def __init__(self, stream: RulesStream, publisher: RulesPublisher) -> None:
        self._stream = stream
        self._publisher = publisher

    def show(self) -> DeskReply:
        """Returns the rules in force on this VM."""
        state = self._stream.publication
        document = RulesInForce(
            state.version,
            state.text,
            state.text_format,
            state.operator,
            self._stream.current(),
        )
        return DeskReply(200, document)

    def history(self) -> DeskReply:
        """Returns the audit trail."""
        state = self._stream.publication
        document = RulesHistory(state.version, state.history.entries())
        return DeskReply(200, document)

    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> DeskReply:
        """Publishes a rule file against a base version.

        Args:
            base: The version the file was made from.
            text: The file's text.
            operator: Who publishes.
        """
        outcome = await self._publisher.publish(base, text, operator)
        word = _word(outcome)
        return DeskReply(_STATUS_BY_WORD[word], PublishReply(word, outcome))


def _word(outcome: PublishOutcome) -> PublishWord:
    if isinstance(outcome, Published):
        return PublishWord.PUBLISHED
    if isinstance(outcome, PublishConflict):
        return PublishWord.CONFLICT
    if isinstance(outcome, PublishInvalid):
        return PublishWord.INVALID
    if isinstance(outcome, PublishBlocked):
        return PublishWord.BLOCKED
    if isinstance(outcome, PublishUnknown):
        return PublishWord.UNKNOWN
    return PublishWord.UNREACHABLE
