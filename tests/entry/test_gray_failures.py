"""Gray failures: targets that look healthy but fail or never respond."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import FakeTarget, ReceivedRequest

WARM_UP_REQUESTS = 24


class GrayFailureTargets:
    """A healthy target and one whose behavior can be set."""

    def __init__(self, harness: EntryVmHarness) -> None:
        self.harness = harness
        self.gray_behavior = "respond"
        self.healthy = harness.add_target("good", self._respond)
        self.gray = harness.add_target("grey", self._respond_gray)
        self._sent = 0
        harness.start()
        for _ in range(WARM_UP_REQUESTS):
            assert status_of(self.send_request("/maps/x")) == 200

    def send_request(
        self, path: str, *, method: str = "GET", run_s: float = 0.1
    ) -> bytes:
        """Sends a request with a unique ID."""
        self._sent += 1
        request_id = f"request-{self._sent}"
        return self.harness.send_request(
            path, method=method, request_id=request_id, run_s=run_s
        )

    def request_counts(self) -> tuple[int, int]:
        """Returns the healthy and the gray target's number of requests."""
        return _request_count(self.healthy), _request_count(self.gray)

    def _respond(self, request: ReceivedRequest) -> None:
        request.respond(200, b"whole")

    def _respond_gray(self, request: ReceivedRequest) -> None:
        if self.gray_behavior == "respond":
            request.respond(200, b"whole")
        elif self.gray_behavior == "fail":
            request.respond(500, b"failed")


def _request_count(target: FakeTarget) -> int:
    return len(target.requests)


@pytest.fixture
def targets(harness: EntryVmHarness) -> GrayFailureTargets:
    """Two targets, after warm-up requests."""
    return GrayFailureTargets(harness)


def test_idempotent_requests_are_retried_when_a_target_hangs(
    targets: GrayFailureTargets,
) -> None:
    targets.gray_behavior = "hang"
    healthy_before, gray_before = targets.request_counts()
    for _ in range(10):
        assert status_of(targets.send_request("/maps/x", run_s=1.0)) == 200
    healthy, gray = targets.request_counts()
    assert healthy - healthy_before == 10
    assert gray > gray_before


def test_a_hanging_target_is_avoided_by_later_requests(
    targets: GrayFailureTargets,
) -> None:
    targets.gray_behavior = "hang"
    _, before = targets.request_counts()
    for _ in range(20):
        targets.send_request("/maps/x", run_s=0.12)
    assert targets.request_counts()[1] - before <= 4


def test_a_non_idempotent_request_that_hangs_is_sent_once(
    targets: GrayFailureTargets,
) -> None:
    targets.gray_behavior = "hang"
    before = sum(targets.request_counts())
    statuses = [
        status_of(targets.send_request("/orders/x", method="POST", run_s=3.2))
        for _ in range(6)
    ]
    assert set(statuses) == {200, 504}
    assert sum(targets.request_counts()) - before == 6


def test_a_failed_idempotent_request_is_retried_at_another_target(
    targets: GrayFailureTargets,
) -> None:
    targets.gray_behavior = "fail"
    _, before = targets.request_counts()
    for _ in range(10):
        assert status_of(targets.send_request("/maps/x")) == 200
    assert targets.request_counts()[1] > before


def test_a_failed_non_idempotent_request_is_not_retried(
    targets: GrayFailureTargets,
) -> None:
    targets.gray_behavior = "fail"
    before = sum(targets.request_counts())
    statuses = [
        status_of(targets.send_request("/orders/x", method="POST"))
        for _ in range(6)
    ]
    assert 500 in statuses
    assert sum(targets.request_counts()) - before == 6


def test_a_failure_of_all_targets_is_forwarded(
    harness: EntryVmHarness,
) -> None:
    def fail(request: ReceivedRequest) -> None:
        request.respond(500, b"failed")

    targets = [harness.add_target(f"fails-{n}", fail) for n in range(3)]
    harness.start()
    assert status_of(harness.send_request("/maps/x")) == 500
    assert sum(_request_count(target) for target in targets) == 2
