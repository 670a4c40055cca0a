"""Requests of all VMs together to targets that name a limit."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_network import ReceivedRequest, RecordingCaller
from tests.entry.fleet import Fleet

VMS = 6
WINDOW_S = 4.0
EXCESS = 1.5
"""Factor over its limit that a target tolerates within a window."""
EXTRA_REQUESTS = 5
"""Requests beyond that which it tolerates within a window."""


class LimitedTarget:
    """Serves all requests and names a limit while it has one.

    Args:
        fleet: Tells the time.
        name: Its name.
        rate_per_s: Its limit; None for no limit.
    """

    def __init__(
        self, fleet: Fleet, name: str, rate_per_s: float | None
    ) -> None:
        self._reactor = fleet.reactor
        self.rate_per_s = rate_per_s
        self.received_at: list[float] = []
        fleet.add_target(name, self.respond)

    def respond(self, request: ReceivedRequest) -> None:
        """Serves a request after 20 ms."""
        self.received_at.append(self._reactor.seconds())
        self._reactor.callLater(0.02, self._respond, request)

    def most_in_window(self, since: float) -> int:
        """Returns the most requests in any window that starts later."""
        return most_in_window(
            [at for at in self.received_at if at >= since], WINDOW_S
        )

    def allowed(self) -> float:
        """Returns the requests that the target tolerates in a window."""
        assert self.rate_per_s is not None
        return EXCESS * WINDOW_S * self.rate_per_s + EXTRA_REQUESTS

    def _respond(self, request: ReceivedRequest) -> None:
        headers = ()
        if self.rate_per_s is not None:
            headers = ((b"Server-Limit", b"%.1f" % self.rate_per_s),)
        request.respond(200, b"whole", headers=headers)


def most_in_window(times: Sequence[float], window_s: float) -> int:
    """Returns the most of the sorted times that lie within a window."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def send_for(
    fleet: Fleet, seconds: float, *, per_s: int
) -> list[RecordingCaller]:
    """Sends requests to all VMs in turn at a steady rate.

    Returns:
        The callers, which record what they receive.
    """
    callers: list[RecordingCaller] = []
    for number in range(round(seconds * per_s)):
        callers.append(fleet.send(f"/orders/{number}"))
        fleet.reactor.run(1.0 / per_s)
    return callers


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


# Guards against a back end getting far more requests from all VMs together
# than the limit that it names, while each VM alone stays below that limit.
def test_all_vms_together_keep_to_the_limit_that_a_target_names(
    fleet: Fleet,
) -> None:
    target = LimitedTarget(fleet, "limited", 5.0)
    LimitedTarget(fleet, "free", None)
    fleet.start()
    started_at = fleet.reactor.seconds()
    send_for(fleet, 8.0, per_s=40)
    assert target.most_in_window(started_at + 2.0) <= target.allowed()


def test_the_rest_goes_to_targets_without_a_limit(fleet: Fleet) -> None:
    limited = LimitedTarget(fleet, "limited", 5.0)
    free = LimitedTarget(fleet, "free", None)
    fleet.start()
    answers = send_for(fleet, 6.0, per_s=40)
    fleet.reactor.run(0.5)
    assert statuses(answers) == {200}
    assert len(limited.received_at) >= 4.0 * 5.0
    assert len(limited.received_at) + len(free.received_at) == len(answers)


def test_a_limit_that_has_ended_holds_nobody_back(fleet: Fleet) -> None:
    target = LimitedTarget(fleet, "only", 5.0)
    fleet.start()
    send_for(fleet, 3.0, per_s=5)
    target.rate_per_s = None
    send_for(fleet, 2.0, per_s=5)
    answers = send_for(fleet, 2.0, per_s=40)
    fleet.reactor.run(0.5)
    assert statuses(answers) == {200}


def test_a_restart_of_the_deciding_vm_lifts_no_limit(fleet: Fleet) -> None:
    target = LimitedTarget(fleet, "limited", 5.0)
    LimitedTarget(fleet, "free", None)
    fleet.start()
    started_at = fleet.reactor.seconds()
    send_for(fleet, 4.0, per_s=40)
    for number in range(VMS):
        fleet.restart(number)
        send_for(fleet, 1.5, per_s=40)
    # A VM that has just started knows no limit until the first response.
    allowed = target.allowed() + VMS
    assert target.most_in_window(started_at + 2.0) <= allowed


