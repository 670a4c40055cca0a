"""Many VMs that keep quotas, on a virtual clock and without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from lycheestall.clock import sleep
from lycheestall.entry.accounts import Account, AccountId
from lycheestall.entry.configuration import Configuration
from lycheestall.entry.limit_waits import STARTED_WAIT_S
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import decode, encode
from lycheestall.entry.quotas.account_ranking import (
    DECIDERS,
    AccountRanking,
)
from lycheestall.entry.quotas.quota_log import QuotaLog
from lycheestall.entry.quotas.quota_permit import QuotaDenied, QuotaPermit
from lycheestall.entry.quotas.quota_service import QuotaService
from lycheestall.entry.store import KeyedRecord, KeyedWrite
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address, QuotaSettings
from lycheestall.ids import Offset, ProgramId, ZoneId
from lycheestall.logs import get_logger
from lycheestall.metric_set import MetricSet

SETTINGS = QuotaSettings(window_s=5.0, overage=0.1, slack=20.0)

HOP_S = 0.002
"""Seconds that a message or its reply is on the way."""

STEP_S = 0.2
"""Seconds between two steps of each VM."""


class SimulatedTimer:
    """A call that is due at some time."""

    def __init__(
        self, call: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        self._call: Callable[..., Any] | None = call
        self._args = args

    def active(self) -> bool:
        """Returns whether the call is pending."""
        return self._call is not None

    def cancel(self) -> None:
        """Cancels the call."""
        self._call = None

    def run(self) -> None:
        """Calls unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call(*self._args)


class SimulatedClock:
    """A virtual clock for many thousands of timers."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, SimulatedTimer]] = []

    def seconds(self) -> float:
        """Returns the time."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, call: Callable[..., Any], *args: Any
    ) -> SimulatedTimer:
        """Schedules a call."""
        timer = SimulatedTimer(call, args)
        due = (self._now + delay, next(self._numbers), timer)
        heapq.heappush(self._due, due)
        return timer

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        end = self._now + seconds
        while self._due and self._due[0][0] <= end:
            at, _, timer = heapq.heappop(self._due)
            self._now = max(self._now, at)
            timer.run()
        self._now = end


class SimulatedVm:
    """A VM's quota service with its clock and its links."""

    def __init__(
        self, system: QuotaSystem, number: int, incarnation: int
    ) -> None:
        self.system = system
        self.address = Address(f"10.0.{number // 200}.{number % 200}", 4)
        self.holder = HolderId(f"vm-{number}.{incarnation}")
        self.killed = False
        self.resumes_at = 0.0
        self.clock_offset_s = 0.0
        self.configuration = system.configuration
        self.members = system.new_members()
        self.service = QuotaService(
            holder=self.holder,
            settings=SETTINGS,
            first_start=system.first_start,
            configuration=lambda: self.configuration,
            members=self.members,
            peers=self,  # type: ignore[arg-type]
            clock=self,
            logger=get_logger(),
            log=system.log,
        )
        self._step()

    def seconds(self) -> float:
        """Returns the time."""
        return self.system.clock.seconds() + self.clock_offset_s

    def call(
        self, address: Address, message: Any, *, timeout_s: float
    ) -> Deferred[Any]:
        """Calls another VM as ``PeerClient`` does."""
        clock = self.system.clock
        reply: Deferred[Any] = Deferred()
        timer = clock.callLater(timeout_s, reply.callback, None)

        def deliver(answer: Any) -> None:
            if timer.active():
                timer.cancel()
                reply.callback(decode(encode(answer)))

        self.system.messages += 1
        other = self.system.vm_by_address.get(address)
        if other is None or self.killed or self.system.is_cut(self, other):
            return reply
        data = decode(encode(message))
        clock.callLater(HOP_S, other.receive, data, deliver)
        return reply

    def receive(self, message: Any, deliver: Callable[[Any], None]) -> None:
        """Handles a message once the VM runs."""
        if self.killed:
            return
        clock = self.system.clock
        if clock.seconds() < self.resumes_at:
            delay_s = self.resumes_at - clock.seconds()
            clock.callLater(delay_s, self.receive, message, deliver)
            return
        answer = ensureDeferred(self.service.handle(message))
        answer.addCallback(
            lambda value: clock.callLater(HOP_S, deliver, value)
        )

    def _step(self) -> None:
        if self.killed:
            return
        if self.system.clock.seconds() >= self.resumes_at:
            ensureDeferred(self.service.step())
        self.system.clock.callLater(STEP_S, self._step)


