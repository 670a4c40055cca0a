"""The fold of the rules stream, which determines the rules in force.

Every VM folds the same records and thus accepts the same proposals. The
version in force is the offset of the last accepted proposal; it never
decreases.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace

from ._publication_state import (
    PublicationState,
    Reader,
    StaleStateError,
    decode_state,
    encode_state,
)
from .fold import Fold, Verdict
from .ids import Offset, OperatorName, SessionId
from .publication_history import Decision, PublicationHistory
from .records import (
    NO_OFFSET,
    ReaderJoined,
    ReaderLeft,
    Record,
    RulesApplied,
    RulesCheckpoint,
    RulesProposed,
)
from .rules.compare import FileChange, compare_files
from .rules.parser import RULES_FORMAT, parse_rules
from .rules.syntax import RuleFile

__all__ = ["RulesFold", "Reader", "StaleStateError"]

MAX_TEXT_BYTES = 4 * 1024 * 1024
MAX_WRITERS = 4096
MAX_BLOCKERS_NAMED = 5


class RulesFold(Fold):
    """The rules in force, their readers and the audit trail.

    Attributes:
        as_of: The newest offset applied to the state.
        version: The version in force, -1 before the first publication.
        base: The version that the version in force is based on.
        text: Its text.
        text_format: The text's format.
        operator: Who published it.
        file: Its rules.
        readable: False if the rules in force have a format that this
            release cannot parse; the VM must not serve then.
        history: The audit trail.
    """

    def __init__(self, *, newest_format: int = RULES_FORMAT) -> None:
        self._newest_format = newest_format
        self.as_of = NO_OFFSET
        self.version = NO_OFFSET
        self.base = NO_OFFSET
        self.text = ""
        self.text_format = RULES_FORMAT
        self.operator = OperatorName("")
        self.file = RuleFile()
        self.readable = True
        self.history = PublicationHistory()
        self._reader_by_session: dict[SessionId, Reader] = {}
        self._newest_sequence_by_writer: OrderedDict[SessionId, int] = (
            OrderedDict()
        )

    def readers(self) -> tuple[Reader, ...]:
        """Returns the registered readers, sorted by session ID."""
        found = sorted(self._reader_by_session.items())
        return tuple(reader for _, reader in found)

    def newest_sequence(self, writer: SessionId) -> int:
        """Returns the newest sequence number applied from a writer, else 0.

        Args:
            writer: The writer's session.
        """
        return self._newest_sequence_by_writer.get(writer, 0)

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Applies the next record to the state."""
        if offset <= self.as_of:
            return Verdict(False, "already folded")
        self.as_of = offset
        if record.sequence <= self.newest_sequence(record.writer):
            return Verdict(False, "duplicate")
        self._newest_sequence_by_writer[record.writer] = record.sequence
        self._newest_sequence_by_writer.move_to_end(record.writer)
        self._evict_old_writers()
        return self._apply(offset, record)

    def _apply(self, offset: Offset, record: Record) -> Verdict:
        match record.body:
            case RulesProposed() as proposal:
                return self._propose(offset, proposal)
            case ReaderJoined(vm, newest_format):
                return self._join(Reader(record.writer, vm, newest_format))
            case ReaderLeft(session):
                found = self._reader_by_session.pop(session, None)
                return _verdict(found is not None, "no such reader")
            case RulesApplied(vm, version, at_ms):
                new = self.history.record_applied(version, vm, at_ms)
                return _verdict(new, "unknown version, or already reported")
            case RulesCheckpoint(version=version):
                same = version == self.version
                return _verdict(same, "not the version in force")
        return Verdict(False, "not a record of the rules stream")

    def _evict_old_writers(self) -> None:
        if len(self._newest_sequence_by_writer) <= MAX_WRITERS:
            return
        for writer in self._newest_sequence_by_writer:
            if writer not in self._reader_by_session:
                del self._newest_sequence_by_writer[writer]
                return

    def _join(self, reader: Reader) -> Verdict:
        if reader.newest_format < self.text_format:
            why = f"cannot read format {self.text_format}, which is in force"
            return Verdict(False, why)
        for session, other in list(self._reader_by_session.items()):
            if other.vm == reader.vm:
                del self._reader_by_session[session]
        self._reader_by_session[reader.session] = reader
        return Verdict(True)

    def _propose(self, offset: Offset, proposal: RulesProposed) -> Verdict:
        earlier = self.history.find_by_nonce(proposal.nonce)
        if earlier is not None:
            return Verdict(False, f"decided at offset {earlier.offset}")
        decision, why, file = self._decide(proposal)
        change = FileChange()
        if file is not None:
            change = compare_files(self.file, file)
        self.history.add(offset, proposal, decision, why, change)
        if decision is not Decision.ACCEPTED:
            return Verdict(False, why)
        self.version = offset
        self.base = proposal.base
        self.text = proposal.text
        self.text_format = proposal.text_format
        self.operator = proposal.operator
        self.readable = file is not None
        self.file = file or RuleFile()
        return Verdict(True)

    def _decide(
        self, proposal: RulesProposed
    ) -> tuple[Decision, str, RuleFile | None]:
        """Returns the decision, its reason and the rules if they parse."""
        blockers = self._format_blockers(proposal.text_format)
        if proposal.base != self.version:
            why = f"version {self.version} is in force, not {proposal.base}"
            return Decision.CONFLICT, why, None
        if blockers:
            return Decision.BLOCKED, blockers, None
        if len(proposal.text.encode()) > MAX_TEXT_BYTES:
            why = f"the text is over {MAX_TEXT_BYTES} bytes"
            return Decision.INVALID, why, None
        if proposal.text_format > self._newest_format:
            return Decision.ACCEPTED, "", None
        parsed = parse_rules(proposal.text, file="proposal")
        if not isinstance(parsed, RuleFile):
            why = f"{len(parsed)} errors, first {parsed[0]}"
            return Decision.INVALID, why, None
        return Decision.ACCEPTED, "", parsed

    def _format_blockers(self, text_format: int) -> str:
        names: list[str] = []
        for reader in self.readers():
            if reader.newest_format < text_format:
                names.append(reader.vm)
        if not names:
            return ""
        shown = ", ".join(names[:MAX_BLOCKERS_NAMED])
        return f"{len(names)} VMs cannot read format {text_format}: {shown}"

    def dump(self) -> bytes:
        """Returns the whole state, for a checkpoint."""
        return encode_state(self._state())

    def load(self, data: bytes) -> None:
        """Replaces the state with a newer one from ``dump``.

        Raises:
            StaleStateError: The state is older than the one held.
        """
        self._restore(decode_state(data))

    def checkpoint(self) -> RulesCheckpoint:
        """Returns a checkpoint record of the current state."""
        rest = replace(self._state(), text="")
        return RulesCheckpoint(
            self.as_of,
            self.version,
            self.text,
            self.text_format,
            encode_state(rest),
        )

    def load_checkpoint(self, checkpoint: RulesCheckpoint) -> None:
        """Replaces the state with a checkpoint; continue at ``as_of`` + 1.

        Args:
            checkpoint: A checkpoint record of this stream.

        Raises:
            StaleStateError: The checkpoint is older than the state held.
        """
        rest = decode_state(checkpoint.data)
        self._restore(replace(rest, text=checkpoint.text))

    def _state(self) -> PublicationState:
        return PublicationState(
            self.as_of,
            self.version,
            self.text,
            self.text_format,
            self.base,
            self.operator,
            self.readable,
            self.readers(),
            tuple(self._newest_sequence_by_writer.items()),
            self.history.entries(),
        )

    def _restore(self, state: PublicationState) -> None:
        if state.as_of < self.as_of or state.version < self.version:
            raise StaleStateError(
                f"state at offset {state.as_of} is older than the current "
                f"state at offset {self.as_of}"
            )
        file: RuleFile | None = None
        if state.readable and state.text_format <= self._newest_format:
            parsed = parse_rules(state.text, file="checkpoint")
            file = parsed if isinstance(parsed, RuleFile) else None
        self.readable = file is not None
        self.file = file or RuleFile()
        self.as_of = state.as_of
        self.version = state.version
        self.base = state.base
        self.text = state.text
        self.text_format = state.text_format
        self.operator = state.operator
        self.history = PublicationHistory(state.history)
        self._reader_by_session = {r.session: r for r in state.readers}
        self._newest_sequence_by_writer = OrderedDict(state.writers)


def _verdict(accepted: bool, why: str) -> Verdict:
    return Verdict(True) if accepted else Verdict(False, why)
