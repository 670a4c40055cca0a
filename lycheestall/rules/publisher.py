"""Publishes rules against a base version and determines the outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

from twisted.internet.defer import CancelledError, Deferred

from ..clock import Clock
from ..ids import Offset, OperatorName
from ..publication_history import (
    Decision,
    HistoryEntry,
    text_digest,
)
from ..records import RulesProposed
from .compare import (
    ChangedLine,
    FileChange,
    compare_files,
)
from .parser import RULES_FORMAT, RuleError, parse_rules
from .stream import RulesStream
from .syntax import RuleFile

__all__ = [
    "PublishBlocked",
    "PublishConflict",
    "PublishInvalid",
    "PublishOutcome",
    "PublishUnknown",
    "PublishUnreachable",
    "Published",
    "RulesPublisher",
]

PUBLISH_TIMEOUT_S = 8.0
MAX_END_AGE_S = 3.0
"""How long before a publication the log's end must have been read."""
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Published:
    """The rules are in force.

    Attributes:
        version: Their version.
        in_force: The version in force now; newer than ``version`` when
            another publication has followed.
        already: Whether an earlier, identical publication was accepted.
        added: Rules that were not in force before.
        removed: Rules that are no longer in force.
    """

    version: Offset
    in_force: Offset
    already: bool = False
    added: tuple[ChangedLine, ...] = ()
    removed: tuple[ChangedLine, ...] = ()


@dataclass(frozen=True, slots=True)
class PublishConflict:
    """The version in force is not the base; nothing changed.

    Attributes:
        base: The base of the refused publication.
        version: The version in force.
        operator: Who published it.
        added: Rules of the refused file that are not in force.
        removed: Rules in force that the refused file lacks.
    """

    base: Offset
    version: Offset
    operator: OperatorName
    added: tuple[ChangedLine, ...] = ()
    removed: tuple[ChangedLine, ...] = ()


@dataclass(frozen=True, slots=True)
class PublishInvalid:
    """The text has errors; nothing was sent to the log."""

    errors: tuple[RuleError, ...]


@dataclass(frozen=True, slots=True)
class PublishBlocked:
    """The proposal was refused for another reason; nothing changed."""

    why: str


@dataclass(frozen=True, slots=True)
class PublishUnreachable:
    """The log did not answer; nothing was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class PublishUnknown:
    """The outcome is unknown; the rules may still come into force.

    Attributes:
        nonce: Identifies the publication in the history.
        detail: How the operator can find out the outcome.
    """

    nonce: str
    detail: str


PublishOutcome: TypeAlias = (
    Published
    | PublishConflict
    | PublishInvalid
    | PublishBlocked
    | PublishUnreachable
    | PublishUnknown
)


class RulesPublisher:
    """Appends rules to the log and reads back whether they were accepted.

    Args:
        stream: This VM's access to the rules stream.
        clock: Clock for timeouts and polling.
        wall_ms: Wall-clock time, milliseconds since 1970.
        new_nonce: Returns a unique identifier for a publication.
        timeout_s: How long to wait for the outcome.
    """

    def __init__(
        self,
        *,
        stream: RulesStream,
        clock: Clock,
        wall_ms: Callable[[], int],
        new_nonce: Callable[[], str],
        timeout_s: float = PUBLISH_TIMEOUT_S,
    ) -> None:
        self._stream = stream
        self._clock = clock
        self._wall_ms = wall_ms
        self._new_nonce = new_nonce
        self._timeout_s = timeout_s

    async def publish(
        self, base: Offset, text: str, operator: OperatorName
    ) -> PublishOutcome:
        """Publishes a rule file.

        A repeated request for the same publication returns the outcome of
        the first one instead of a conflict with it.

        Args:
            base: The version the file is based on.
            text: The file's text.
            operator: Who publishes.
        """
        file = parse_rules(text, file="rules")
        if not isinstance(file, RuleFile):
            return PublishInvalid(file)
        started = self._clock.seconds()
        deadline = started + self._timeout_s
        while not self._log_end_seen(started - MAX_END_AGE_S):
            if self._clock.seconds() >= deadline:
                return PublishUnreachable("the log service does not answer")
            await self._sleep()
        known = self._known_outcome(base, text, operator, file)
        if known is not None:
            return known
        return await self._propose(base, text, operator, file, deadline)

    def _log_end_seen(self, since: float) -> bool:
        """Returns whether the reader reached the log's end since a time."""
        fresh_at = self._stream.reader.up_to_date_at
        return fresh_at is not None and fresh_at >= since

    def _known_outcome(
        self, base: Offset, text: str, operator: OperatorName, file: RuleFile
    ) -> PublishOutcome | None:
        """Returns the outcome if known without an append, else None."""
        state = self._stream.fold
        if not state.readable:
            return PublishBlocked("this VM cannot read the rules in force")
        digest = text_digest(text)
        entry = state.history.find_accepted(base, operator, digest)
        if entry is not None:
            return self._published(entry, already=True)
        if base == state.version:
            return None
        return self._conflict(base, file)

    def _published(
        self, entry: HistoryEntry, *, already: bool = False
    ) -> Published:
        in_force = self._stream.fold.version
        return Published(
            entry.offset, in_force, already, entry.added, entry.removed
        )

    async def _propose(
        self,
        base: Offset,
        text: str,
        operator: OperatorName,
        file: RuleFile,
        deadline: float,
    ) -> PublishOutcome:
        nonce = self._new_nonce()
        proposal = RulesProposed(
            base, text, RULES_FORMAT, operator, self._wall_ms(), nonce
        )
        done = self._stream.submit(proposal)
        done.addErrback(lambda failure: failure.trap(CancelledError))
        while not done.called and self._clock.seconds() < deadline:
            await self._sleep()
        entry = self._stream.fold.history.find_by_nonce(nonce)
        if entry is not None:
            return self._outcome(entry, file)
        done.cancel()
        detail = "publish the same file on the same base again to learn it"
        return PublishUnknown(nonce, detail)

    def _outcome(self, entry: HistoryEntry, file: RuleFile) -> PublishOutcome:
        if entry.decision is Decision.ACCEPTED:
            return self._published(entry)
        if entry.decision is Decision.CONFLICT:
            history = self._stream.fold.history
            earlier = history.find_accepted(
                entry.base, entry.operator, entry.digest
            )
            if earlier is not None:
                return self._published(earlier, already=True)
            return self._conflict(entry.base, file)
        return PublishBlocked(entry.why)

    def _conflict(self, base: Offset, file: RuleFile) -> PublishConflict:
        state = self._stream.fold
        change: FileChange = compare_files(state.file, file)
        return PublishConflict(
            base, state.version, state.operator, change.added, change.removed
        )

    def _sleep(self) -> Deferred[None]:
        elapsed: Deferred[None] = Deferred()
        self._clock.callLater(POLL_INTERVAL_S, elapsed.callback, None)
        return elapsed