class QuotaSystem:
    """VMs, accounts, and what the targets see of them.

    Args:
        vms: Number of VMs.
        accounts: The accounts in the configuration.
        skew_s: Longest time until a VM knows of a change of the members.
        first_start: Whether the settings call it the first start.

    Attributes:
        run_at_by_account: When targets ran requests of each account.
    """

    def __init__(
        self,
        *,
        vms: int,
        accounts: Iterable[Account],
        skew_s: float = 0.0,
        first_start: bool = False,
    ) -> None:
        self.clock = SimulatedClock()
        self.random = random.Random(vms)
        self._skew_s = skew_s
        self.first_start = first_start
        self._shared_members = Members()
        self._records: list[KeyedRecord] = []
        self.configuration = Configuration(1, (), {}, accounts=tuple(accounts))
        self.messages = 0
        self.cut: set[HolderId] = set()
        self.isolated = False
        self.vm_by_address: dict[Address, SimulatedVm] = {}
        self.vms: list[SimulatedVm] = []
        self.run_at_by_account: defaultdict[AccountId, list[float]]
        self.run_at_by_account = defaultdict(list)
        self.log = QuotaLog(MetricSet(vm="vm"), lambda *_, **__: None)
        self._offset = 0
        for _ in range(vms):
            self.add()

    def add(self) -> SimulatedVm:
        """Starts another VM."""
        vm = self._start(len(self.vms), 1)
        self.vms.append(vm)
        return vm

    def new_members(self) -> Members:
        """Returns the members as a VM that starts reads them."""
        if self._skew_s == 0:
            return self._shared_members
        members = Members()
        for record in self._records:
            members.apply(record)
        return members

    def kill(self, number: int) -> None:
        """Ends a VM's process."""
        self.vms[number].killed = True
        self.vm_by_address.pop(self.vms[number].address, None)

    def restart(self, number: int) -> None:
        """Replaces a VM's process by a new one at its address."""
        self.kill(number)
        self._offset += 1
        self.vms[number] = self._start(number, self._offset)

    def freeze(self, number: int, seconds: float) -> None:
        """Suspends a VM for some time."""
        self.vms[number].resumes_at = self.clock.seconds() + seconds

    def remove(self, number: int) -> None:
        """Removes a killed VM from the members."""
        write = join_record(self._member(self.vms[number]))
        self._apply(KeyedWrite(write.key, None))

    def is_cut(self, one: SimulatedVm, other: SimulatedVm) -> bool:
        """Returns whether two VMs don't reach each other."""
        if self.isolated:
            return True
        return (one.holder in self.cut) != (other.holder in self.cut)

    def decider(self, account: Account, rank: int = 0) -> int:
        """Returns the number of the VM that decides on an account."""
        ranking = AccountRanking(self._shared_members, size=DECIDERS)
        address = ranking.ranked(account.account)[rank].address
        return [vm.address for vm in self.vms].index(address)

    def configure(self, *accounts: Account) -> None:
        """Applies a new configuration on all VMs."""
        version = self.configuration.version + 1
        self.configuration = Configuration(version, (), {}, accounts=accounts)
        for vm in self.vms:
            vm.configuration = self.configuration

    async def send(
        self,
        account: Account,
        program: str | None = None,
        *,
        vm: int | None = None,
        remaining_s: float = 6.0,
        held_s: float = 0.0,
        is_run: bool = True,
    ) -> QuotaPermit | QuotaDenied:
        """Sends one request through a VM, a random one by default.

        Args:
            account: The request's account.
            program: Its program.
            vm: Number of the VM.
            remaining_s: Seconds until its deadline.
            held_s: Seconds between the permit and its use.
            is_run: Whether the target runs the request.
        """
        if vm is None:
            vm = self.random.randrange(len(self.vms))
        sender = self.vms[vm]
        result = await sender.service.acquire(
            account,
            None if program is None else ProgramId(program),
            version=self.configuration.version,
            starts_program=True,
            max_wait_s=STARTED_WAIT_S,
            remaining_s=remaining_s,
        )
        if isinstance(result, QuotaDenied):
            return result
        delay_s = result.starts_at - sender.seconds() + held_s
        await sleep(self.clock, max(0.0, delay_s))
        if self.clock.seconds() < sender.resumes_at:
            await sleep(self.clock, sender.resumes_at - self.clock.seconds())
        if sender.seconds() >= result.expires_at or not is_run:
            sender.service.give_back(result)
        elif not sender.killed:
            now = self.clock.seconds()
            self.run_at_by_account[account.account].append(now)
        return result

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        self.clock.run(seconds)

    def _start(self, number: int, incarnation: int) -> SimulatedVm:
        vm = SimulatedVm(self, number, incarnation)
        self.vm_by_address[vm.address] = vm
        self._apply(join_record(self._member(vm)))
        if self._skew_s:
            vm.members.apply(self._records[-1])
        return vm

    def _member(self, vm: SimulatedVm) -> Member:
        return Member(vm.holder, vm.address, ZoneId("z"))

    def _apply(self, write: KeyedWrite) -> None:
        self._offset += 1
        record = KeyedRecord(Offset(self._offset), write.key, write.value)
        self._records.append(record)
        self._shared_members.apply(record)
        if self._skew_s == 0:
            return
        for vm in self.vms:
            delay_s = self.random.uniform(0.0, self._skew_s)
            self.clock.callLater(delay_s, vm.members.apply, record)


