"""State machine tests of the ledger."""

from __future__ import annotations

from dataclasses import replace

import cbor2
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from lycheestall.claims import Claims
from lycheestall.fold import Verdict
from lycheestall.ids import (
    AccountId,
    IdempotencyKey,
    Offset,
    PartitionId,
    ProgramId,
    SessionId,
    TargetId,
)
from lycheestall.ledger import Ledger
from lycheestall.program_ids import (
    issue_program_id,
    ledger_id,
)
from lycheestall.records import (
    BudgetDrawn,
    CellRecord,
    Forgotten,
    IntentRecorded,
    IntentVoided,
    OutcomeRecorded,
    ProgramEnded,
    ProgramOpened,
)

ACCOUNT = AccountId("snowline")
PARTITION = PartitionId(3)
ISSUED_MS = (100, 300)
PROGRAMS = [
    ledger_id(
        ACCOUNT,
        issue_program_id(
            account=ACCOUNT, issued_ms=at, nonce=bytes(8), key=b"k"
        ),
    )
    for at in ISSUED_MS
]
SESSIONS = [SessionId("s1"), SessionId("s2")]
sessions = st.sampled_from(SESSIONS)
holders = st.sampled_from([True, True, False])
programs = st.sampled_from([PROGRAMS[0], PROGRAMS[1], PROGRAMS[1]])
keys = st.sampled_from([IdempotencyKey(key) for key in ("k1", "k1", "k2")])
epoch_lags = st.sampled_from([0, 0, 0, 1])


def _claim_partition(
    claims: Claims[PartitionId], session: SessionId, offset: int
) -> None:
    verdict = claims.claim(
        Offset(offset),
        session,
        PARTITION,
        claims.epoch(PARTITION),
        lambda _: False,
    )
    assert verdict.accepted


class _LedgerMachine(RuleBasedStateMachine):
    """Compares the verdicts of a ledger with a model of its state."""

    ledger_class = Ledger

    def __init__(self) -> None:
        super().__init__()
        self.ledger = self.ledger_class()
        self.claims = Claims[PartitionId]()
        _claim_partition(self.claims, SESSIONS[0], 1)
        self.offset = 1
        self.intents: dict[tuple[ProgramId, IdempotencyKey], SessionId] = {}
        self.ended: set[ProgramId] = set()
        self.forgotten = 0

    def apply(self, writer: SessionId, body: CellRecord) -> Verdict:
        self.offset += 1
        return self.ledger.apply(
            Offset(self.offset), writer, body, self.claims
        )

    def holds(self, writer: SessionId, epoch_lag: int) -> bool:
        return self.claims.by_key[PARTITION].owner == writer and not epoch_lag

    def writer(self, holder: bool) -> SessionId:
        owner = self.claims.by_key[PARTITION].owner
        return SESSIONS[holder == (owner == SESSIONS[1])]

    def epoch(self, epoch_lag: int) -> Offset:
        return Offset(self.claims.epoch(PARTITION) - epoch_lag)

    @precondition(lambda self: self.offset % 4 == 2)
    @rule(session=sessions)
    def claim(self, session: SessionId) -> None:
        self.offset += 1
        _claim_partition(self.claims, session, self.offset)

    @rule(holder=holders, program=programs, epoch_lag=epoch_lags)
    def open(self, holder: bool, program: ProgramId, epoch_lag: int) -> None:
        writer = self.writer(holder)
        epoch = self.epoch(epoch_lag)
        body = ProgramOpened(program, ACCOUNT, "c", PARTITION, epoch, 1)
        if self.apply(writer, body).accepted:
            assert self.holds(writer, epoch_lag)
            assert ISSUED_MS[PROGRAMS.index(program)] >= self.forgotten

    @rule(holder=holders, program=programs, key=keys, epoch_lag=epoch_lags)
    def record_intent(
        self,
        holder: bool,
        program: ProgramId,
        key: IdempotencyKey,
        epoch_lag: int,
    ) -> None:
        writer = self.writer(holder)
        epoch = self.epoch(epoch_lag)
        body = IntentRecorded(
            program, PARTITION, epoch, key, b"d", TargetId("t"), 1
        )
        if not self.apply(writer, body).accepted:
            return
        assert self.holds(writer, epoch_lag)
        assert program not in self.ended
        assert (program, key) not in self.intents
        self.intents[program, key] = writer

    @precondition(lambda self: self.intents)
    @rule(holder=holders, data=st.data())
    def void(self, holder: bool, data: st.DataObject) -> None:
        writer = self.writer(holder)
        program, key = data.draw(st.sampled_from(sorted(self.intents)))
        if self.apply(writer, IntentVoided(program, key)).accepted:
            assert self.intents.pop((program, key)) == writer

    @rule(holder=holders, program=programs, key=keys)
    def close(
        self, holder: bool, program: ProgramId, key: IdempotencyKey
    ) -> None:
        writer = self.writer(holder)
        body = IntentVoided(program, key, closed=True)
        if self.apply(writer, body).accepted:
            assert self.holds(writer, 0)

    @rule(holder=holders, program=programs, key=keys)
    def record_outcome(
        self, holder: bool, program: ProgramId, key: IdempotencyKey
    ) -> None:
        writer = self.writer(holder)
        body = OutcomeRecorded(program, key, 200, "", b"x", True)
        if self.apply(writer, body).accepted:
            assert (program, key) in self.intents

    @rule(holder=holders, program=programs, tokens=st.integers(0, 9))
    def draw(self, holder: bool, program: ProgramId, tokens: int) -> None:
        writer = self.writer(holder)
        known = self.ledger.program_by_id.get(program)
        before = 0 if known is None else known.drawn.tokens
        body = BudgetDrawn(program, PARTITION, self.epoch(0), tokens, 1, 0)
        if self.apply(writer, body).accepted:
            drawn = self.ledger.program_by_id[program].drawn.tokens
            assert drawn == max(before, tokens)

    @precondition(lambda self: self.offset % 4 == 0)
    @rule(holder=holders, program=programs, epoch_lag=epoch_lags)
    def end(self, holder: bool, program: ProgramId, epoch_lag: int) -> None:
        writer = self.writer(holder)
        body = ProgramEnded(program, PARTITION, self.epoch(epoch_lag), "done")
        if self.apply(writer, body).accepted:
            assert self.holds(writer, epoch_lag)
            self.ended.add(program)

    @precondition(lambda self: self.offset % 4 == 1)
    @rule(holder=holders, before=st.sampled_from([10, 20, 150]))
    def forget(self, holder: bool, before: int) -> None:
        writer = self.writer(holder)
        accepted = self.apply(writer, Forgotten(before)).accepted
        assert accepted == (before > self.forgotten)
        self.forgotten = max(before, self.forgotten)

    @rule()
    def checkpoint(self) -> None:
        state = cbor2.loads(cbor2.dumps(self.ledger.dump()))
        self.ledger = self.ledger_class()
        self.ledger.load(state)
        assert cbor2.loads(cbor2.dumps(self.ledger.dump())) == state

    @invariant()
    def forgotten_time_never_decreases(self) -> None:
        assert self.ledger.forgotten_before_ms == self.forgotten

    @invariant()
    def is_open_matches_programs(self) -> None:
        for name in PROGRAMS:
            known = self.ledger.program_by_id.get(name)
            live = known is not None and not known.ended
            assert self.ledger.is_open(name) == live


