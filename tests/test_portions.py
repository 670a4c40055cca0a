"""State machine tests of the allocation of shared limits."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from lycheestall.fold import Verdict
from lycheestall.ids import AccountId, Offset, SessionId
from lycheestall.portions import MAX_WINDOWS, Portions, SharedLimit
from lycheestall.records import PortionReturned, PortionTaken

ACCOUNT = AccountId("bronze")
sessions = st.sampled_from([SessionId("s1"), SessionId("s2")])
windows = st.sampled_from([0, 1, 2, 2, 3, 40, 41])


class _PortionsMachine(RuleBasedStateMachine):
    """Compares verdicts with the sums granted by session and window."""

    portions_class = Portions

    def __init__(self) -> None:
        super().__init__()
        self.portions = self.portions_class()
        self.granted: dict[tuple[int, SessionId], int] = {}

    @rule(
        writer=sessions,
        window=windows,
        amount=st.integers(0, 8),
        limit=st.sampled_from([10, 10, 6]),
    )
    def take(
        self, writer: SessionId, window: int, amount: int, limit: int
    ) -> None:
        body = PortionTaken(ACCOUNT, "t", window, amount, limit)
        if not self.portions.apply(Offset(0), writer, body).accepted:
            return
        key = (window, writer)
        self.granted[key] = self.granted.get(key, 0) + amount
        assert self.sum_of(window) <= limit

    @rule(writer=sessions, window=windows, amount=st.integers(0, 8))
    def give_back(self, writer: SessionId, window: int, amount: int) -> None:
        body = PortionReturned(ACCOUNT, "t", window, amount)
        if self.portions.apply(Offset(0), writer, body).accepted:
            self.granted[window, writer] -= amount
            assert self.granted[window, writer] >= 0

    @rule(session=sessions)
    def session_ends(self, session: SessionId) -> None:
        self.portions.session_ended(session)
        self.granted.pop((0, session), None)

    @rule()
    def checkpoint(self) -> None:
        state = cbor2.loads(cbor2.dumps(self.portions.dump()))
        self.portions = self.portions_class()
        self.portions.load(state)

    def sum_of(self, window: int) -> int:
        return sum(
            amount for key, amount in self.granted.items() if key[0] == window
        )


class _CountsOneSession(Portions):
    """Fault: counts the portions of only one session."""

    def allocated(self, limit: SharedLimit) -> int:
        return self.allocated_to(limit, SessionId("s1"))


class _ReturnsTimedPortions(Portions):
    """Fault: frees portions of time windows when a session ends."""

    def session_ended(self, session: SessionId) -> None:
        for by_window in self._allocated_by_limit.values():
            for by_session in by_window.values():
                by_session.pop(session, None)


def _run(portions: type[Portions]) -> None:
    machine = type(
        "Machine", (_PortionsMachine,), {"portions_class": portions}
    )
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=100,
            stateful_step_count=30,
            phases=(Phase.generate,),
        ),
    )


def test_allocated_sum_stays_within_the_limit() -> None:
    _run(Portions)


@pytest.mark.parametrize("faulty", [_CountsOneSession, _ReturnsTimedPortions])
def test_injected_fault_fails_the_check(faulty: type[Portions]) -> None:
    with pytest.raises(AssertionError):
        _run(faulty)


def _take(portions: Portions, window: int) -> Verdict:
    body = PortionTaken(ACCOUNT, "t", window, 1, 1)
    return portions.apply(Offset(0), SessionId("s1"), body)


def test_fast_clock_does_not_expire_other_windows() -> None:
    portions = Portions()
    assert _take(portions, 1_000_000).accepted
    assert _take(portions, 7).accepted


def test_number_of_windows_is_bounded() -> None:
    portions = Portions()
    for window in range(1, 100):
        assert _take(portions, window).accepted
    state = portions.dump()
    assert isinstance(state, list) and len(state) == MAX_WINDOWS
