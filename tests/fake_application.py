"""An application in virtual time, with a record of what came."""

from __future__ import annotations

import orjson
from twisted.internet.defer import Deferred

from lycheestall.ids import (
    IdempotencyKey,
    TargetId,
    VmId,
    ZoneId,
)
from lycheestall.platform_services import VmEntry, VmRole
from lycheestall.targets import (
    ActionDone,
    ActionNotSent,
    ActionRequest,
    ActionResult,
    ActionUnknown,
    Application,
    LoadReport,
    LookupResult,
    LookupState,
    SendCondition,
    always_send,
)
from tests.fake_world import NodeClock, World
from tests.target_traffic import ACTION_S, LATENCY_S


class FakeApplication:
    """A group's shared record of actions, behind several runners.

    Attributes:
        runs_by_key: How often each key's effect happened.
        arrivals: Every request that took effect, with its true time.
        lose_answer_until: Answers are lost before this time.
        crash_before: Dies on arrival, before the effect, when set.
        crash_after: Dies after the effect, before the answer, when set.
        offers_lookup: Whether it answers look-ups.
    """

    def __init__(self, world: World, name: str, group: str, zone: str) -> None:
        self.world = world
        self.name = name
        self.group = group
        self.zone = zone
        self.runs_by_key: dict[str, int] = {}
        self.arrivals: list[tuple[float, str, ActionRequest]] = []
        self.lose_answer_until = 0.0
        self.crash_before = False
        self.crash_after = False
        self.offers_lookup = False
        self.slow_s = 0.0
        self.port = 0
        self.boot()

    def boot(self) -> None:
        """Starts a new life; its records are kept elsewhere and stay."""
        self.clock = self.world.boot(self.name)

    def entry(self) -> VmEntry:
        """Returns its line in the VM list."""
        return VmEntry(
            VmId(self.name),
            VmRole.APPLICATION,
            ZoneId(self.zone),
            "10.0.0.2",
            self.port,
            group=self.group,
        )

    def die(self) -> None:
        """Crashes and comes back after a while."""
        self.world.kill(self.name)
        self.world.later(2.0, self.boot)

    def run(self, vm: str, request: ActionRequest) -> None:
        """Makes the effect happen."""
        self.arrivals.append((self.world.now, vm, request))
        runs = self.runs_by_key.get(request.key, 0)
        self.runs_by_key[request.key] = runs + 1


class FakeApplicationClient(Application):
    """One VM's connection to an application runner."""

    def __init__(
        self, application: FakeApplication, clock: NodeClock, vm: str
    ) -> None:
        self._application = application
        self._clock = clock
        self._vm = vm
        self._world = application.world

    async def call(
        self, request: ActionRequest, *, may_send: SendCondition = always_send
    ) -> ActionResult:
        """Sends one call."""
        await self._travel()
        application = self._application
        life = application.clock
        if not life.alive:
            return ActionNotSent("connection refused")
        if not may_send():
            return ActionNotSent("stopped right before sending")
        done: Deferred[ActionResult] = Deferred()

        def answer(result: ActionResult) -> None:
            if not done.called:
                done.callback(result)

        def arrive() -> None:
            if application.crash_before:
                application.crash_before = False
                application.die()
                return
            application.run(self._vm, request)
            if application.crash_after:
                application.crash_after = False
                application.die()
                return
            if self._world.now < application.lose_answer_until:
                return
            body = orjson.dumps({"done": request.key, "path": request.path})
            result = ActionDone(200, "application/json", body)
            self._world.later(
                LATENCY_S + application.slow_s,
                lambda: answer(result),
                self._clock,
            )

        def watch() -> None:
            if done.called:
                return
            if not life.alive:
                answer(ActionUnknown("connection reset"))
                return
            self._world.later(0.25, watch, self._clock)

        self._world.later(ACTION_S, arrive, life)
        self._world.later(0.25, watch, self._clock)
        self._world.later(
            request.deadline_s,
            lambda: answer(ActionUnknown("timeout")),
            self._clock,
        )
        return await done

    async def look_up(self, key: IdempotencyKey) -> LookupResult | None:
        """Asks for the application's record."""
        await self._travel()
        application = self._application
        if not application.offers_lookup or not application.clock.alive:
            return None
        if key in application.runs_by_key:
            body = orjson.dumps({"done": key, "path": ""})
            return LookupResult(
                LookupState.RAN, ActionDone(200, "application/json", body)
            )
        return LookupResult(LookupState.NO_RECORD)

    async def load(self) -> LoadReport | None:
        """Reports no load."""
        return LoadReport(TargetId(self._application.name), 0, 0, 0.0, 0.0)

    def _travel(self) -> Deferred[None]:
        return self._world.sleep(LATENCY_S, self._clock)
