"""Requests that crash targets are stopped, and no others."""

from __future__ import annotations

import pytest

from lycheestall.entry.crashes.crash_reports import (
    EVIDENCE_KEPT_S,
    MAX_CRASHES,
    CrashReports,
)
from lycheestall.entry.target_table import TargetProcess
from lycheestall.ids import TargetId
from tests.entry.crashing_targets import CrashingTargets
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import ReceivedRequest
from tests.entry.fleet import Fleet

VMS = 3
TARGETS = 9
ROUNDS = 8
ROUND_S = 2.5
BACK_S = 2.5
"""Seconds after which a target that has crashed is back in use."""

MAX_LATE = 3
"""Retries that may reach targets late."""

STABLE_S = 3.0
"""Seconds after the third crash from which on retries are late."""


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


def add_targets(
    fleet: Fleet, *, down_s: float = 2.0, count: int = TARGETS
) -> CrashingTargets:
    """Adds targets that crash when they run a path with ``bad`` in it."""
    targets = CrashingTargets(fleet, down_s=down_s)

    def respond(name: str, request: ReceivedRequest) -> None:
        if b"bad" in request.url:
            fleet.reactor.callLater(0.01, targets.crash, name)
        else:
            request.respond(200, b"whole")

    for number in range(count):
        targets.add(f"app-{number}", respond)
    return targets


def ask(fleet: Fleet, path: str, *, vm: int, run_s: float = 0.5) -> int:
    """Sends a request to a VM; returns the status of the response."""
    caller = fleet.send(path, vm=vm)
    fleet.reactor.run(run_s)
    return status_of(caller.data)


# Guards against a request that crashes targets again and again, at any VM; if
# a target accepts connections again at once, only its new process tells.
@pytest.mark.parametrize("down_s", [2.0, 0.0])
@pytest.mark.parametrize("path", ["/orders/bad", "/maps/bad"])
def test_a_request_that_crashes_targets_is_stopped(
    fleet: Fleet, path: str, down_s: float
) -> None:
    targets = add_targets(fleet, down_s=down_s)
    fleet.start()
    for number in range(ROUNDS):
        ask(fleet, path, vm=number % VMS, run_s=ROUND_S)
    late = targets.count_late(path, crashes=MAX_CRASHES, stable_s=STABLE_S)
    assert late <= MAX_LATE
    assert ask(fleet, path, vm=0) == 503
    assert ask(fleet, "/maps/sound", vm=0) == 200


# Guards against requests that excuse each other since they crash their targets
# at the same moment.
@pytest.mark.parametrize("requests", [2, 3])
def test_requests_that_crash_targets_together_are_stopped(
    fleet: Fleet, requests: int
) -> None:
    targets = add_targets(fleet)
    fleet.start()
    paths = [f"/orders/bad{number}" for number in range(requests)]
    for number in range(ROUNDS):
        for path in paths:
            fleet.send(path, vm=number % VMS)
        fleet.reactor.run(ROUND_S)
    for path in paths:
        late = targets.count_late(path, crashes=MAX_CRASHES, stable_s=STABLE_S)
        assert late <= MAX_LATE
        assert ask(fleet, path, vm=0) == 503


# Guards against a fourth target for a request that has just crashed three.
def test_a_request_is_blocked_after_three_crashes(fleet: Fleet) -> None:
    targets = add_targets(fleet)
    fleet.start()
    for _ in range(6):
        ask(fleet, "/orders/bad", vm=0, run_s=0.1)
    assert targets.count("/orders/bad") == MAX_CRASHES
    assert ask(fleet, "/orders/bad", vm=0) == 503


# Guards against refusing a sound request for good after targets have lost some
# of its responses, also once all VMs have started again.
@pytest.mark.parametrize("path", ["/maps/hot", "/orders/hot"])
def test_lost_answers_stop_no_request(fleet: Fleet, path: str) -> None:
    targets = CrashingTargets(fleet)

    def respond(name: str, request: ReceivedRequest) -> None:
        if len(targets.received) % 4 == 0:
            request.reset()
        else:
            request.respond(200, b"whole")

    targets.add("losing", respond)
    targets.add("sound", respond)
    fleet.start()
    for number in range(60):
        ask(fleet, path, vm=number % VMS, run_s=0.2)
    for vm in range(VMS):
        fleet.restart(vm)
    fleet.reactor.run(3.0)
    targets.received.clear()
    statuses = [ask(fleet, path, vm=n % VMS, run_s=0.2) for n in range(3)]
    assert statuses == [200, 200, 200]


