"""Runs entry VMs as processes, injects faults and checks guarantees."""

from __future__ import annotations

import random
import signal
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.defer import DeferredList, ensureDeferred
from twisted.internet.error import ConnectError

from lycheestall.clock import sleep
from lycheestall.entry.store import Topic
from tests.entry.memory_store import MemoryLog
from tests.soak.loopback_proxy import ProxyMode
from tests.soak.soak_accounts import SoakAccounts
from tests.soak.soak_calls import configuration, send_request
from tests.soak.soak_conversations import AnsweredTurn, SoakConversations
from tests.soak.soak_faults import SoakFaults
from tests.soak.soak_limits import SoakLimits
from tests.soak.soak_links import SoakLinks
from tests.soak.soak_streams import (
    SOFTWARE_VERSIONS,
    SoakStream,
    SoakStreams,
)
from tests.soak.soak_targets import TOKENS_PER_EVENT, SoakTarget
from tests.soak.soak_vm import ROOT, ReceivedAnswer, SoakVm

MAX_TURN_TOKENS = 80
CLIENTS = 6
CHATS = 3
START_LIMIT_S = 60.0
"""Seconds within which a request must be served before the first fault."""

LIMITS_PER_S = (None, 2.0)
"""The limit that each service's first and second target of a software version
names."""

RESUME_LIMIT_S = 4.0
"""Seconds for which a caller takes up a stream that broke."""

NOT_EXECUTED_STATUSES = (402, 408, 421, 429, 503)


@dataclass
class Report:
    """Observations of a soak run.

    Attributes:
        statuses: Number of requests by final status; 0 means no answer.
        faults: Number of faults by name.
        violations: Descriptions of violated guarantees.
        conversations: Number of turns of conversations by how they ended.
        limited_requests: Number of requests to targets that name a limit.
        resumed: Number of requests that take up a stream by how they ended.
        relayed: Number of attempts that VMs asked peers to send.
        starts: Number of starts of VMs by the folder of the build.
    """

    conversations: Counter[str] = field(default_factory=Counter)
    statuses: Counter[int] = field(default_factory=Counter)
    faults: Counter[str] = field(default_factory=Counter)
    violations: list[str] = field(default_factory=list)
    limited_requests: int = 0
    resumed: Counter[str] = field(default_factory=Counter)
    relayed: int = 0
    starts: Counter[Path] = field(default_factory=Counter)


