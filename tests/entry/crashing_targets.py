"""Targets whose processes crash and start again some seconds later."""

from __future__ import annotations

from collections.abc import Callable

from tests.entry.fake_network import FakeTarget, ReceivedRequest
from tests.entry.fleet import Fleet

Respond = Callable[[str, ReceivedRequest], None]
"""Handles a request that a target, given its name, has received."""


class CrashingTargets:
    """Targets that lose all connections and refuse others while down.

    Args:
        fleet: The VMs that send to them.
        down_s: Seconds until a target that has crashed is back, with a newer
            process; 0 if it accepts connections again at once.

    Attributes:
        received: The paths of all requests that targets have received, with
            the times.
    """

    def __init__(self, fleet: Fleet, *, down_s: float = 2.0) -> None:
        self._fleet = fleet
        self._down_s = down_s
        self._target_by_name: dict[str, FakeTarget] = {}
        self._service_by_name: dict[str, str] = {}
        self._born = 1
        self.received: list[tuple[str, float]] = []

    def add(
        self, name: str, respond: Respond, *, service: str = "app"
    ) -> FakeTarget:
        """Registers a target."""

        def handle(request: ReceivedRequest) -> None:
            now = self._fleet.reactor.seconds()
            self.received.append((request.url.decode(), now))
            respond(name, request)

        target = self._fleet.add_target(name, handle, service=service)
        self._target_by_name[name] = target
        self._service_by_name[name] = service
        return target

    def count(self, path: str) -> int:
        """Returns how often targets have received a request for a path."""
        return len(self._times(path))

    def count_late(self, path: str, *, crashes: int, stable_s: float) -> int:
        """Returns how often a request has reached targets late.

        Args:
            path: Its path.
            crashes: Targets that it may crash.
            stable_s: Seconds after the last of these crashes from which on
                retries are late.
        """
        times = self._times(path)
        if len(times) < crashes:
            return 0
        return sum(at > times[crashes - 1] + stable_s for at in times)

    def crash(self, name: str) -> None:
        """Ends a target's process; another one starts later."""
        target = self._target_by_name[name]
        network = self._fleet.reactor.target_by_address
        address = next(a for a, one in network.items() if one is target)
        if self._down_s:
            del network[address]
        for connection in list(target.connections):
            connection.transport.abortConnection()
        self._born += 1
        self._fleet.reactor.callLater(
            self._down_s, self._start_again, name, address, self._born
        )

    def _times(self, path: str) -> list[float]:
        return [at for received, at in self.received if received == path]

    def _start_again(
        self, name: str, address: tuple[str, int], born: int
    ) -> None:
        self._fleet.reactor.target_by_address[address] = self._target_by_name[
            name
        ]
        self._fleet.vms[0].register(
            name,
            address[0],
            service=self._service_by_name[name],
            born=born,
        )
