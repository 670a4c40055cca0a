"""Tests of the fold of the rules stream."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheestall.fold import Verdict
from lycheestall.ids import Offset, OperatorName, SessionId, VmId
from lycheestall.publication_history import (
    MAX_ENTRIES,
    MAX_ENTRIES_WITH_VMS,
    Decision,
    PublicationHistory,
)
from lycheestall.records import (
    NO_OFFSET,
    ReaderJoined,
    ReaderLeft,
    Record,
    RecordBody,
    RulesApplied,
    RulesCheckpoint,
    RulesProposed,
    SessionLeft,
)
from lycheestall.rules.syntax import RuleFile
from lycheestall.rules_fold import RulesFold, StaleStateError

TEXTS = [
    "weight of everyone is 1 # assembly\n",
    "weight of everyone is 2 # assembly\n",
    "weight of class x is 2 # crew\nweight of everyone is 1 # assembly\n",
    "weight of everyone is 1 # assembly\nweight of class x is 2 # crew\n",
    "",
]


class Stream:
    """Applies records of several sessions to a fold."""

    def __init__(self, fold: RulesFold | None = None) -> None:
        self.fold = fold or RulesFold()
        self.records: list[Record] = []
        self._sequence_by_writer: dict[str, int] = {}

    def write(self, writer: str, body: RecordBody) -> Verdict:
        """Applies a new record of a writer."""
        sequence = self._sequence_by_writer.get(writer, 0) + 1
        self._sequence_by_writer[writer] = sequence
        return self.put(Record(SessionId(writer), sequence, body))

    def put(self, record: Record) -> Verdict:
        """Applies a given record at the next offset."""
        self.records.append(record)
        return self.fold.apply(Offset(len(self.records) - 1), record)


def proposal(
    base: int, text: str = TEXTS[0], *, nonce: str = "", text_format: int = 1
) -> RulesProposed:
    return RulesProposed(
        Offset(base),
        text,
        text_format,
        OperatorName("jignesh"),
        1000,
        nonce or f"{base}/{text}",
    )


def test_first_of_two_proposals_on_one_base_wins() -> None:
    stream = Stream()
    assert stream.write("a", proposal(-1, TEXTS[0])).accepted
    second = stream.write("b", proposal(-1, TEXTS[1]))
    assert second == Verdict(False, "version 0 is in force, not -1")
    assert stream.fold.version == 0
    assert stream.fold.text == TEXTS[0]
    decisions = [entry.decision for entry in stream.fold.history.entries()]
    assert decisions == [Decision.ACCEPTED, Decision.CONFLICT]


def test_history_names_the_member_of_each_changed_line() -> None:
    stream = Stream()
    stream.write("a", proposal(-1, TEXTS[0]))
    stream.write("a", proposal(0, TEXTS[2]))
    stream.write("a", proposal(1, TEXTS[3]))
    stream.write("a", proposal(2, TEXTS[1]))
    entries = stream.fold.history.entries()
    assert [line.member for line in entries[1].added] == ["crew"]
    assert entries[1].removed == ()
    assert entries[2].reordered and not entries[2].added
    assert [line.text for line in entries[3].removed] == [
        "weight of everyone is 1",
        "weight of class x is 2",
    ]
    assert entries[3].operator == "jignesh"


def test_text_with_errors_is_refused() -> None:
    stream = Stream()
    verdict = stream.write("a", proposal(-1, "weight of # crew"))
    assert not verdict.accepted
    assert stream.fold.version == NO_OFFSET
    assert stream.fold.history.entries()[0].decision is Decision.INVALID


def test_reader_of_an_old_format_blocks_a_new_one() -> None:
    stream = Stream(RulesFold(newest_format=2))
    stream.write("old", ReaderJoined(VmId("vm-1"), 1))
    stream.write("new", ReaderJoined(VmId("vm-2"), 2))
    blocked = stream.write("new", proposal(-1, text_format=2))
    assert not blocked.accepted and "vm-1" in blocked.reason
    stream.write("new", ReaderLeft(SessionId("old")))
    again = proposal(-1, text_format=2, nonce="again")
    assert stream.write("new", again).accepted
    late = stream.write("late", ReaderJoined(VmId("vm-3"), 1))
    assert not late.accepted
    assert [reader.vm for reader in stream.fold.readers()] == ["vm-2"]


def test_restarted_vm_replaces_its_old_reader() -> None:
    stream = Stream()
    stream.write("one", ReaderJoined(VmId("vm"), 1))
    stream.write("two", ReaderJoined(VmId("vm"), 1))
    assert [reader.session for reader in stream.fold.readers()] == ["two"]


def test_fold_with_an_unsupported_format_is_not_readable() -> None:
    stream = Stream(RulesFold(newest_format=1))
    newer = proposal(-1, "new words", text_format=2)
    assert stream.write("new", newer).accepted
    assert stream.fold.version == 0
    assert not stream.fold.readable
    stream.fold.load(stream.fold.dump())
    assert not stream.fold.readable


def test_duplicates_and_repeated_nonces_change_nothing() -> None:
    stream = Stream()
    stream.write("a", proposal(-1, nonce="n"))
    before = stream.fold.text, stream.fold.version
    assert not stream.put(stream.records[0]).accepted
    assert not stream.write("b", proposal(0, nonce="n")).accepted
    assert (stream.fold.text, stream.fold.version) == before
    assert len(stream.fold.history.entries()) == 1


def test_older_state_is_refused() -> None:
    stream = Stream()
    stream.write("a", proposal(-1))
    old = stream.fold.dump()
    old_checkpoint = stream.fold.checkpoint()
    stream.write("a", proposal(0, TEXTS[1]))
    with pytest.raises(StaleStateError):
        stream.fold.load(old)
    with pytest.raises(StaleStateError):
        stream.fold.load_checkpoint(old_checkpoint)
    assert stream.fold.text == TEXTS[1]
    again = stream.fold.apply(Offset(0), stream.records[0])
    assert again == Verdict(False, "already folded")


def test_record_of_another_stream_is_refused() -> None:
    assert not Stream().write("a", SessionLeft()).accepted


def test_first_applied_time_of_each_vm_is_kept() -> None:
    stream = Stream()
    stream.write("a", proposal(-1))
    for vm, at_ms in (("v1", 5), ("v2", 9), ("v1", 7)):
        stream.write(vm, RulesApplied(VmId(vm), Offset(0), at_ms))
    entry = stream.fold.history.entries()[0]
    assert [(item.vm, item.applied_ms) for item in entry.applied] == [
        ("v1", 5),
        ("v2", 9),
    ]
    assert (entry.applied_count, entry.last_applied_ms) == (2, 9)
    unknown = RulesApplied(VmId("v1"), Offset(7), 1)
    assert not stream.write("v1", unknown).accepted


def test_history_is_bounded() -> None:
    stream = Stream()
    version = -1
    for number in range(MAX_ENTRIES + 5):
        body = proposal(version, TEXTS[number % 2], nonce=str(number))
        assert stream.write("a", body).accepted
        version = int(stream.fold.version)
        stream.write("v", RulesApplied(VmId("v"), Offset(version), 1))
    entries = stream.fold.history.entries()
    assert len(entries) == MAX_ENTRIES
    with_vms = [entry for entry in entries if entry.applied]
    assert len(with_vms) == MAX_ENTRIES_WITH_VMS
    assert all(entry.applied_count == 1 for entry in entries)
    assert stream.fold.history.find_by_nonce("0") is None


writers = st.sampled_from(["a", "b", "c", "d"])


class PublicationMachine(RuleBasedStateMachine):
    """Concurrent publications, changing readers, starts from checkpoints."""

    fold_class = RulesFold

    @initialize()
    def start(self) -> None:
        """Starts with an empty stream."""
        self.stream = Stream(self.fold_class())
        self.late = self.fold_class()
        self.checkpoints: list[RulesCheckpoint] = []
        self.accepted = [-1]
        self.nonce = 0

    @rule(
        writer=writers,
        text=st.sampled_from([*TEXTS, "no rule"]),
        back=st.integers(0, 2),
        text_format=st.sampled_from([1, 1, 1, 2]),
    )
    def propose(
        self, writer: str, text: str, back: int, text_format: int
    ) -> None:
        """Proposes rules, possibly on an old base."""
        self.nonce += 1
        base = self.accepted[-1 - min(back, len(self.accepted) - 1)]
        oldest = min(
            (r.newest_format for r in self.stream.fold.readers()), default=9
        )
        body = proposal(
            base, text, nonce=str(self.nonce), text_format=text_format
        )
        before = self.accepted[-1]
        verdict = self.stream.write(writer, body)
        valid = text != "no rule" or text_format > 1
        expected = base == before and oldest >= text_format and valid
        assert verdict.accepted == expected
        if verdict.accepted:
            self.accepted.append(len(self.stream.records) - 1)

    @rule(writer=writers, newest=st.sampled_from([1, 2]))
    def join(self, writer: str, newest: int) -> None:
        """A reader joins."""
        self.stream.write(writer, ReaderJoined(VmId(f"vm-{writer}"), newest))

    @rule(writer=writers, other=writers)
    def leave(self, writer: str, other: str) -> None:
        """A reader leaves."""
        self.stream.write(writer, ReaderLeft(SessionId(other)))

    @rule(writer=writers)
    def applied(self, writer: str) -> None:
        """A VM reports that it applied the newest version."""
        version = Offset(self.accepted[-1])
        body = RulesApplied(VmId(f"vm-{writer}"), version, 1)
        self.stream.write(writer, body)

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An old record is appended a second time."""
        if not self.stream.records:
            return
        old = data.draw(st.sampled_from(self.stream.records))
        assert not self.stream.put(old).accepted

    @rule(writer=writers)
    def write_checkpoint(self, writer: str) -> None:
        """A reader writes a checkpoint."""
        checkpoint = self.stream.fold.checkpoint()
        self.checkpoints.append(checkpoint)
        assert self.stream.write(writer, checkpoint).accepted

    @rule(data=st.data())
    def catch_up(self, data: st.DataObject) -> None:
        """A lagging reader applies some of the records it has missed."""
        end = len(self.stream.records)
        until = data.draw(st.integers(int(self.late.as_of) + 1, end))
        before = self.late.version
        for offset in range(int(self.late.as_of) + 1, until):
            self.late.apply(Offset(offset), self.stream.records[offset])
        assert self.late.version >= before

    @rule(data=st.data())
    def start_from_checkpoint(self, data: st.DataObject) -> None:
        """A checkpoint plus the later records yields the same state."""
        if not self.checkpoints:
            return
        reader = self.fold_class()
        reader.load_checkpoint(data.draw(st.sampled_from(self.checkpoints)))
        for offset in range(int(reader.as_of) + 1, len(self.stream.records)):
            reader.apply(Offset(offset), self.stream.records[offset])
        assert reader.dump() == self.stream.fold.dump()
        assert reader.file == self.stream.fold.file

    @invariant()
    def version_only_grows(self) -> None:
        """Folds hold only accepted versions."""
        assert self.stream.fold.version == self.accepted[-1]
        assert self.late.version in self.accepted


