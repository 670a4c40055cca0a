"""Reports of load and speed between VMs.

They guard against messages that grow with the number of VMs, against VMs of
earlier builds that don't know the message, and against lost collectors.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from twisted.internet.defer import Deferred, ensureDeferred, succeed
from twisted.internet.task import Clock

from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import PeerReply, decode, encode
from lycheestall.entry.placement.figure_messages import (
    MAX_ROWS,
    ONE_VM,
    ShareFigures,
)
from lycheestall.entry.placement.figures_reporter import (
    GROUPS_PER_REPORT,
    FiguresReporter,
)
from lycheestall.entry.placement.speed_estimates import SpeedKey, SpeedSums
from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.placement.work import WorkKind
from lycheestall.entry.store import KeyedRecord
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, TargetId, ZoneId
from tests.entry.choosers import new_table

T0 = TargetId("t0")


@dataclass
class Fleet:
    """VMs that report to each other; ``silent`` ones don't reply."""

    vms: int
    targets: int = 22
    enabled: bool = True
    silent: set[int] = field(default_factory=set)
    sent: list[int] = field(default_factory=list)
    largest: int = 0

    def __post_init__(self) -> None:
        self.clock = Clock()
        self.members = Members()
        for number in range(self.vms):
            address = Address(f"10.0.{number // 250}.1", number)
            member = Member(HolderId(f"vm-{number}"), address, ZoneId("z"))
            write = join_record(member)
            record = KeyedRecord(Offset(number), write.key, write.value)
            assert self.members.apply(record)
        table = new_table(self.targets)
        self.choosers = [TargetChooser(table) for _ in range(self.vms)]
        self.reporters = [
            FiguresReporter(
                holder=HolderId(f"vm-{number}"),
                members=self.members,
                peers=self,  # type: ignore[arg-type]
                chooser=chooser,
                enabled=lambda: self.enabled,
                clock=self.clock,
            )
            for number, chooser in enumerate(self.choosers)
        ]

    def call(
        self, address: Address, message: Any, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Carries a message; a VM that doesn't know it gives no reply."""
        self.sent.append(address.port)
        if address.port in self.silent:
            return succeed(None)
        data = encode(message)
        decoded = decode(data)
        assert isinstance(decoded, ShareFigures)
        reply = encode(self.reporters[address.port].receive_report(decoded))
        self.largest = max(self.largest, len(data), len(reply))
        received = decode(reply)
        assert isinstance(received, ShareFigures)
        return succeed(received)

    def report(self, rounds: int = 1) -> None:
        """Has all VMs report, several times."""
        for _ in range(rounds):
            for reporter in self.reporters:
                ensureDeferred(reporter.send_report())
            self.clock.advance(0.4)

    def load_at(self, vm: int) -> float:
        """Returns what a VM believes to run at the first target."""
        chooser = self.choosers[vm]
        return chooser.loads.estimate(
            T0,
            self.clock.seconds(),
            mean=chooser.loads.mean_reported([T0]),
        )


def test_73_vms_learn_the_load_of_all() -> None:
    fleet = Fleet(73)
    for chooser in fleet.choosers[:10]:
        chooser.loads.request_started(T0)
    # Idle VMs report, and hear of the load, every 10 s.
    fleet.report(27)
    for vm in (0, 5, 40, 72):
        assert fleet.load_at(vm) == pytest.approx(10.0, abs=0.5)


def test_loads_are_scaled_to_the_vms_that_were_not_heard() -> None:
    fleet = Fleet(73)
    for chooser in fleet.choosers:
        chooser.loads.request_started(T0)
    ensureDeferred(fleet.reporters[0].send_report())
    assert fleet.load_at(0) == 1.0
    fleet.report()
    assert fleet.load_at(72) == pytest.approx(73.0, abs=1.0)


@pytest.mark.parametrize("vms", [10, 73, 1700])
def test_a_vm_sends_a_few_messages_a_second(vms: int) -> None:
    fleet = Fleet(vms, targets=300 if vms > 100 else 22)
    for number, chooser in enumerate(fleet.choosers):
        chooser.loads.request_started(TargetId(f"t{number % 300}"))
    fleet.report()
    groups = len(fleet.members.view().groups)
    assert len(fleet.sent) <= vms + groups * GROUPS_PER_REPORT
    assert fleet.largest < 40 * MAX_ROWS


def test_nothing_is_sent_without_accounts_and_little_without_load() -> None:
    idle = Fleet(73)
    idle.report(1)
    first = len(idle.sent)
    assert first <= 73 + 4 * GROUPS_PER_REPORT
    idle.report(20)
    assert len(idle.sent) <= first + 20 * 4 * GROUPS_PER_REPORT
    without_accounts = Fleet(73, enabled=False)
    without_accounts.choosers[0].loads.request_started(T0)
    without_accounts.report(2)
    assert without_accounts.sent == []


def test_the_next_vm_collects_for_one_that_does_not_know_the_message() -> None:
    fleet = Fleet(20)
    for chooser in fleet.choosers:
        chooser.loads.request_started(T0)
    fleet.report()
    collector = fleet.sent[0]
    fleet.silent = {collector}
    # The loads that the lost collector had are dropped first.
    fleet.clock.advance(5.0)
    fleet.report(3)
    others = [vm for vm in range(20) if vm != collector]
    assert fleet.load_at(others[0]) == pytest.approx(20.0, abs=2.0)
    asked = fleet.sent.count(collector)
    fleet.report(2)
    assert fleet.sent.count(collector) == asked


def test_observations_of_many_vms_add_up() -> None:
    fleet = Fleet(20)
    for chooser in fleet.choosers[1:]:
        chooser.speeds.record(T0, WorkKind.GENERATE, 0.08, 0.0)
    for _ in range(6):
        fleet.report()
        for chooser in fleet.choosers[1:]:
            now = fleet.clock.seconds()
            chooser.speeds.record(T0, WorkKind.GENERATE, 0.08, now)
        fleet.choosers[0].loads.request_started(T0)
    known = fleet.choosers[0].speeds.get(
        T0, WorkKind.GENERATE, fleet.clock.seconds()
    )
    assert known is not None
    assert known.weight > 1.5


def test_a_message_survives_encoding_and_further_fields() -> None:
    message = ShareFigures(
        HolderId("vm-1"),
        ONE_VM,
        1,
        0.25,
        {T0: 3},
        {SpeedKey(T0, WorkKind.READ): SpeedSums(-11.5, 132.25, 1.0)},
    )
    assert decode(encode(message)) == message
