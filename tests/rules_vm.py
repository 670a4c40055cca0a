"""A simulated VM that follows and publishes rules, in virtual time."""

from __future__ import annotations

from typing import Any

from fake_log import FakeLog
from fake_network import FakeNetwork
from simulation import Simulation
from twisted.internet.defer import Deferred, ensureDeferred

from lycheestall.clock import Clock
from lycheestall.ids import (
    Offset,
    OperatorName,
    SessionId,
    StreamName,
    VmId,
    ZoneId,
)
from lycheestall.log_streams import LogStreams
from lycheestall.rules.publisher import RulesPublisher
from lycheestall.rules.stream import RulesStream

RULES_STREAM = StreamName("rules")
NO_VERSION = Offset(-1)
WEIGHT_ONE = "weight of everyone is 1 # assembly\n"
WEIGHT_TWO = "weight of everyone is 2 # crew\n"


class Vm:
    """A simulated VM that follows and publishes rules."""

    def __init__(
        self,
        simulation: Simulation,
        log: FakeLog,
        name: str,
        *,
        newest_format: int = 1,
        network: FakeNetwork | None = None,
    ) -> None:
        self.simulation = simulation
        self.clock: Clock = simulation.start_node(name)
        network = network or FakeNetwork(simulation)
        self.mesh = network.mesh(VmId(name), ZoneId("z"))
        self.host = LogStreams(log.client(name), self.clock, self.mesh)
        self.live_vms: frozenset[VmId] | None = None
        self.stream = RulesStream(
            host=self.host,
            stream=RULES_STREAM,
            session=SessionId(f"{name}.{simulation.now}"),
            vm=VmId(name),
            clock=self.clock,
            wall_ms=self._wall_ms,
            live_vms=lambda: self.live_vms,
            newest_format=newest_format,
        )
        self._nonce = 0
        self.publisher = RulesPublisher(
            stream=self.stream,
            clock=self.clock,
            wall_ms=self._wall_ms,
            new_nonce=lambda: self._next_nonce(name),
        )
        self.host.start()
        self._step()

    def _wall_ms(self) -> int:
        return int(self.simulation.now * 1000)

    def _next_nonce(self, name: str) -> str:
        self._nonce += 1
        return f"{name}-{self.simulation.now}-{self._nonce}"

    def _step(self) -> None:
        done = ensureDeferred(self.stream.step())
        done.addCallback(lambda _: self.clock.callLater(0.5, self._step))

    def publish(self, base: int, text: str, operator: str = "op") -> Any:
        """Publishes rules and returns the outcome."""
        done = self.start_publishing(base, text, operator)
        return self.wait(done)

    def start_publishing(
        self, base: int, text: str, operator: str = "op"
    ) -> Any:
        """Starts a publication without waiting for the outcome."""
        return ensureDeferred(
            self.publisher.publish(Offset(base), text, OperatorName(operator))
        )

    def wait(self, done: Deferred[Any]) -> Any:
        """Waits for the outcome of a publication."""
        found: list[Any] = []
        done.addBoth(found.append)
        assert self.simulation.run_while(lambda: not found, 60.0)
        return found[0]