# Guards against a crash that counts once for each caller whose request for the
# same object was running there, and for each VM that has sent one.
def test_one_crash_counts_once_for_all_repeats_of_a_request(
    fleet: Fleet,
) -> None:
    targets = CrashingTargets(fleet, down_s=2.0)
    held: list[ReceivedRequest] = []
    targets.add("only", lambda name, request: held.append(request))
    fleet.start()
    for number in range(6):
        fleet.send("/orders/hot", vm=number % VMS)
    fleet.reactor.run(0.3)
    assert len(held) == 6
    targets.crash("only")
    fleet.reactor.run(BACK_S + 2.0)
    for vm in range(VMS):
        fleet.send("/orders/hot", vm=vm)
    fleet.reactor.run(0.3)
    assert len(held) == 6 + VMS


# Guards against evidence against a request that outlives its success at
# another VM, or the VM that has found it.
@pytest.mark.parametrize("restarted", [False, True])
def test_an_answer_withdraws_what_speaks_against_a_request(
    fleet: Fleet, restarted: bool
) -> None:
    targets = CrashingTargets(fleet, down_s=1.0)
    crashes_left = [MAX_CRASHES - 1]

    def respond(name: str, request: ReceivedRequest) -> None:
        if crashes_left[0]:
            crashes_left[0] -= 1
            fleet.reactor.callLater(0.01, targets.crash, name)
        else:
            request.respond(200, b"whole")

    targets.add("one", respond)
    targets.add("other", respond)
    fleet.start()
    for _ in range(MAX_CRASHES - 1):
        ask(fleet, "/orders/hot", vm=0, run_s=ROUND_S)
    assert ask(fleet, "/orders/hot", vm=1, run_s=ROUND_S) == 200
    if restarted:
        fleet.restart(2)
        fleet.reactor.run(3.0)
    crashes_left[0] = MAX_CRASHES - 1
    for _ in range(MAX_CRASHES - 1):
        ask(fleet, "/orders/hot", vm=0, run_s=ROUND_S)
    assert ask(fleet, "/orders/hot", vm=2, run_s=ROUND_S) == 200


# Guards against blaming requests for the loss of a VM's links to targets.
@pytest.mark.parametrize("fault", LinkFault)
def test_lost_links_stop_no_request(fleet: Fleet, fault: LinkFault) -> None:
    targets = CrashingTargets(fleet)
    held: list[ReceivedRequest] = []
    for number in range(4):
        targets.add(
            f"app-{number}", lambda name, request: held.append(request)
        )
    fleet.start()
    for _ in range(MAX_CRASHES + 1):
        for _ in range(4):
            fleet.send("/orders/hot", vm=0)
        fleet.reactor.run(0.2)
        fleet.link_by_vm[0].cut(fault)
        fleet.reactor.run(1.0)
        fleet.link_by_vm[0].heal()
        fleet.reactor.run(3.0)
    received = len(held)
    fleet.send("/orders/hot", vm=1)
    fleet.reactor.run(0.3)
    assert len(held) == received + 1


# Guards against a request that is refused for good after crashes that met it
# by chance, and against as many crashes again once they are forgotten.
def test_crashes_are_forgotten_one_at_a_time(fleet: Fleet) -> None:
    clock = fleet.reactor
    reports = CrashReports(clock)
    for number in range(MAX_CRASHES):
        process = TargetProcess(TargetId(f"t-{number}"), 1)
        reports.record_crash("request", process)
    assert reports.is_blocked("request")
    clock.advance(EVIDENCE_KEPT_S)
    assert not reports.is_blocked("request")
    reports.record_crash("request", TargetProcess(TargetId("t-0"), 2))
    assert reports.is_blocked("request")
    clock.advance(EVIDENCE_KEPT_S / 2)
    assert reports.is_blocked("request")
