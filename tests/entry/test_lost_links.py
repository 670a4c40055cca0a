"""VMs that have lost their links to targets, while others reach them."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import ReceivedRequest, RecordingCaller
from tests.entry.fleet import Fleet

VMS = 6
ZONES = 3
APPLICATIONS = 6
ENGINES = 4
LAST_EVENT = 8
WORK_S = 0.05
EVENT_GAP_S = 0.02
REQUESTS_PER_S = 60

SETTLE_S = 3.0
"""Seconds after which VMs without links must serve about as well as others."""

MIN_RELATIVE_SHARE = 2 / 3
"""Least share served by VMs without links, relative to the others' share."""

TOLERATED_FAILURES = 10
TOLERATED_FAILURE_SHARE = 1 / 50

PATHS = ("/maps/", "/orders/", "/plan/")


class Targets:
    """Applications and engines that work for a while on each request.

    Args:
        fleet: The VMs that send to them.

    Attributes:
        runs_by_request: How often each request was run.
        pause_s: Seconds by which the work of applications takes longer.
        event_gap_s: Seconds between two events of a stream.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._reactor = fleet.reactor
        self.runs_by_request: dict[str, int] = {}
        self.pause_s = 0.0
        self.event_gap_s = EVENT_GAP_S
        for number in range(APPLICATIONS):
            fleet.add_target(f"app-{number}", self._work)
        for number in range(ENGINES):
            fleet.add_target(
                f"engine-{number}", self._stream, service="engines"
            )

    def orders_run_twice(self) -> set[str]:
        """Returns the orders that were run more than once."""
        return {
            name
            for name, runs in self.runs_by_request.items()
            if runs > 1 and is_order(name)
        }

    def _note(self, request: ReceivedRequest) -> None:
        name = request.headers[b"x-request-id"].decode()
        self.runs_by_request[name] = self.runs_by_request.get(name, 0) + 1

    def _work(self, request: ReceivedRequest) -> None:
        self._note(request)
        self._reactor.callLater(
            self.pause_s + WORK_S, request.respond, 200, b"whole"
        )

    def _stream(self, request: ReceivedRequest) -> None:
        self._note(request)
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        request.start_stream()
        for number in range(first, LAST_EVENT + 1):
            delay_s = self.event_gap_s * (number - first + 1)
            self._reactor.callLater(delay_s, request.send_event, number)
        end_s = self.event_gap_s * (LAST_EVENT - first + 2)
        self._reactor.callLater(end_s, request.end_stream)


class Callers:
    """Sends requests of all kinds to all VMs at a steady rate.

    Args:
        fleet: The VMs.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._sent = 0
        self.callers_by_vm: dict[int, list[RecordingCaller]] = {}
        self.by_request: dict[str, RecordingCaller] = {}

    def send_for(self, seconds: float) -> None:
        """Sends requests for some time."""
        for _ in range(round(seconds * REQUESTS_PER_S)):
            # Each VM gets requests of each kind.
            vm = self._sent % VMS
            path = PATHS[self._sent // VMS % len(PATHS)]
            caller = self._fleet.send(
                f"{path}{self._sent}",
                vm=vm,
                headers=f"X-Session-Id: s{self._sent}\r\n",
                request_id=f"q{self._sent}",
            )
            self.callers_by_vm.setdefault(vm, []).append(caller)
            self.by_request[f"q{self._sent}"] = caller
            self._sent += 1
            self._fleet.reactor.run(1 / REQUESTS_PER_S)

    def forget(self) -> None:
        """Forgets the callers so far."""
        self.callers_by_vm.clear()
        self.by_request.clear()

    def served(self, vms: Iterable[int]) -> tuple[int, int]:
        """Returns how many callers of some VMs were served, of how many."""
        callers = [c for vm in vms for c in self.callers_by_vm.get(vm, ())]
        return sum(is_whole(caller) for caller in callers), len(callers)


def is_order(name: str) -> bool:
    """Returns whether the callers sent an order under a request ID."""
    return PATHS[int(name[1:]) // VMS % len(PATHS)] == "/orders/"


def is_whole(caller: RecordingCaller) -> bool:
    """Returns whether a caller has received a complete answer."""
    data = caller.data
    if status_of(data) != 200:
        return False
    if b"text/event-stream" not in data:
        return data.endswith(b"whole")
    lines = data.split(b"\n")
    events = [int(line[4:]) for line in lines if line[:4] == b"id: "]
    return events == list(range(1, LAST_EVENT + 1)) and data.endswith(
        b"0\r\n\r\n"
    )


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS, zones=ZONES)


@pytest.fixture
def targets(fleet: Fleet) -> Targets:
    """The targets of the VMs."""
    return Targets(fleet)


@pytest.fixture
def callers(fleet: Fleet, targets: Targets) -> Callers:
    """Callers of the VMs, which have all served some requests."""
    fleet.start()
    callers = Callers(fleet)
    callers.send_for(2.0)
    fleet.reactor.run(1.0)
    callers.forget()
    return callers


# Guards against VMs without links to the targets serving their callers far
# worse than VMs that reach them.
@pytest.mark.parametrize("fault", list(LinkFault))
@pytest.mark.parametrize("cut", [range(4), range(5), range(1)])
def test_vms_without_links_serve_about_as_well_as_others(
    fleet: Fleet, callers: Callers, fault: LinkFault, cut: range
) -> None:
    for vm in cut:
        fleet.link_by_vm[vm].cut(fault)
    callers.send_for(SETTLE_S)
    callers.forget()
    callers.send_for(6.0)
    fleet.reactor.run(1.5)
    served, sent = callers.served(cut)
    others_served, others_sent = callers.served(set(range(VMS)) - set(cut))
    share, others_share = served / sent, others_served / others_sent
    assert share >= MIN_RELATIVE_SHARE * others_share
    failures = sent - served
    tolerated = TOLERATED_FAILURE_SHARE * (sent + others_sent)
    assert failures <= TOLERATED_FAILURES + tolerated


# Guards against taking targets for down because the VMs of a zone, which
# have all lost their links, agree that they are not reached.
@pytest.mark.parametrize("fault", [LinkFault.RESET, LinkFault.REFUSED])
def test_no_target_is_taken_for_down_where_a_zone_has_lost_its_links(
    fleet: Fleet, callers: Callers, fault: LinkFault
) -> None:
    zone = range(0, VMS, ZONES)
    for vm in zone:
        fleet.link_by_vm[vm].cut(fault)
    callers.send_for(8.0)
    fleet.reactor.run(1.5)
    for vm in zone:
        assert b'outcome="NotSent"' not in fleet.vms[vm].metrics.render()


# Guards against VMs that keep a target that has crashed for one behind a lost
# link, or the other way round.
def test_a_target_that_has_crashed_is_left_out_and_used_again(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    address = ("10.1.0.1", 80)
    crashed = fleet.reactor.target_by_address.pop(address)
    for connection in crashed.connections:
        connection.transport.abortConnection()
    callers.send_for(1.0)
    callers.forget()
    callers.send_for(3.0)
    fleet.reactor.run(1.0)
    assert callers.served(range(VMS)) == (180, 180)
    fleet.reactor.target_by_address[address] = crashed
    before = len(crashed.requests)
    callers.send_for(8.0)
    assert len(crashed.requests) > before


# Guards against orders that run twice because the VM that sent them lost its
# link to the target on the way.
@pytest.mark.parametrize("fault", list(LinkFault))
def test_orders_run_once_when_links_are_lost_on_the_way(
    fleet: Fleet, targets: Targets, callers: Callers, fault: LinkFault
) -> None:
    for _ in range(3):
        for vm in range(4):
            fleet.link_by_vm[vm].cut(fault)
        callers.send_for(2.0)
        for vm in range(4):
            fleet.link_by_vm[vm].heal()
        callers.send_for(1.0)
    fleet.reactor.run(3.0)
    assert not targets.orders_run_twice()


# Guards against orders that run twice, or refusals that are not true, because
# the peer that carries them is lost before, while or after it sends them.
def test_orders_run_once_when_carrying_peers_are_killed(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    for vm in range(4):
        fleet.link_by_vm[vm].cut(LinkFault.RESET)
    for number in range(8):
        callers.send_for(0.7)
        fleet.restart(4 + number % 2)
    fleet.reactor.run(3.0)
    assert not targets.orders_run_twice()
    for name, caller in callers.by_request.items():
        if status_of(caller.data) == 503:
            assert name not in targets.runs_by_request


# Guards against serving badly where only the links to some targets are lost.
@pytest.mark.parametrize("fault", list(LinkFault))
def test_links_to_some_targets_may_be_lost(
    fleet: Fleet, callers: Callers, fault: LinkFault
) -> None:
    for vm in range(4):
        hosts = [f"10.1.0.{n}" for n in (1, 2, 3, 7, 8)]
        fleet.link_by_vm[vm].cut(fault, hosts=hosts)
    callers.send_for(SETTLE_S)
    callers.forget()
    callers.send_for(3.0)
    fleet.reactor.run(1.5)
    served, sent = callers.served(range(VMS))
    assert sent - served <= TOLERATED_FAILURE_SHARE * sent


# Guards against blaming a request for the reset of its VM's links, after
# which every VM refuses it as one that crashes targets.
def test_no_request_is_blamed_for_links_that_are_reset(
    fleet: Fleet, callers: Callers
) -> None:
    for _ in range(4):
        for vm in range(4):
            fleet.send("/maps/same", vm=vm)
        fleet.reactor.run(0.02)
        for vm in range(4):
            fleet.link_by_vm[vm].cut(LinkFault.RESET)
        fleet.reactor.run(0.5)
        for vm in range(4):
            fleet.link_by_vm[vm].heal()
        callers.send_for(1.5)
    answer = fleet.send("/maps/same", vm=5)
    fleet.reactor.run(1.0)
    assert is_whole(answer)


# Guards against a VM that starts without links and never finds out.
def test_a_vm_that_restarts_inside_the_cut_serves_through_peers(
    fleet: Fleet, callers: Callers
) -> None:
    fleet.restart(0)
    fleet.link_by_vm[0].cut(LinkFault.SILENT)
    callers.send_for(SETTLE_S)
    callers.forget()
    callers.send_for(3.0)
    fleet.reactor.run(1.5)
    served, sent = callers.served([0])
    assert served >= sent - 2


# Guards against streams that stall because the peer that carries them loses
# its own link on the way.
def test_a_stream_goes_on_when_the_carrying_peer_loses_its_link(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    for vm in range(4):
        fleet.link_by_vm[vm].cut(LinkFault.SILENT)
    callers.send_for(SETTLE_S)
    targets.event_gap_s = 0.15
    answers = [
        fleet.send(f"/plan/{n}", vm=n % 4, headers=f"X-Session-Id: s{n}\r\n")
        for n in range(12)
    ]
    fleet.reactor.run(0.4)
    fleet.link_by_vm[4].cut(LinkFault.SILENT)
    targets.event_gap_s = EVENT_GAP_S
    callers.send_for(2.5)
    assert all(is_whole(answer) for answer in answers)


# Guards against keeping callers waiting where no VM reaches any target.
def test_requests_are_refused_at_once_where_no_vm_reaches_targets(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    for vm in range(VMS):
        fleet.link_by_vm[vm].cut(LinkFault.SILENT)
    callers.send_for(SETTLE_S)
    runs = dict(targets.runs_by_request)
    callers.forget()
    callers.send_for(1.0)
    fleet.reactor.run(0.1)
    for caller in callers.by_request.values():
        assert status_of(caller.data) == 503
        assert b"Retry-After: 0.60" in caller.data
    assert targets.runs_by_request == runs
    assert not any(vm.vm.ready for vm in fleet.vms)
    for vm in range(VMS):
        fleet.link_by_vm[vm].heal()
    fleet.reactor.run(1.5)
    assert all(vm.vm.ready for vm in fleet.vms)
    callers.forget()
    callers.send_for(2.0)
    fleet.reactor.run(1.0)
    assert callers.served(range(VMS)) == (120, 120)


# Guards against taking targets that pause for a second for unreachable.
def test_targets_that_pause_for_a_second_run_nothing_twice(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    targets.pause_s = 1.0
    callers.send_for(0.5)
    targets.pause_s = 0.0
    callers.send_for(2.0)
    fleet.reactor.run(2.0)
    assert callers.served(range(VMS)) == (150, 150)
    assert not targets.orders_run_twice()


# Guards against VMs that go on through peers after their links are back, or
# that all open connections at once then.
def test_links_that_are_back_are_used_again(
    fleet: Fleet, targets: Targets, callers: Callers
) -> None:
    for vm in range(4):
        fleet.link_by_vm[vm].cut(LinkFault.SILENT)
    callers.send_for(SETTLE_S)
    for vm in range(4):
        fleet.link_by_vm[vm].heal()
    fleet.reactor.run(0.01)
    callers.send_for(3.0)
    relayed = sum(relayed_attempts(fleet, vm) for vm in range(4))
    assert relayed > 0
    callers.send_for(2.0)
    assert sum(relayed_attempts(fleet, vm) for vm in range(4)) == relayed


def relayed_attempts(fleet: Fleet, vm: int) -> int:
    """Returns how many attempts a VM has asked peers to send."""
    for line in fleet.vms[vm].metrics.render().splitlines():
        if line.startswith(b"lycheestall_relayed_attempts_total"):
            return int(float(line.split()[-1]))
    return 0
