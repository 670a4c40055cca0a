"""A fake application in virtual time that records its requests."""

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
from tests.simulation import NodeClock, Simulation
from tests.target_traffic import ACTION_S, LATENCY_S


class FakeApplication:
    """An application runner with a record of the actions that it ran.

    Attributes:
        runs_by_key: Number of runs of each idempotency key.
        arrivals: Time, VM and request of every run, in order.
        lose_answer_until: Answers are lost before this virtual time.
        crash_before: Crashes once on the next request, before running it.
        crash_after: Crashes once after running the next request, before
            the answer.
        offers_lookup: Whether it supports lookups of idempotency keys.
        answer_delay_s: Delay of answers, beside the network latency.
    """

    def __init__(
        self, simulation: Simulation, name: str, group: str, zone: str
    ) -> None:
        self.simulation = simulation
        self.name = name
        self.group = group
        self.zone = zone
        self.runs_by_key: dict[str, int] = {}
        self.arrivals: list[tuple[float, str, ActionRequest]] = []
        self.lose_answer_until = 0.0
        self.crash_before = False
        self.crash_after = False
        self.offers_lookup = False
        self.answer_delay_s = 0.0
        self.port = 0
        self.start_process()

    def start_process(self) -> None:
        """Starts a new process; the record of runs survives a crash."""
        self.clock = self.simulation.start_node(self.name)

    def entry(self) -> VmEntry:
        """Returns its entry in the VM list."""
        return VmEntry(
            VmId(self.name),
            VmRole.APPLICATION,
            ZoneId(self.zone),
            "10.0.0.2",
            self.port,
            group=self.group,
        )

    def crash(self) -> None:
        """Ends the process and starts a new one after two seconds."""
        self.simulation.kill(self.name)
        self.simulation.later(2.0, self.start_process)

    def execute(self, vm: str, request: ActionRequest) -> None:
        """Runs an action and records it."""
        self.arrivals.append((self.simulation.now, vm, request))
        runs = self.runs_by_key.get(request.key, 0)
        self.runs_by_key[request.key] = runs + 1


class FakeApplicationClient(Application):
    """The client with which one VM reaches an application runner."""

    def __init__(
        self, application: FakeApplication, clock: NodeClock, vm: str
    ) -> None:
        self._application = application
        self._clock = clock
        self._vm = vm
        self._simulation = application.simulation

    async def call(
        self, request: ActionRequest, *, may_send: SendCondition = always_send
    ) -> ActionResult:
        """Sends an action after the network latency."""
        await self._delay()
        application = self._application
        process = application.clock
        if not process.alive:
            return ActionNotSent("connection refused")
        if not may_send():
            return ActionNotSent("stopped right before sending")
        done: Deferred[ActionResult] = Deferred()

        def resolve(result: ActionResult) -> None:
            if not done.called:
                done.callback(result)

        def receive() -> None:
            if application.crash_before:
                application.crash_before = False
                application.crash()
                return
            application.execute(self._vm, request)
            if application.crash_after:
                application.crash_after = False
                application.crash()
                return
            if self._simulation.now < application.lose_answer_until:
                return
            body = orjson.dumps({"done": request.key, "path": request.path})
            result = ActionDone(200, "application/json", body)
            self._simulation.later(
                LATENCY_S + application.answer_delay_s,
                lambda: resolve(result),
                self._clock,
            )

        def check_process() -> None:
            if done.called:
                return
            if not process.alive:
                resolve(ActionUnknown("connection reset"))
                return
            self._simulation.later(0.25, check_process, self._clock)

        self._simulation.later(ACTION_S, receive, process)
        self._simulation.later(0.25, check_process, self._clock)
        self._simulation.later(
            request.deadline_s,
            lambda: resolve(ActionUnknown("timeout")),
            self._clock,
        )
        return await done

    async def look_up(self, key: IdempotencyKey) -> LookupResult | None:
        """Looks up whether a key has run."""
        await self._delay()
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
        """Returns an idle load report."""
        return LoadReport(TargetId(self._application.name), 0, 0, 0.0, 0.0)

    def _delay(self) -> Deferred[None]:
        return self._simulation.sleep(LATENCY_S, self._clock)