@pytest.mark.parametrize("silent", range(VMS))
def test_a_vm_that_can_ask_nobody_uses_little_of_the_limit(
    fleet: Fleet, silent: int
) -> None:
    target = LimitedTarget(fleet, "limited", 5.0)
    LimitedTarget(fleet, "free", None)
    fleet.start()
    started_at = fleet.reactor.seconds()
    send_for(fleet, 2.0, per_s=40)
    fleet.cut_peers(silent)
    send_for(fleet, 6.0, per_s=40)
    assert target.most_in_window(started_at + 2.0) <= target.allowed()


def test_what_no_target_takes_is_refused_at_once_as_not_run(
    fleet: Fleet,
) -> None:
    target = LimitedTarget(fleet, "only", 5.0)
    fleet.start()
    started_at = fleet.reactor.seconds()
    answers = send_for(fleet, 6.0, per_s=40)
    fleet.reactor.run(1.0)
    assert statuses(answers) == {200, 503}
    served = sum(status_of(answer.data) == 200 for answer in answers)
    assert served == len(target.received_at)
    assert target.most_in_window(started_at + 2.0) <= target.allowed()
    for answer in answers:
        if status_of(answer.data) == 503:
            assert retry_after_s(answer.data) >= 0.1


def test_a_refused_caller_is_served_when_it_comes_back(fleet: Fleet) -> None:
    LimitedTarget(fleet, "only", 2.0)
    fleet.start()
    answers = [fleet.send("/orders/x") for _ in range(12)]
    fleet.reactor.run(1.0)
    answers = [fleet.send("/orders/x") for _ in range(12)]
    fleet.reactor.run(1.0)
    refused = [a for a in answers if status_of(a.data) == 503]
    assert refused
    fleet.reactor.run(retry_after_s(refused[0].data))
    again = fleet.send("/orders/x")
    fleet.reactor.run(1.0)
    assert status_of(again.data) == 200


# Guards against a VM that was suspended while a request waited and sends it
# on a permit that has run out meanwhile.
def test_a_permit_that_ran_out_in_a_suspension_is_not_used(
    fleet: Fleet,
) -> None:
    target = LimitedTarget(fleet, "only", 5.0)
    fleet.start()
    send_for(fleet, 2.0, per_s=5)
    waiting = [fleet.send("/orders/x") for _ in range(8)]
    fleet.reactor.run(0.05)
    granted_before = permits_granted(fleet)
    fleet.reactor.advance(1.2)
    resumed_at = fleet.reactor.seconds()
    fleet.reactor.run(1.5)
    after = [at for at in target.received_at if at >= resumed_at]
    assert after
    assert permits_granted(fleet) - granted_before >= len(after)
    assert statuses(waiting) == {200, 503}


def permits_granted(fleet: Fleet) -> int:
    """Returns the number of permits that all VMs have got."""
    granted = 0.0
    for harness in fleet.vms:
        for line in harness.metrics.render().decode().splitlines():
            if "permits_total{" in line and 'granted="true"' in line:
                granted += float(line.rsplit(" ", 1)[1])
    return int(granted)


def statuses(answers: Sequence[RecordingCaller]) -> set[int]:
    """Returns the statuses that callers got; 0 stands for none."""
    return {status_of(answer.data) for answer in answers}


def retry_after_s(data: bytes) -> float:
    """Returns the retry delay of a refusal."""
    line = data.partition(b"Retry-After: ")[2].partition(b"\r\n")[0]
    return float(line)


# Guards against requests that may run once being sent, and lost, at a target
# that fails them all while the sound ones are at their limits.
def test_a_failing_target_gets_no_more_because_others_are_at_their_limits(
    fleet: Fleet,
) -> None:
    LimitedTarget(fleet, "limited", 2.0)
    failing = fleet.add_target("failing", lambda request: request.reset())
    fleet.start()
    send_for(fleet, 3.0, per_s=40)
    failed_before = len(failing.requests)
    answers = send_for(fleet, 3.0, per_s=40)
    fleet.reactor.run(1.0)
    assert len(failing.requests) - failed_before <= VMS
    assert sum(status_of(answer.data) == 502 for answer in answers) <= VMS
