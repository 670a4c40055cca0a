"""Streams over two software versions while VMs die or fall out of step."""

from __future__ import annotations

import random
import signal
import socket
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred, gatherResults
from twisted.internet.error import ConnectError

from lycheestall.clock import sleep
from lycheestall.entry.http_messages import Header
from lycheestall.entry.store import Topic
from tests.entry.memory_store import MemoryLog
from tests.soak.soak_calls import PATIENCE_S, configuration, send_request
from tests.soak.soak_links import SoakLinks
from tests.soak.soak_streams import SoakStream, SoakStreams
from tests.soak.soak_targets import TOKENS_PER_EVENT, SoakTarget
from tests.soak.soak_vm import SoakVm

EVENTS = 22
EVENT_INTERVAL_S = 0.1
"""Seconds between two events, so that a stream lasts 2.2 s."""

FOLLOWED_S = 6.5
"""Seconds that VMs follow the targets before a story begins."""

START_LIMIT_S = 15.0
"""Seconds within which a VM must become ready."""

POLL_INTERVAL_S = 0.05
PROBE_TIMEOUT_S = 0.5
BEGIN_INTERVAL_S = 0.003
"""Seconds between the beginnings of two streams."""

REFUSED_DELAY_S = 0.1
"""Delay before another attempt where a connection was refused or lost."""

TAKE_UP_LIMIT_S = 6.0
"""Seconds for which a caller tries to take up a stream that broke."""

PAUSE_FACTORS = (0.95, 1.05)
"""Range of the factor by which a seed changes the times of a story."""

PORTS_PER_VM = 4
FIRST_PORTS = range(10_000, 18_000, PORTS_PER_VM)
LAST_PORT = 20_000
"""Ports of VMs are below those of the soak and the ephemeral ones."""


@dataclass
class StoryStream(SoakStream):
    """A stream of a story.

    Attributes:
        whole: Whether its caller has received its end.
        begun_at: Version of the targets that began it; empty for none.
        statuses: Statuses of the attempts to take it up; 0 for no answer.
        first_attempt: Fires when the attempt that begins it has ended.
    """

    whole: bool = False
    begun_at: str = ""
    statuses: list[int] = field(default_factory=list)
    first_attempt: Deferred[float] = field(default_factory=Deferred)

    @property
    def mixed(self) -> bool:
        """Whether the caller got events of two software versions."""
        return len(self.versions) > 1


@dataclass(frozen=True)
class Outcome:
    """What became of streams that broke and were taken up.

    Attributes:
        begun: Number of streams that broke, by the version that began them.
        mixed: Number with events of two versions.
        gone_on: Number that went on to their end at their version.
        statuses: Number of attempts to take them up, by status; 0 for no
            answer.
        violations: What else was wrong with their events.
    """

    begun: Mapping[str, int]
    mixed: int
    gone_on: int
    statuses: Mapping[int, int]
    violations: Sequence[str]


