"""Engines of several software versions, and callers of their streams."""

from __future__ import annotations

from collections import defaultdict

from tests.entry.fake_network import (
    FakeTarget,
    ReceivedRequest,
    RecordingCaller,
)
from tests.entry.fleet import Fleet

BREAK_AFTER = 2
"""Events of a stream that its first target sends."""

LAST_EVENT = 5
ALL_EVENTS = list(range(1, LAST_EVENT + 1))
NOT_RUN = ((b"X-Not-Executed", b"1"),)


class Engines:
    """Targets of several software versions, which note what they run.

    Args:
        fleet: The VMs that send to them.

    Attributes:
        versions_by_stream: The versions that sent events of each stream,
            ``s1`` is that of ``/plan/1``.
        breaks: Whether new streams break; otherwise they are sent whole.
        crash: Whether the target that begins a stream crashes on the way;
            otherwise it sends no more after the same event.
        refusals_left: How many requests that resume a stream are refused
            because the target is full.
        full_versions: Versions whose targets are full for new streams.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._network = fleet.reactor.target_by_address
        self._down: dict[tuple[str, int], FakeTarget] = {}
        self._target_by_stream: dict[str, FakeTarget] = {}
        self.versions_by_stream: dict[str, list[str]] = defaultdict(list)
        self.breaks = True
        self.crash = True
        self.refusals_left = 0
        self.full_versions: set[str] = set()
        self._replacing_version: str | None = None
        self._name_by_target: dict[FakeTarget, str] = {}

    def add(self, name: str, version: str) -> None:
        """Registers a target."""

        def run(request: ReceivedRequest) -> None:
            self._run(request, target, version)

        target = self._fleet.add_target(
            name, run, service="engines", version=version
        )
        self._name_by_target[target] = name

    def replace_by(self, version: str) -> None:
        """Lets each target restart at a version as soon as it crashes.

        It keeps its ID and its address, and registers at once.
        """
        self._replacing_version = version

    def take_down_target_of(self, stream: str) -> None:
        """Crashes the target that began a stream."""
        self._take_down(self._target_by_stream[stream])

    def bring_up(self) -> None:
        """Starts the targets that are down."""
        self._network.update(self._down)
        self._down.clear()

    def mixed(self) -> dict[str, list[str]]:
        """Returns the streams with events of more than one version."""
        return {
            stream: versions
            for stream, versions in self.versions_by_stream.items()
            if len(set(versions)) > 1
        }

    def began_at(self, version: str) -> set[str]:
        """Returns the streams that targets of a version began."""
        return {
            stream
            for stream, versions in self.versions_by_stream.items()
            if versions[0] == version
        }

    def _take_down(self, target: FakeTarget) -> None:
        # It loses its connections and refuses others.
        for address, other in list(self._network.items()):
            if other is target:
                self._down[address] = self._network.pop(address)
        if self._replacing_version is not None:
            self._start_again(target, self._replacing_version)
        for connection in target.connections:
            connection.transport.abortConnection()

    def _start_again(self, target: FakeTarget, version: str) -> None:
        def run(request: ReceivedRequest) -> None:
            self._run(request, process, version)

        process = FakeTarget(run)
        for address, other in list(self._down.items()):
            if other is not target:
                continue
            del self._down[address]
            self._network[address] = process
            self._fleet.vms[0].register(
                self._name_by_target[target],
                address[0],
                service="engines",
                version=version,
                born=2,
            )

    def _run(
        self, request: ReceivedRequest, target: FakeTarget, version: str
    ) -> None:
        headers = request.headers
        stream = f"s{request.url.rpartition(b'/')[2].decode()}"
        first = int(headers.get(b"last-event-id", b"0")) + 1
        if self._refuses(version, first):
            request.respond(503, headers=NOT_RUN, sealed=False)
            return
        self.versions_by_stream[stream].append(version)
        request.start_stream()
        if first > 1:
            self._send_events(request, first, LAST_EVENT)
            request.end_stream()
            return
        self._target_by_stream[stream] = target
        if not self.breaks:
            self._send_events(request, first, LAST_EVENT)
            request.end_stream()
            return
        self._send_events(request, first, BREAK_AFTER)
        if self.crash:
            self._fleet.reactor.callLater(0.01, self._take_down, target)

    def _refuses(self, version: str, first: int) -> bool:
        if first == 1:
            return version in self.full_versions
        if not self.refusals_left:
            return False
        self.refusals_left -= 1
        return True

    def _send_events(
        self, request: ReceivedRequest, first: int, last: int
    ) -> None:
        for number in range(first, last + 1):
            request.send_event(number)


def begin_stream(fleet: Fleet, number: int) -> RecordingCaller:
    """Begins stream ``s0``, ``s1`` and so on, each at the next VM."""
    return fleet.send(
        f"/plan/{number}",
        vm=number % len(fleet.vms),
        headers=f"X-Session-Id: session-{number}\r\n",
        request_id=f"s{number}",
    )


def take_up_stream(
    fleet: Fleet,
    number: int,
    *,
    vm: int,
    named: bool = True,
    headers: str = "",
) -> RecordingCaller:
    """Sends the caller's next attempt after it has got some events.

    Args:
        fleet: The VMs.
        number: Number of the stream.
        vm: Number of the VM that gets the attempt.
        named: Whether the caller names the request that began the stream.
        headers: Further header lines.
    """
    resumes = f"Resumes: s{number}\r\n" if named else ""
    return fleet.send(
        f"/plan/{number}",
        vm=vm,
        headers=(
            f"X-Session-Id: session-{number}\r\n"
            f"Last-Event-Id: {BREAK_AFTER}\r\n{resumes}{headers}"
        ),
    )


def event_ids(caller: RecordingCaller) -> list[int]:
    """Returns the IDs of the events that a caller has received."""
    lines = caller.data.split(b"\n")
    return [int(line[4:]) for line in lines if line[:4] == b"id: "]
