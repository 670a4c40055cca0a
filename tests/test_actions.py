"""Tests that non-idempotent actions run at most once despite faults.

Successive owners run the same call against a log, which is folded by the
real ledger, and a target that counts its runs. A fault or crash is
injected at each step. The checks use what the target ran and how often
each owner answered.
"""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import pytest

from lycheestall.actions import ActionEffects, ActionProtocol
from lycheestall.claims import Claims
from lycheestall.ids import (
    AccountId,
    IdempotencyKey,
    Offset,
    PartitionId,
    SessionId,
    TargetId,
)
from lycheestall.ledger import Ledger
from lycheestall.outcomes import Outcome, Reason, Refused, Step
from lycheestall.program_ids import issue_program_id, ledger_id
from lycheestall.records import (
    CellRecord,
    IntentRecorded,
    IntentVoided,
    OutcomeRecorded,
    ProgramOpened,
)
from lycheestall.targets import (
    ActionDone,
    ActionNotSent,
    ActionResult,
    ActionUnknown,
    LookupResult,
    LookupState,
)

ACCOUNT = AccountId("snowline")
PARTITION = PartitionId(1)
PROGRAM = ledger_id(
    ACCOUNT,
    issue_program_id(account=ACCOUNT, issued_ms=5, nonce=bytes(8), key=b"k"),
)
KEY = IdempotencyKey("order-1")
DONE = ActionDone(201, "application/json", b"{}")
GIVEN_UP = Refused(Step.INTENT, Reason.LOG_UNAVAILABLE, retry_after_s=2.0)
UNAUTHORIZED = Refused(Step.DISPATCH, Reason.NO_AUTHORITY)


@dataclass
class _Log:
    ledger: Ledger = field(default_factory=Ledger)
    claims: Claims[PartitionId] = field(default_factory=Claims)
    offset: int = 0

    def append(self, writer: SessionId, body: CellRecord) -> bool:
        self.offset += 1
        verdict = self.ledger.apply(
            Offset(self.offset), writer, body, self.claims
        )
        return verdict.accepted

    def claim(self, writer: SessionId) -> Offset:
        self.offset += 1
        epoch = Offset(self.offset)
        previous = self.claims.epoch(PARTITION)
        self.claims.claim(epoch, writer, PARTITION, previous, lambda _: False)
        return epoch


@dataclass
class _Target:
    runs: int = 0
    answer: ActionResult = DONE
    runs_if_unanswered: bool = True
    record: LookupState | None = None
    closed: bool = False

    def call(self) -> ActionResult:
        if isinstance(self.answer, ActionNotSent) or self.closed:
            return ActionNotSent("closed")
        if isinstance(self.answer, ActionDone) or self.runs_if_unanswered:
            self.runs += 1
        return self.answer

    def look_up(self) -> LookupResult | None:
        if self.record is None or self.record is LookupState.NO_RECORD:
            return self.record and LookupResult(self.record)
        if self.runs:
            return LookupResult(LookupState.RAN, DONE)
        self.closed = True
        return LookupResult(LookupState.NOT_RUN)


class _Owner(ActionEffects):
    """One owner's attempt; it can crash at any step."""

    def __init__(self, name: str, log: _Log, target: _Target) -> None:
        self.session = SessionId(name)
        self.log = log
        self.target = target
        self.epoch = log.claim(self.session)
        self.crash_before = ""
        self.crashed = False
        self.paused = False
        self.outcomes: list[Outcome] = []
        self.runs_when_refused: int | None = None
        self.protocol = ActionProtocol(self, "runner-1")

    def reach_step(self, name: str) -> bool:
        """Returns whether the owner is still alive at this step."""
        self.crashed = self.crashed or self.crash_before == name
        return not self.crashed

    def run(self, fault: str) -> None:
        """Starts or recovers the call, depending on the ledger."""
        intent = self.log.ledger.find_intent(PROGRAM, KEY)
        if intent is None:
            self.protocol.start()
            self.read_intent_back(fault)
        elif intent.answer is not None or intent.closed:
            return
        else:
            self.protocol.recover()

    def read_intent_back(self, fault: str) -> None:
        if self.crashed:
            return
        if fault in ("append_lost", "read_late"):
            self.protocol.give_up(GIVEN_UP)
        if fault == "append_lost":
            return
        accepted = self.append_intent()
        if self.reach_step("after_intent"):
            self.paused = fault == "paused"
            self.protocol.intent_read(accepted=accepted)

    def append_intent(self) -> bool:
        body = IntentRecorded(
            PROGRAM,
            PARTITION,
            self.epoch,
            KEY,
            b"d",
            TargetId("runner-1"),
            1,
        )
        return self.log.append(self.session, body)

    def write_intent(self) -> None:
        self.reach_step("before_intent")

    def refusal(self) -> Refused | None:
        holds = self.log.claims.holds(PARTITION, self.session, self.epoch)
        return UNAUTHORIZED if self.paused or not holds else None

    def send(self) -> None:
        if not self.reach_step("before_send"):
            return
        answer = self.target.call()
        if self.reach_step("after_send"):
            self.protocol.answered(answer)

    def look_up(self) -> None:
        if not self.reach_step("before_look_up"):
            return
        answer = self.target.look_up()
        if self.reach_step("after_look_up"):
            self.protocol.looked_up(answer)

    def write_outcome(self, answer: ActionDone) -> None:
        if self.reach_step("before_outcome"):
            body = OutcomeRecorded(PROGRAM, KEY, 201, "", b"{}", True)
            self.log.append(self.session, body)

    def void_intent(self, *, closed: bool) -> None:
        if self.reach_step("before_void"):
            body = IntentVoided(PROGRAM, KEY, closed)
            self.log.append(self.session, body)

    def finish(self, outcome: Outcome, answer: ActionDone | None) -> None:
        if not self.reach_step("before_finish"):
            return
        self.outcomes.append(outcome)
        if isinstance(outcome, Refused):
            self.runs_when_refused = self.target.runs