class VersionStory:
    """Entry VMs as processes, and callers that begin and take up streams.

    Args:
        reactor: The real reactor.
        directory: Directory for settings and logs.
        seed: Determines times, and which VM a caller chooses.
        vms: Number of entry VMs.
        targets: Number of targets by software version. They serve, but are
            registered only when their version joins.

    Attributes:
        vms: The VMs.
    """

    def __init__(
        self,
        reactor: Any,
        directory: Path,
        *,
        seed: int,
        vms: int,
        targets: Mapping[str, int],
    ) -> None:
        self._reactor = reactor
        self._random = random.Random(seed)
        self._log = MemoryLog()
        self._checks = SoakStreams(events=EVENTS)
        self._requests = 0
        self._targets_by_version = {
            version: [self._target(version, n) for n in range(count)]
            for version, count in targets.items()
        }
        all_targets = [
            t for ts in self._targets_by_version.values() for t in ts
        ]
        ports = _free_ports()
        self.vms = [
            SoakVm(
                n,
                next(ports),
                reactor,
                SoakLinks(reactor, self._log, all_targets),
                directory,
            )
            for n in range(vms)
        ]

    async def start(self, *versions: str) -> None:
        """Starts the VMs and waits until they have followed the targets."""
        self._log.put(Topic.CONFIGURATION, configuration(1))
        for version in versions:
            self.register(version)
        for vm in self.vms:
            vm.start()
        await self.wait_until_ready(self.vms)
        await sleep(self._reactor, FOLLOWED_S)

    def register(self, version: str) -> None:
        """Registers the targets of a version, or sends their heartbeats."""
        for target in self._targets_by_version[version]:
            self._log.put(Topic.TARGETS, target.registration())

    def begin_only_at(self, version: str) -> None:
        """Lets the targets of other versions refuse to begin streams."""
        for other, targets in self._targets_by_version.items():
            for target in targets:
                target.full_for_new = other != version

    async def pause(self, seconds: float) -> None:
        """Waits for a time that varies a little with the seed."""
        factor = self._random.uniform(*PAUSE_FACTORS)
        await sleep(self._reactor, seconds * factor)

    async def wait_until_ready(self, vms: Sequence[SoakVm]) -> None:
        """Waits until VMs are ready for callers."""
        deadline = self._reactor.seconds() + START_LIMIT_S
        for vm in vms:
            while not await self._is_ready(vm):
                assert self._reactor.seconds() < deadline, "VM is not ready"
                await sleep(self._reactor, POLL_INTERVAL_S)

    async def kill(self, vms: Sequence[SoakVm]) -> None:
        """Kills VMs and waits until they have exited."""
        for vm in vms:
            vm.signal(signal.SIGKILL)
        for vm in vms:
            while vm.process is not None and vm.process.poll() is None:
                await sleep(self._reactor, POLL_INTERVAL_S)

    async def begin(
        self, vm: SoakVm, count: int, *, patience_s: float = PATIENCE_S
    ) -> list[StoryStream]:
        """Begins streams at a VM.

        Args:
            vm: The VM.
            count: Number of streams.
            patience_s: Seconds after which the callers disconnect.
        """
        streams = []
        for _ in range(count):
            stream = StoryStream(self._new_request())
            attempt = self._attempt(
                stream, vm, stream.request, patience_s=patience_s
            )
            stream.first_attempt = ensureDeferred(attempt)
            streams.append(stream)
            await sleep(self._reactor, BEGIN_INTERVAL_S)
        return streams

    async def wait_until_begun(self, vm: SoakVm) -> None:
        """Waits until a target begins streams that a VM sends."""
        deadline = self._reactor.seconds() + START_LIMIT_S
        probes: list[StoryStream] = []
        while not any(probe.last_event for probe in probes):
            assert self._reactor.seconds() < deadline, "no stream begins"
            probes = await self.begin(vm, 1, patience_s=POLL_INTERVAL_S)
            await self.broken(probes)

    async def broken(
        self, streams: Sequence[StoryStream]
    ) -> list[StoryStream]:
        """Waits until first attempts end; returns the streams that broke."""
        await gatherResults([stream.first_attempt for stream in streams])
        return [s for s in streams if s.last_event and not s.whole]

    async def take_up(
        self,
        streams: Sequence[StoryStream],
        vms: Sequence[SoakVm],
        *,
        limit_s: float = TAKE_UP_LIMIT_S,
    ) -> None:
        """Takes up streams at VMs until they end or a time has passed."""
        until = self._reactor.seconds() + limit_s
        await gatherResults(
            [
                ensureDeferred(self._take_up(stream, vms, until))
                for stream in streams
            ]
        )

    def outcome(self, streams: Sequence[StoryStream]) -> Outcome:
        """Returns what became of streams that were taken up."""
        statuses: Counter[int] = Counter()
        begun: Counter[str] = Counter()
        for stream in streams:
            statuses.update(stream.statuses)
            begun[stream.begun_at] += 1
        return Outcome(
            begun=begun,
            mixed=sum(stream.mixed for stream in streams),
            gone_on=sum(s.whole and not s.mixed for s in streams),
            statuses=statuses,
            violations=[
                line
                for line in self._checks.violations
                if not line.startswith("version: ")
            ],
        )

    def close(self) -> None:
        """Kills the VMs that run and stops everything else."""
        for vm in self.vms:
            vm.signal(signal.SIGKILL)
            if vm.process is not None:
                vm.process.wait()
            vm.store_proxy.stop()
            vm.links.stop()
        for targets in self._targets_by_version.values():
            for target in targets:
                target.stop()

    def _target(self, version: str, number: int) -> SoakTarget:
        return SoakTarget(
            f"engines-{version}-{number}",
            "engines",
            self._reactor,
            Counter(),
            {},
            software_version=version,
            events=EVENTS,
            event_interval_s=EVENT_INTERVAL_S,
        )

    def _new_request(self) -> str:
        self._requests += 1
        return f"s{self._requests}-{self._random.getrandbits(48):x}"

    async def _is_ready(self, vm: SoakVm) -> bool:
        try:
            received, _ = await send_request(
                self._reactor,
                vm.ready,
                "ready",
                b"/api/ready",
                [],
                patience_s=PROBE_TIMEOUT_S,
            )
        except ConnectError:
            return False
        return received.status == 200

    async def _take_up(
        self, stream: StoryStream, vms: Sequence[SoakVm], until: float
    ) -> None:
        while not stream.whole and self._reactor.seconds() < until:
            headers = self._checks.resume_headers(stream)
            delay_s = await self._attempt(
                stream, self._random.choice(vms), self._new_request(), headers
            )
            await sleep(self._reactor, delay_s)

    async def _attempt(
        self,
        stream: StoryStream,
        vm: SoakVm,
        request: str,
        headers: Sequence[Header] = (),
        *,
        patience_s: float = PATIENCE_S,
    ) -> float:
        """Sends one attempt; returns the delay before another one."""
        limits = (b"X-Token-Usage", b"100,%d" % (EVENTS * TOKENS_PER_EVENT))
        try:
            received, whole = await send_request(
                self._reactor,
                vm.front,
                request,
                b"/plan/x",
                [limits, *headers],
                patience_s=patience_s,
            )
        except ConnectError:
            return REFUSED_DELAY_S
        if headers:
            stream.statuses.append(received.status)
        if received.status == 200:
            self._checks.received(stream, request, received.body, whole=whole)
            stream.whole = whole
            stream.begun_at = stream.begun_at or min(
                stream.versions, default=""
            )
        return received.retry_after_s or REFUSED_DELAY_S


def _free_ports() -> Iterator[list[int]]:
    """Yields free ports of VMs, the last two of them in sequence."""
    # Runs at the same time, also with the same seed, share the ports.
    first = random.SystemRandom().choice(FIRST_PORTS)
    for base in range(first, LAST_PORT, PORTS_PER_VM):
        ports = range(base, base + PORTS_PER_VM)
        if all(_is_free(port) for port in ports):
            yield list(ports[:3])


def _is_free(port: int) -> bool:
    with socket.socket() as listening:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listening.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
