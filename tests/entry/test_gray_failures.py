"""Pattern: targets that look well and fail or swallow their requests."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import FakeTarget, ServedRequest

WARM_UP = 24


class GreyTargets:
    """Two targets, one of which can be made to misbehave."""

    def __init__(self, world: EntryVmHarness) -> None:
        self.world = world
        self.grey_does = "answer"
        self.good = world.add_target("good", self._answer)
        self.grey = world.add_target("grey", self._misbehave)
        self._sent = 0
        world.start()
        for _ in range(WARM_UP):
            assert status_of(self.ask("/maps/x")) == 200

    def ask(
        self, path: str, *, method: str = "GET", run_s: float = 0.1
    ) -> bytes:
        """Sends a request of its own id."""
        self._sent += 1
        request_id = f"request-{self._sent}"
        return self.world.ask(
            path, method=method, request_id=request_id, run_s=run_s
        )

    def runs(self) -> tuple[int, int]:
        """Returns how many requests the good and the grey one took."""
        return _taken(self.good), _taken(self.grey)

    def _answer(self, request: ServedRequest) -> None:
        request.answer(200, b"whole")

    def _misbehave(self, request: ServedRequest) -> None:
        if self.grey_does == "answer":
            request.answer(200, b"whole")
        elif self.grey_does == "fail":
            request.answer(500, b"failed")


def _taken(target: FakeTarget) -> int:
    return len(target.requests)


@pytest.fixture
def targets(world: EntryVmHarness) -> GreyTargets:
    """Two targets that have answered both kinds of requests."""
    return GreyTargets(world)


def test_idempotent_requests_leave_a_target_that_hangs(
    targets: GreyTargets,
) -> None:
    targets.grey_does = "hang"
    good_before, grey_before = targets.runs()
    for _ in range(10):
        assert status_of(targets.ask("/maps/x", run_s=1.0)) == 200
    good, grey = targets.runs()
    assert good - good_before == 10
    assert grey > grey_before


def test_a_hanging_target_is_left_out_by_later_requests(
    targets: GreyTargets,
) -> None:
    targets.grey_does = "hang"
    _, before = targets.runs()
    for _ in range(20):
        targets.ask("/maps/x", run_s=0.12)
    assert targets.runs()[1] - before <= 4


def test_an_order_that_hangs_is_sent_once_and_says_so(
    targets: GreyTargets,
) -> None:
    targets.grey_does = "hang"
    before = sum(targets.runs())
    statuses = [
        status_of(targets.ask("/orders/x", method="POST", run_s=3.2))
        for _ in range(6)
    ]
    assert set(statuses) == {200, 504}
    assert sum(targets.runs()) - before == 6


def test_a_failed_idempotent_request_is_tried_elsewhere(
    targets: GreyTargets,
) -> None:
    targets.grey_does = "fail"
    _, before = targets.runs()
    for _ in range(10):
        assert status_of(targets.ask("/maps/x")) == 200
    assert targets.runs()[1] > before


def test_a_failed_order_is_passed_on_and_not_repeated(
    targets: GreyTargets,
) -> None:
    targets.grey_does = "fail"
    before = sum(targets.runs())
    statuses = [
        status_of(targets.ask("/orders/x", method="POST")) for _ in range(6)
    ]
    assert 500 in statuses
    assert sum(targets.runs()) - before == 6


def test_a_failure_of_all_targets_reaches_the_caller(
    world: EntryVmHarness,
) -> None:
    def fail(request: ServedRequest) -> None:
        request.answer(500, b"failed")

    targets = [world.add_target(f"fails-{n}", fail) for n in range(3)]
    world.start()
    assert status_of(world.ask("/maps/x")) == 500
    assert sum(_taken(target) for target in targets) == 2
