"""The audit trail of rule publications."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import Enum
from itertools import starmap

from .ids import Offset, OperatorName, VmId
from .records import RulesProposed
from .rules.compare import ChangedLine, FileChange

__all__ = [
    "Applied",
    "Decision",
    "PublicationHistory",
    "HistoryEntry",
    "text_digest",
]

MAX_ENTRIES = 500
MAX_ENTRIES_WITH_VMS = 50
MAX_LINES_PER_ENTRY = 400


class Decision(Enum):
    """The decision on a proposal."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    BLOCKED = "blocked"
    INVALID = "invalid"


@dataclass(frozen=True, slots=True)
class Applied:
    """When a VM applied a version, by its own wall clock."""

    vm: VmId
    applied_ms: int


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One proposal and the decision on it.

    Attributes:
        offset: The proposal's offset; also the version, if accepted.
        base: The version it is based on.
        operator: Who published it.
        proposed_ms: When, by the publishing VM's wall clock.
        nonce: Identifies the publication.
        digest: Hex SHA-256 of the text.
        decision: Whether it was accepted, else the kind of refusal.
        why: Human-readable reason of the refusal, empty if accepted.
        added: Rules that were not in force before.
        removed: Rules that are no longer in force.
        more_lines: How many changed lines are omitted.
        reordered: Whether only the order of the rules changed.
        applied: When each VM applied it; recent entries only.
        applied_count: How many VMs applied it.
        last_applied_ms: When the last VM applied it.
    """

    offset: Offset
    base: Offset
    operator: OperatorName
    proposed_ms: int
    nonce: str
    digest: str
    decision: Decision
    why: str = ""
    added: tuple[ChangedLine, ...] = ()
    removed: tuple[ChangedLine, ...] = ()
    more_lines: int = 0
    reordered: bool = False
    applied: tuple[Applied, ...] = ()
    applied_count: int = 0
    last_applied_ms: int = 0


def text_digest(text: str) -> str:
    """Returns the hex SHA-256 of a rule file's text.

    Args:
        text: The text.
    """
    return hashlib.sha256(text.encode()).hexdigest()


class PublicationHistory:
    """The most recent ``MAX_ENTRIES`` proposals, in log order.

    Args:
        entries: The entries of a checkpoint.
    """

    def __init__(self, entries: tuple[HistoryEntry, ...] = ()) -> None:
        self._entry_by_offset = {entry.offset: entry for entry in entries}
        self._offset_by_nonce = {
            entry.nonce: entry.offset for entry in entries
        }
        self._applied_by_offset: dict[Offset, dict[VmId, int]] = {}
        for entry in entries[-MAX_ENTRIES_WITH_VMS:]:
            if entry.decision is Decision.ACCEPTED:
                applied_ms_by_vm = {
                    item.vm: item.applied_ms for item in entry.applied
                }
                self._applied_by_offset[entry.offset] = applied_ms_by_vm

    def entries(self) -> tuple[HistoryEntry, ...]:
        """Returns all entries, oldest first."""
        return tuple(map(self._with_applied_times, self._entry_by_offset))

    def _with_applied_times(self, offset: Offset) -> HistoryEntry:
        """Returns an entry with the times at which VMs applied it."""
        entry = self._entry_by_offset[offset]
        applied_ms_by_vm = self._applied_by_offset.get(offset)
        if not applied_ms_by_vm:
            return entry
        return replace(
            entry,
            applied=tuple(starmap(Applied, applied_ms_by_vm.items())),
            applied_count=len(applied_ms_by_vm),
            last_applied_ms=max(applied_ms_by_vm.values()),
        )

    def find_by_nonce(self, nonce: str) -> HistoryEntry | None:
        """Returns the entry of a publication, None when unknown.

        Args:
            nonce: Identifies the publication.
        """
        offset = self._offset_by_nonce.get(nonce)
        return None if offset is None else self._with_applied_times(offset)

    def find_accepted(
        self, base: Offset, operator: OperatorName, digest: str
    ) -> HistoryEntry | None:
        """Returns the accepted publication of a text on a base, if any.

        Args:
            base: The version it is based on.
            operator: Who published it.
            digest: The text's digest.
        """
        for entry in reversed(self._entry_by_offset.values()):
            if entry.decision is not Decision.ACCEPTED:
                continue
            if (entry.base, entry.operator) != (base, operator):
                continue
            if entry.digest == digest:
                return entry
        return None

    def add(
        self,
        offset: Offset,
        proposal: RulesProposed,
        decision: Decision,
        why: str,
        change: FileChange,
    ) -> None:
        """Adds a decided proposal.

        Args:
            offset: The proposal's offset in the log.
            proposal: The proposal.
            decision: The decision on it.
            why: Why it was refused, empty if accepted.
            change: The difference from the version then in force.
        """
        added = change.added[:MAX_LINES_PER_ENTRY]
        removed = change.removed[:MAX_LINES_PER_ENTRY]
        kept = len(added) + len(removed)
        entry = HistoryEntry(
            offset,
            proposal.base,
            proposal.operator,
            proposal.proposed_ms,
            proposal.nonce,
            text_digest(proposal.text),
            decision,
            why,
            added,
            removed,
            len(change.added) + len(change.removed) - kept,
            change.reordered,
        )
        self._entry_by_offset[offset] = entry
        if decision is Decision.ACCEPTED:
            self._applied_by_offset[offset] = {}
        self._offset_by_nonce.setdefault(proposal.nonce, offset)
        self._prune()

    def record_applied(self, version: Offset, vm: VmId, at_ms: int) -> bool:
        """Records that a VM applied a version; the first report counts.

        Args:
            version: The version.
            vm: The VM.
            at_ms: When it applied the version, by its wall clock.

        Returns:
            False if the version is not recent or the VM has already
            reported it.
        """
        applied_ms_by_vm = self._applied_by_offset.get(version)
        if applied_ms_by_vm is None or vm in applied_ms_by_vm:
            return False
        applied_ms_by_vm[vm] = at_ms
        return True

    def _prune(self) -> None:
        offsets = list(self._entry_by_offset)
        if len(offsets) > MAX_ENTRIES_WITH_VMS:
            offset = offsets[-MAX_ENTRIES_WITH_VMS - 1]
            summarized = replace(self._with_applied_times(offset), applied=())
            self._entry_by_offset[offset] = summarized
            self._applied_by_offset.pop(offset, None)
        if len(offsets) <= MAX_ENTRIES:
            return
        dropped = self._entry_by_offset.pop(offsets[0])
        if self._offset_by_nonce.get(dropped.nonce) == dropped.offset:
            del self._offset_by_nonce[dropped.nonce]
