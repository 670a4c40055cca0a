"""A VM that is suspended for seconds and goes on."""

from __future__ import annotations

import time
from typing import Any

import pytest
from twisted.internet.defer import maybeDeferred
from twisted.internet.task import Clock

from lycheestall.entry.boot_clock import BootClockReactor
from lycheestall.entry.entry_process import EntryProcess
from lycheestall.entry.outage import OutageMode
from lycheestall.entry.peer_messages import AskTokens, TokenAnswer
from lycheestall.ids import ProgramId
from lycheestall.log_output import BoundedOutput
from lycheestall.platform.adapter import platform_adapter
from tests.entry.entry_vm_harness import settings
from tests.entry.outage_simulation import OutageSimulation, OutageVm


class SuspendedClock(Clock):  # type: ignore[misc]
    """A clock whose VM can be suspended: its boot clock runs on."""

    suspended_s = 0.0

    def boot_seconds(self) -> float:
        """Returns the time including suspensions."""
        return float(super().seconds()) + self.suspended_s


class SuspendableSimulation(OutageSimulation):
    """VMs whose clocks are wrapped as the process wraps its reactor's."""

    def __init__(self) -> None:
        self.inner = SuspendedClock()
        super().__init__()

    @property
    def clock(self) -> Any:
        """The clock of the VMs."""
        return BootClockReactor(self.inner, read_clock=self.inner.boot_seconds)

    @clock.setter
    def clock(self, value: Any) -> None:
        """Ignores the plain clock of the simulation."""


def ask(vm: OutageVm, program: str) -> TokenAnswer:
    message = AskTokens(
        vm.service._holder,
        vm.service.outage.view_digest,
        ProgramId(program),
        1,
        10,
        1000,
        0,
    )
    replied = maybeDeferred(vm.service.handle_message, message)
    answers: list[Any] = []
    replied.addCallback(answers.append)
    (answer,) = answers
    assert isinstance(answer, TokenAnswer)
    return answer


def test_an_agreement_does_not_outlast_a_suspension() -> None:
    simulation = SuspendableSimulation()
    simulation.fail_store()
    simulation.advance(2.0)
    vm = simulation.vms[0]
    assert vm.service.mode is OutageMode.DECIDERS
    program = next(
        f"p{n}"
        for n in range(100)
        if vm.service.outage.decider(
            ProgramId(f"p{n}"), simulation.clock.seconds()
        )
        == vm.service._holder
    )
    assert ask(vm, program).granted
    simulation.inner.suspended_s += 5.0
    assert vm.service.mode is OutageMode.ALONE
    assert not ask(vm, program).granted


def test_time_goes_on_in_a_suspension(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = Clock()
    reactor = BootClockReactor(clock)
    started = reactor.seconds()
    real = time.clock_gettime
    monkeypatch.setattr(time, "clock_gettime", lambda kind: real(kind) + 7.0)
    assert reactor.seconds() - started >= 7.0
    assert clock.seconds() == 0.0


def test_timers_run_by_the_reactors_clock() -> None:
    clock = Clock()
    fired: list[bool] = []
    BootClockReactor(clock).callLater(1.0, fired.append, True)
    clock.advance(1.0)
    assert fired == [True]


def test_the_process_measures_time_since_boot() -> None:
    output = BoundedOutput(1)
    reactor: Any = Clock()
    process = EntryProcess(
        settings(), platform_adapter(), reactor, output, list
    )
    assert isinstance(process._reactor, BootClockReactor)
    assert process._vm._reactor is process._reactor
