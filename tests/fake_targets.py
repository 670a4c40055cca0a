"""All engines and applications of a virtual world.

Each target is a node of the world: killing, pausing and cutting it are
the world's. Checkers read the records kept here, never the books of the
system under test.
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
from tests.fake_world import NodeClock


class FakeTargets(TargetFactory):
    """One VM's clients of all targets of a run."""

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
        """Returns a client of an engine."""
        engine = self._engine_by_name[entry.vm]
        return FakeEngineClient(engine, self._clock, self._vm)

    def application(self, entry: VmEntry) -> Application:
        """Returns a client of an application runner."""
        application = self._application_by_name[entry.vm]
        return FakeApplicationClient(application, self._clock, self._vm)