class _AcceptsStaleEpoch(Ledger):
    """Fault: accepts intents of the holder with a stale epoch."""

    def apply(
        self,
        offset: Offset,
        writer: SessionId,
        body: CellRecord,
        claims: Claims[PartitionId],
    ) -> Verdict:
        if isinstance(body, IntentRecorded):
            body = replace(body, epoch=claims.epoch(PARTITION))
        return super().apply(offset, writer, body, claims)


class _AcceptsForeignVoid(Ledger):
    """Fault: lets another session void an intent."""

    def _void_intent(
        self,
        writer: SessionId,
        body: IntentVoided,
        claims: Claims[PartitionId],
    ) -> Verdict:
        intent = self.find_intent(body.program, body.key)
        if intent is not None:
            intent.session = writer
        return super()._void_intent(writer, body, claims)


class _ReopensForgotten(Ledger):
    """Fault: opens programs again that were dropped."""

    def _open(self, body: ProgramOpened) -> Verdict:
        before_ms, self.forgotten_before_ms = self.forgotten_before_ms, 0
        verdict = super()._open(body)
        self.forgotten_before_ms = before_ms
        return verdict


def _run(ledger: type[Ledger]) -> None:
    machine = type("Machine", (_LedgerMachine,), {"ledger_class": ledger})
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            phases=(Phase.generate,),
        ),
    )


def test_ledger_accepts_only_valid_records() -> None:
    _run(Ledger)


@pytest.mark.parametrize(
    "faulty", [_AcceptsStaleEpoch, _AcceptsForeignVoid, _ReopensForgotten]
)
def test_injected_fault_fails_the_check(faulty: type[Ledger]) -> None:
    with pytest.raises(AssertionError):
        _run(faulty)


def test_intent_requires_issued_id() -> None:
    ledger, claims = Ledger(), Claims[PartitionId]()
    _claim_partition(claims, SessionId("s1"), 1)
    program = ledger_id(ACCOUNT, ProgramId("chosen"))
    opened = ProgramOpened(program, ACCOUNT, "", PARTITION, Offset(1), 5)
    intent = IntentRecorded(
        program,
        PARTITION,
        Offset(1),
        IdempotencyKey("k"),
        b"d",
        TargetId("t"),
        1,
    )
    writer = SessionId("s1")
    assert ledger.apply(Offset(2), writer, opened, claims).accepted
    assert not ledger.apply(Offset(3), writer, intent, claims).accepted
