"""Client factory for the fake engines and applications.

Each target is a node of the ``Simulation``, which kills, pauses and restarts
it. Checkers read what the fakes recorded, never the state of the system
under test.
"""

from __future__ import annotations

from lycheestall.platform_services import VmEntry
from lycheestall.target_factory import TargetFactory
from lycheestall.targets import (
    Application,
    Engine,
)
from tests.fake_application import FakeApplication, FakeApplicationClient
from tests.fake_engine import FakeEngine, FakeEngineClient
from tests.simulation import NodeClock


class FakeTargets(TargetFactory):
    """Creates the clients with which one VM reaches the fake targets."""

    def __init__(
        self,
        engine_by_name: dict[str, FakeEngine],
        application_by_name: dict[str, FakeApplication],
        clock: NodeClock,
        vm: str,
    ) -> None:
        self._engine_by_name = engine_by_name
        self._application_by_name = application_by_name
        self._clock = clock
        self._vm = vm

    def engine(self, entry: VmEntry) -> Engine:
        """Returns a client for an engine."""
        engine = self._engine_by_name[entry.vm]
        return FakeEngineClient(engine, self._clock, self._vm)

    def application(self, entry: VmEntry) -> Application:
        """Returns a client for an application runner."""
        application = self._application_by_name[entry.vm]
        return FakeApplicationClient(application, self._clock, self._vm)
