"""State machine tests of a program's call order."""

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
    Attach,
    Clash,
    Go,
    Hold,
    Sequencer,
    Superseded,
)

HOLD_S = 2.0
BODY = b"body"


class _SequencerMachine(RuleBasedStateMachine):
    """Watches the order in which calls go on."""

    sequencer_class = Sequencer

    def __init__(self) -> None:
        super().__init__()
        self.sequencer = self.sequencer_class(HOLD_S)
        self.now = 0.0
        self.going: CallNumber | None = None
        self.had: list[CallNumber] = []
        self.ended: set[int] = set()
        self.held: set[CallNumber] = set()

    def goes(self, number: CallNumber) -> None:
        self.held.discard(number)
        assert self.going is None
        assert all(earlier < number for earlier in self.had)
        assert all(before in self.ended for before in range(1, number))
        self.going = number

    @rule(number=st.integers(0, 6))
    def offer(self, number: int) -> None:
        offer = self.sequencer.offer(number, BODY, self.now)
        if isinstance(offer, Go):
            self.goes(offer.number)
        if isinstance(offer, Hold):
            self.held.add(offer.number)

    @rule()
    def passed(self) -> None:
        if self.going is None:
            return
        number, self.going = self.going, None
        self.had.append(number)
        self.ended.add(number)
        for released in self.sequencer.passed(number):
            self.goes(released)

    @rule()
    def refused(self) -> None:
        if self.going is None:
            return
        number, self.going = self.going, None
        self.ended.add(number)
        for released in self.sequencer.refused(number):
            self.goes(released)

    @rule(seconds=st.sampled_from([0.5, 3.0]))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        late, released = self.sequencer.expire(self.now)
        self.held.difference_update(late)
        for number in released:
            self.goes(number)

    @invariant()
    def nothing_waits_in_vain(self) -> None:
        if self.going is None and self.held:
            assert min(self.held) > self.sequencer.expected


class _Parallel(Sequencer):
    """Breaks the rule on order: nothing blocks."""

    def _blocking(self) -> CallNumber | None:
        return None


class _Reviving(Sequencer):
    """Breaks the rule on old numbers: they go on again."""

    def offer(self, number, digest, now):  # type: ignore[no-untyped-def]
        self._top = 0
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


def test_calls_go_on_in_order() -> None:
    _run(Sequencer)


@pytest.mark.parametrize("broken", [_Parallel, _Reviving])
def test_broken_order_is_found(broken: type[Sequencer]) -> None:
    with pytest.raises(AssertionError):
        _run(broken)


def test_a_gap_is_refused_and_its_number_stays_free() -> None:
    sequencer = Sequencer(HOLD_S)
    assert sequencer.offer(2, BODY, 0.0) == Hold(CallNumber(2), HOLD_S)
    assert sequencer.next_expiry() == HOLD_S
    assert sequencer.expire(HOLD_S) == ([2], [])
    assert sequencer.offer(1, BODY, 3.0) == Go(CallNumber(1))


def test_a_sent_number_is_never_sent_below_a_later_one() -> None:
    sequencer = Sequencer(HOLD_S)
    sequencer.offer(1, BODY, 0.0)
    assert sequencer.offer(1, BODY, 0.0) == Attach(CallNumber(1))
    assert sequencer.offer(1, b"other", 0.0) == Clash(CallNumber(1))
    sequencer.passed(CallNumber(1))
    sequencer.offer(2, BODY, 0.0)
    assert not sequencer.reopen(CallNumber(1))
    sequencer.passed(CallNumber(2))
    sequencer.forget(CallNumber(1))
    assert sequencer.offer(1, BODY, 0.0) == Superseded(CallNumber(1))
    assert sequencer.reopen(CallNumber(2))
    assert sequencer.offer(2, BODY, 0.0) == Go(CallNumber(2))


def test_after_an_owners_loss_a_gap_is_skipped() -> None:
    sequencer = Sequencer(HOLD_S, expected=4, exact=False)
    assert isinstance(sequencer.offer(6, BODY, 0.0), Hold)
    assert sequencer.expire(HOLD_S) == ([], [6])
    assert sequencer.offer(5, BODY, 3.0) == Hold(CallNumber(5), 5.0)