FEW_EXAMPLES = settings(max_examples=60, stateful_step_count=40)
PublicationMachine.TestCase.settings = FEW_EXAMPLES
TestPublicationMachine = PublicationMachine.TestCase


class BaseIgnored(RulesFold):
    """Accepts a proposal on any base."""

    def _decide(
        self, proposal: RulesProposed
    ) -> tuple[Decision, str, RuleFile | None]:
        return super()._decide(replace(proposal, base=self.version))


class ReadersIgnored(RulesFold):
    """Lets no reader block a format."""

    def _format_blockers(self, text_format: int) -> str:
        return ""


class RepeatsTaken(RulesFold):
    """Applies duplicate records."""

    def newest_sequence(self, writer: SessionId) -> int:
        """Returns that no record was applied."""
        return 0


class HistoryLost(RulesFold):
    """Omits the audit trail from checkpoints."""

    def checkpoint(self) -> RulesCheckpoint:
        """Returns a checkpoint without history."""
        history, self.history = self.history, PublicationHistory()
        try:
            return super().checkpoint()
        finally:
            self.history = history


@pytest.mark.parametrize(
    "broken", [BaseIgnored, ReadersIgnored, RepeatsTaken, HistoryLost]
)
def test_state_machine_detects_a_broken_fold(broken: type[RulesFold]) -> None:
    class Broken(PublicationMachine):
        """The state machine with a broken fold."""

        fold_class = broken

    search = settings(
        FEW_EXAMPLES,
        max_examples=500,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Broken, settings=search)
