"""Tests of the order in which a program's calls are released."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from lycheestall.ids import CallNumber
from lycheestall.sequencer import (
    Duplicate,
    Held,
    NumberConflict,
    Released,
    Sequencer,
    Superseded,
)

HOLD_S = 2.0
BODY = b"body"


class _SequencerMachine(RuleBasedStateMachine):
    """Checks that calls are released in order and one at a time."""

    sequencer_class = Sequencer

    def __init__(self) -> None:
        super().__init__()
        self.sequencer = self.sequencer_class(HOLD_S)
        self.now = 0.0
        self.unaccepted: CallNumber | None = None
        self.accepted_numbers: list[CallNumber] = []
        self.ended: set[int] = set()
        self.held: set[CallNumber] = set()

    def check_release(self, number: CallNumber) -> None:
        self.held.discard(number)
        assert self.unaccepted is None
        assert all(earlier < number for earlier in self.accepted_numbers)
        assert all(before in self.ended for before in range(1, number))
        self.unaccepted = number

    @rule(number=st.integers(0, 6))
    def offer(self, number: int) -> None:
        offer = self.sequencer.offer(number, BODY, self.now)
        if isinstance(offer, Released):
            self.check_release(offer.number)
        if isinstance(offer, Held):
            self.held.add(offer.number)

    @rule()
    def accept(self) -> None:
        if self.unaccepted is None:
            return
        number, self.unaccepted = self.unaccepted, None
        self.accepted_numbers.append(number)
        self.ended.add(number)
        for released in self.sequencer.accepted(number):
            self.check_release(released)

    @rule()
    def refuse(self) -> None:
        if self.unaccepted is None:
            return
        number, self.unaccepted = self.unaccepted, None
        self.ended.add(number)
        for released in self.sequencer.refused(number):
            self.check_release(released)

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        expired, released = self.sequencer.expire(self.now)
        self.held.difference_update(expired)
        for number in released:
            self.check_release(number)

    @invariant()
    def no_releasable_call_is_held(self) -> None:
        if self.unaccepted is None and self.held:
            assert min(self.held) > self.sequencer.expected


class _Unordered(Sequencer):
    """Fault: releases a call before the previous one is accepted."""

    def _unaccepted(self) -> CallNumber | None:
        return None


class _Rerunning(Sequencer):
    """Fault: releases numbers again that a target has accepted."""

    def offer(self, number, digest, now):  # type: ignore[no-untyped-def]
        self._newest_accepted = 0
        self._entry_by_number = {
            key: entry
            for key, entry in self._entry_by_number.items()
            if entry.state.value != "passed"
        }
        return super().offer(number, digest, now)


def _run(sequencer: type[Sequencer]) -> None:
    parts = {"sequencer_class": sequencer}
    machine = type("Machine", (_SequencerMachine,), parts)
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=150,
            stateful_step_count=40,
            phases=(Phase.generate,),
        ),
    )


def test_calls_are_released_in_order() -> None:
    _run(Sequencer)


@pytest.mark.parametrize("faulty", [_Unordered, _Rerunning])
def test_injected_fault_fails_the_check(faulty: type[Sequencer]) -> None:
    with pytest.raises(AssertionError):
        _run(faulty)


def test_call_after_gap_is_refused_and_its_number_is_free() -> None:
    sequencer = Sequencer(HOLD_S)
    assert sequencer.offer(2, BODY, 0.0) == Held(CallNumber(2), HOLD_S)
    assert sequencer.next_expiry() == HOLD_S
    assert sequencer.expire(HOLD_S) == ([2], [])
    assert sequencer.offer(1, BODY, 3.0) == Released(CallNumber(1))


def test_accepted_number_is_not_released_after_a_later_one() -> None:
    sequencer = Sequencer(HOLD_S)
    sequencer.offer(1, BODY, 0.0)
    assert sequencer.offer(1, BODY, 0.0) == Duplicate(CallNumber(1))
    assert sequencer.offer(1, b"other", 0.0) == NumberConflict(CallNumber(1))
    sequencer.accepted(CallNumber(1))
    sequencer.offer(2, BODY, 0.0)
    assert not sequencer.reopen(CallNumber(1))
    sequencer.accepted(CallNumber(2))
    sequencer.forget(CallNumber(1))
    assert sequencer.offer(1, BODY, 0.0) == Superseded(CallNumber(1))
    assert sequencer.reopen(CallNumber(2))
    assert sequencer.offer(2, BODY, 0.0) == Released(CallNumber(2))


def test_gap_is_skipped_after_owner_failure() -> None:
    sequencer = Sequencer(HOLD_S, expected=4, exact=False)
    assert isinstance(sequencer.offer(6, BODY, 0.0), Held)
    assert sequencer.expire(HOLD_S) == ([], [6])
    assert sequencer.offer(5, BODY, 3.0) == Held(CallNumber(5), 5.0)