FAULTS = ["none", "append_lost", "read_late", "paused"]
CRASHES = [
    "",
    "before_intent",
    "after_intent",
    "before_send",
    "after_send",
    "before_look_up",
    "after_look_up",
    "before_outcome",
    "before_void",
    "before_finish",
]
TARGETS = [
    (DONE, True),
    (ActionNotSent("refused"), False),
    (ActionUnknown("reset"), True),
    (ActionUnknown("reset"), False),
]
RECORDS = [None, *LookupState]


def check_case(owner_class: type[_Owner], *case: object) -> None:
    """Runs a call by three owners in turn and checks the target.

    The fault and the crash only affect the first owner. The target
    answers normally once the second owner has run.
    """
    fault, crash, (answer, runs), record = case
    log, target = _Log(), _Target(0, answer, runs, record)
    opener = log.claim(SessionId("s0"))
    opened = ProgramOpened(PROGRAM, ACCOUNT, "", PARTITION, opener, 5)
    assert log.append(SessionId("s0"), opened)
    owners: list[_Owner] = []
    for index in range(3):
        owner = owner_class(f"s{index + 1}", log, target)
        owner.crash_before = str(crash) if index == 0 else ""
        owners.append(owner)
        before = target.runs
        owner.run(str(fault) if index == 0 else "none")
        if index == 1:
            target.answer = DONE
        assert target.runs <= 1
        assert len(owner.outcomes) <= 1
        if owner.runs_when_refused is not None:
            assert target.runs == before


CASES = list(itertools.product(FAULTS, CRASHES, TARGETS, RECORDS))


@pytest.mark.parametrize("fault", FAULTS)
def test_runs_at_most_once_under_faults(fault: str) -> None:
    for case in CASES:
        if case[0] == fault:
            check_case(_Owner, *case)


class _ResendingOwner(_Owner):
    """Wrongly sends a call again whose intent is already recorded."""

    def run(self, fault: str) -> None:
        self.protocol.start()
        self.read_intent_back(fault)

    def append_intent(self) -> bool:
        super().append_intent()
        return True


class _LateSendingOwner(_Owner):
    """Wrongly sends a call whose intent is read back too late."""

    def read_intent_back(self, fault: str) -> None:
        super().read_intent_back(fault)
        if fault == "read_late":
            self.target.call()


class _AssumingNotRunOwner(_Owner):
    """Wrongly treats a call that may have run as not run."""

    def look_up(self) -> None:
        self.protocol.looked_up(LookupResult(LookupState.NOT_RUN))


@pytest.mark.parametrize(
    "broken", [_ResendingOwner, _LateSendingOwner, _AssumingNotRunOwner]
)
def test_broken_protocol_fails_the_check(broken: type[_Owner]) -> None:
    with pytest.raises(AssertionError):
        for case in CASES:
            check_case(broken, *case)


def test_late_intent_is_voided_and_frees_its_key() -> None:
    log, target = _Log(), _Target()
    epoch = log.claim(SessionId("s0"))
    opened = ProgramOpened(PROGRAM, ACCOUNT, "", PARTITION, epoch, 5)
    log.append(SessionId("s0"), opened)
    late = _Owner("s1", log, target)
    late.run("read_late")
    assert late.outcomes == [GIVEN_UP] and target.runs == 0
    assert log.ledger.find_intent(PROGRAM, KEY) is None
    late.protocol = ActionProtocol(late, "runner-1")
    late.run("none")
    assert target.runs == 1


def test_owner_does_not_send_after_a_newer_claim() -> None:
    log, target = _Log(), _Target()
    first = log.claim(SessionId("s0"))
    opened = ProgramOpened(PROGRAM, ACCOUNT, "", PARTITION, first, 5)
    log.append(SessionId("s0"), opened)
    paused = _Owner("s1", log, target)
    successor = _Owner("s2", log, target)
    paused.run("none")
    assert target.runs == 0
    assert isinstance(paused.outcomes[0], Refused)
    successor.run("none")
    assert target.runs == 1