class Soak:
    """One run with a seed.

    Args:
        reactor: The real reactor.
        seed: Determines faults, programs and times.
        seconds: How long clients run under faults.
        directory: Directory for settings and logs.
        vms: Number of entry VMs.
        other_build: Folder of another build, which each second VM runs at
            first, and any VM after a restart.

    With an odd seed and one build, the configuration has accounts.
    """

    def __init__(
        self,
        reactor: Any,
        *,
        seed: int,
        seconds: float,
        directory: Path,
        vms: int = 3,
        other_build: Path | None = None,
    ) -> None:
        self._reactor = reactor
        self._random = random.Random(seed)
        self._seconds = seconds
        self._log = MemoryLog()
        self._run_counts: Counter[str] = Counter()
        self._not_run: set[str] = set()
        self._orders: set[str] = set()
        self._tokens: Counter[str] = Counter()
        self._budgets: dict[str, int] = {}
        self._conversations = SoakConversations(random.Random(seed + 1))
        self._limits = SoakLimits()
        self._accounts = SoakAccounts(
            random.Random(seed + 3),
            reactor.seconds,
            enabled=seed % 2 == 1 and other_build is None,
        )
        self._streams = SoakStreams()
        self._finished = False
        self._version = 0
        self.report = Report()
        self._targets = [
            SoakTarget(
                f"{service}-{version}-{n}",
                service,
                reactor,
                self._run_counts,
                self._conversations.received,
                software_version=version,
                limit_per_s=limit_per_s,
                on_run=self._accounts.received,
            )
            for service, versions in (
                ("app", SOFTWARE_VERSIONS[:1]),
                ("engines", SOFTWARE_VERSIONS),
            )
            for version in versions
            for n, limit_per_s in enumerate(LIMITS_PER_S)
        ]
        # Below the kernel's range of ephemeral ports.
        base = 20_000 + seed % 1000 * 10
        self._vms = [
            SoakVm(
                n,
                [base + n * 4, base + n * 4 + 1, base + n * 4 + 2],
                reactor,
                SoakLinks(reactor, self._log, self._targets),
                directory,
                builds=(ROOT,) if other_build is None else (ROOT, other_build),
            )
            for n in range(vms)
        ]
        self._faults = SoakFaults(
            reactor,
            self._random,
            builds_rng=random.Random(seed + 2),
            log=self._log,
            vms=self._vms,
            targets=self._targets,
            limits=self._limits,
            counts=self.report.faults,
            change_configuration=self._configure,
            finished=lambda: self._finished,
        )

    async def run(self) -> Report:
        """Runs the whole test."""
        self._configure()
        registrations = ensureDeferred(self._register_targets())
        for vm in self._vms:
            vm.start()
        clients = [ensureDeferred(self._client(n)) for n in range(CLIENTS)]
        clients += [ensureDeferred(self._chat(n)) for n in range(CHATS)]
        await self.wait_until_served()
        await self._faults.inject(self._seconds)
        await sleep(self._reactor, 2.0)
        self._finished = True
        await DeferredList(clients, consumeErrors=True)
        await self._conversations.check_all_found(
            self._continue, self._reactor.seconds
        )
        await self._stop_all()
        await registrations
        self._check_guarantees()
        return self.report

    async def wait_until_served(self) -> None:
        """Waits for a first answer, which takes long on a busy machine."""
        deadline = self._reactor.seconds() + START_LIMIT_S
        while not self.report.statuses[200]:
            if self._reactor.seconds() >= deadline:
                self.report.violations.append("start: no request was served")
                return
            await sleep(self._reactor, 0.1)

    def _configure(self) -> None:
        self._version += 1
        write = configuration(self._version, self._accounts.tenants())
        self._log.put(Topic.CONFIGURATION, write)

    async def _register_targets(self) -> None:
        while not self._finished:
            for target in self._targets:
                if target.registered:
                    self._log.put(Topic.TARGETS, target.registration())
            await sleep(self._reactor, 0.5)

    async def _client(self, number: int) -> None:
        program = 0
        while not self._finished:
            program += 1
            name = f"p{number}-{program}"
            loops = self._random.random() < 0.2
            turns = 60 if loops else self._random.randint(2, 6)
            self._budgets[name] = 100 + 120 * min(turns, 6)
            for turn in range(turns):
                if self._finished:
                    return
                status = await self._turn(name, turn)
                if status == 402:
                    break
                if self._random.random() < 0.5:
                    await self._order(name, turn)

    async def _turn(self, program: str, turn: int) -> int:
        request = f"{program}-t{turn}-{self._random.getrandbits(32):x}"
        headers = [
            (b"X-Program-Id", program.encode()),
            (b"X-Session-Id", b"s"),
            (b"X-Token-Budget", b"%d" % self._budgets[program]),
            (b"X-Token-Usage", b"100,%d" % MAX_TURN_TOKENS),
        ]
        stream = SoakStream(request)
        status, whole = await self._stream(stream, request, program, headers)
        resume_until = self._reactor.seconds() + RESUME_LIMIT_S
        while self._reactor.seconds() < resume_until:
            if not stream.last_event or (whole and status in (200, 402)):
                break
            resume = self._streams.resume_headers(stream)
            request = f"{program}-t{turn}-{self._random.getrandbits(32):x}"
            status, whole = await self._stream(
                stream, request, program, [*headers, *resume]
            )
            end = "whole" if whole and status == 200 else "not whole"
            self._streams.resumed[f"{status} {end}"] += 1
        return status

    async def _stream(
        self,
        stream: SoakStream,
        request: str,
        program: str,
        headers: list[tuple[bytes, bytes]],
    ) -> tuple[int, bool]:
        received, whole = await self._send(request, b"/plan/x", headers)
        if received.status == 200:
            events = self._streams.received(
                stream, request, received.body, whole=whole
            )
            self._tokens[program] += events * TOKENS_PER_EVENT
        return received.status, whole

    async def _chat(self, number: int) -> None:
        while not self._finished:
            previous = self._conversations.choose_previous()
            await self._continue(previous, caller=number)

    async def _continue(
        self, previous: AnsweredTurn | None, *, caller: int = CHATS
    ) -> AnsweredTurn | None:
        request = f"c{caller}-{self._random.getrandbits(48):x}"
        new_input = f"ask {request};".encode()
        self._conversations.begin(request, new_input, previous)
        headers = [(b"X-Program-Id", b"chat-%d" % caller)]
        if previous is not None:
            name = previous.request.encode()
            headers.append((b"X-Previous-Turn", name))
        received, whole = await self._send(
            request, b"/chat/x", headers, body=new_input
        )
        now = self._reactor.seconds()
        return self._conversations.end(
            request,
            previous,
            status=received.status,
            whole=whole,
            body=received.body,
            store_undisturbed=now > self._faults.store_disturbed_until + 1.0,
        )

    async def _order(self, program: str, turn: int) -> None:
        request = f"{program}-o{turn}-{self._random.getrandbits(32):x}"
        self._orders.add(request)
        received, whole = await self._send(request, b"/orders/x", [])
        expected = request.encode() * 20
        if received.status == 200 and whole and received.body != expected:
            self.report.violations.append(
                f"answer: {request} got another body"
            )

    async def _send(
        self,
        request: str,
        url: bytes,
        headers: list[tuple[bytes, bytes]],
        *,
        body: bytes = b"{}",
    ) -> tuple[ReceivedAnswer, bool]:
        vm = self._random.choice(self._vms)
        # Turns need one account over all of a conversation.
        credentials = self._accounts.headers(
            request, may_be_wrong=url == b"/orders/x"
        )
        headers = [*headers, *credentials]
        try:
            received, whole = await send_request(
                self._reactor, vm.front, request, url, headers, body=body
            )
        except ConnectError:
            await sleep(self._reactor, 0.1)
            return ReceivedAnswer(), False
        self.report.statuses[received.status] += 1
        self._accounts.answered(request, received.status)
        if whole and received.status in NOT_EXECUTED_STATUSES:
            self._not_run.add(request)
            await sleep(self._reactor, 0.05)
        return received, whole

    async def _stop_all(self) -> None:
        for vm in self._vms:
            vm.store_proxy.set_mode(ProxyMode.PASS)
            vm.links.set_mode(ProxyMode.PASS)
            vm.signal(signal.SIGCONT)
            vm.signal(signal.SIGTERM)
        for vm in self._vms:
            process = vm.process
            for _ in range(200):
                if process is None or process.poll() is not None:
                    break
                await sleep(self._reactor, 0.05)
            else:
                self.report.violations.append(
                    "stop: a VM did not exit in 10 s"
                )
                vm.signal(signal.SIGKILL)
        self.report.relayed = sum(vm.relayed_attempts() for vm in self._vms)
        for vm in self._vms:
            self.report.starts.update(vm.starts)
        self.close()

    def close(self) -> None:
        """Stops the proxies, the targets and the store."""
        for vm in self._vms:
            vm.store_proxy.stop()
            vm.links.stop()
        for target in self._targets:
            target.stop()

    def _check_guarantees(self) -> None:
        violations = self.report.violations
        self._conversations.check_prompts()
        violations.extend(self._conversations.violations)
        violations.extend(self._streams.violations)
        violations.extend(self._accounts.violations)
        self.report.resumed.update(self._streams.resumed)
        self.report.conversations.update(self._conversations.counts)
        for request in self._orders:
            if self._run_counts[request] > 1:
                violations.append(
                    f"once: {request} ran {self._run_counts[request]}x"
                )
        for request in self._not_run:
            if self._run_counts[request]:
                violations.append(f"refusal: {request} has run")
        for program, tokens in self._tokens.items():
            if tokens > self._budgets[program] + MAX_TURN_TOKENS:
                violations.append(f"budget: {program} used {tokens}")
        for target in self._targets:
            if target.limit_per_s is None:
                continue
            self.report.limited_requests += len(target.received_at)
            violations.extend(
                self._limits.violations(
                    target.name, target.limit_per_s, target.received_at
                )
            )
        if not self.report.limited_requests:
            violations.append("limited: no target with a limit got a request")
        if not self.report.statuses[200]:
            violations.append("service: no request was served")
