"""Publishes rules against a base version and learns what came of it."""

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
from .text import RuleFile

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
RECENT_S = 3.0
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Published:
    """The rules are in force.

    Attributes:
        version: Their version.
        in_force: The version in force now; newer than ``version`` when
            another publication has followed.
        already: Whether an earlier publication had done it.
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
    """Another version is in force than the base; nothing changed.

    Attributes:
        base: The base that was named.
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
    """The text has mistakes; nothing was sent to the log."""

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
    """The outcome is not known; the rules may still come into force.

    Attributes:
        nonce: Names the publication in the history.
        detail: What to do.
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
    """Compares, publishes, and reads back what the log made of it.

    Args:
        stream: This VM's hold on the rules stream.
        clock: Times the waits.
        wall_ms: Wall-clock time, milliseconds since 1970.
        new_nonce: Returns a fresh name for a publication.
        timeout_s: How long to seek the outcome.
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

        The same publication asked for again finds the first one's
        outcome instead of conflicting with itself.

        Args:
            base: The version the file was made from.
            text: The file's text.
            operator: Who publishes.
        """
        file = parse_rules(text, file="rules")
        if not isinstance(file, RuleFile):
            return PublishInvalid(file)
        started = self._clock.seconds()
        deadline = started + self._timeout_s
        while not self._fresh(started - RECENT_S):
            if self._clock.seconds() >= deadline:
                return PublishUnreachable("the log service does not answer")
            await self._sleep()
        decided = self._decided(base, text, operator, file)
        if decided is not None:
            return decided
        return await self._propose(base, text, operator, file, deadline)

    def _fresh(self, since: float) -> bool:
        """Returns whether the log has shown its end since a time."""
        fresh_at = self._stream.reader.up_to_date_at
        return fresh_at is not None and fresh_at >= since

    def _decided(
        self, base: Offset, text: str, operator: OperatorName, file: RuleFile
    ) -> PublishOutcome | None:
        """Returns an outcome that needs no append, None when it does."""
        state = self._stream.publication
        if not state.readable:
            return PublishBlocked("this VM cannot read the rules in force")
        digest = text_digest(text)
        entry = state.history.accepted(base, operator, digest)
        if entry is not None:
            return self._published(entry, already=True)
        if base == state.version:
            return None
        return self._conflict(base, file)

    def _published(
        self, entry: HistoryEntry, *, already: bool = False
    ) -> Published:
        in_force = self._stream.publication.version
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
        entry = self._stream.publication.history.by_nonce(nonce)
        if entry is not None:
            return self._outcome(entry, file)
        done.cancel()
        detail = "publish the same file on the same base again to learn it"
        return PublishUnknown(nonce, detail)

    def _outcome(self, entry: HistoryEntry, file: RuleFile) -> PublishOutcome:
        if entry.decision is Decision.ACCEPTED:
            return self._published(entry)
        if entry.decision is Decision.CONFLICT:
            history = self._stream.publication.history
            earlier = history.accepted(
                entry.base, entry.operator, entry.digest
            )
            if earlier is not None:
                return self._published(earlier, already=True)
            return self._conflict(entry.base, file)
        return PublishBlocked(entry.why)

    def _conflict(self, base: Offset, file: RuleFile) -> PublishConflict:
        state = self._stream.publication
        change: FileChange = compare_files(state.file, file)
        return PublishConflict(
            base, state.version, state.operator, change.added, change.removed
        )

    def _sleep(self) -> Deferred[None]:
        woken: Deferred[None] = Deferred()
        self._clock.callLater(POLL_INTERVAL_S, woken.callback, None)
        return woken