def most_in_window(times: list[float], window_s: float) -> int:
    """Returns the most of the times that lie within a window."""
    most, first = 0, 0
    times = sorted(times)
    for last, at in enumerate(times):
        while times[first] <= at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(account: Account) -> float:
    """Returns the requests of an account that a window may hold."""
    quota = account.rate_per_s * SETTINGS.window_s + account.burst
    return quota * (1 + SETTINGS.overage) + SETTINGS.slack


class ProgramLoad:
    """Programs of one account that arrive at random.

    Args:
        system: The VMs.
        account: The account.
        excess: How many times its quota it asks for.
        requests: Number of requests of a program.
        gap_s: Mean time between two of them.
        vms: Number of the VMs that get its requests; all by default.

    Attributes:
        begun: Programs that had a request granted.
        finished: Programs that had all of theirs granted.
        offered: Programs that arrived.
    """

    def __init__(
        self,
        system: QuotaSystem,
        account: Account,
        *,
        excess: float,
        requests: int = 6,
        gap_s: float = 0.25,
        vms: int | None = None,
    ) -> None:
        self._system = system
        self._account = account
        self._requests = requests
        self._gap_s = gap_s
        self._vms = vms or len(system.vms)
        self._per_s = excess * account.rate_per_s / requests
        self._stopped = False
        self.begun = 0
        self.finished = 0
        self.offered = 0

    def start(self) -> None:
        """Lets programs arrive from now on."""
        delay_s = self._system.random.expovariate(self._per_s)
        self._system.clock.callLater(delay_s, self._arrive)

    def run(self, seconds: float) -> None:
        """Lets programs arrive for some time, and the last ones end."""
        self.start()
        self._system.run(seconds)
        self._stopped = True
        self._system.run(15.0)

    def goodput(self, seconds: float) -> float:
        """Returns the programs finished per program that was possible."""
        carried = self._account.rate_per_s * seconds / self._requests
        return self.finished / min(carried, self.offered)

    def _arrive(self) -> None:
        if self._stopped:
            return
        self.offered += 1
        program = f"{self._account.account}-{self.offered}"
        ensureDeferred(self._run_program(program))
        self.start()

    async def _run_program(self, program: str) -> None:
        for number in range(self._requests):
            if not await self._send(program):
                return
            self.begun += number == 0
            gap_s = self._system.random.expovariate(1.0 / self._gap_s)
            await sleep(self._system.clock, gap_s)
        self.finished += 1

    async def _send(self, program: str) -> bool:
        remaining_s = 6.0
        while remaining_s > 0.1:
            vm = self._system.random.randrange(self._vms)
            result = await self._system.send(
                self._account, program, vm=vm, remaining_s=remaining_s
            )
            if isinstance(result, QuotaPermit):
                return True
            delay_s = min(result.retry_after_s, remaining_s / 3)
            remaining_s -= delay_s
            await sleep(self._system.clock, delay_s)
        return False
