"""Callers in virtual time: programs that go through a balancer.

A caller sends its calls one after another, each to any VM that the
balancer picks, repeats what it may repeat, and keeps what it was told,
so that checkers can compare it with what targets saw.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import orjson

from lycheestall.calls import (
    Call,
    CallHandle,
    CallHandler,
    CallKind,
    CallSink,
    ResponseHead,
)
from lycheestall.ids import (
    AccountId,
    CallNumber,
    IdempotencyKey,
    ModelName,
    ProgramId,
    TargetId,
)
from lycheestall.outcomes import Completed, Failed, Outcome, Reason, Refused
from tests.fake_world import World
from tests.target_traffic import answer_text

REACH_S = 0.003
LOST_RETRY_S = 1.0
LONGEST_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Chat:
    """A step that asks the model."""

    text: str


@dataclass(frozen=True, slots=True)
class Action:
    """A step that runs a non-idempotent operation."""

    key: str
    group: str = "orders"
    operation: str = "POST /orders"


@dataclass(frozen=True, slots=True)
class Pause:
    """A step in which the program works elsewhere."""

    seconds: float


StepKind = Chat | Action | Pause


@dataclass
class Attempt:
    """One sending of one call, and what the caller was told.

    Attributes:
        number: The call's number.
        key: Its idempotency key, or empty.
        sent_at: True time of sending.
        ended_at: True time of the end, None while open.
        outcome: The final outcome; None when the connection was lost.
        vm: The VM the balancer picked.
        position: The step it belongs to.
    """

    number: int
    key: str
    sent_at: float
    vm: str
    position: int
    ended_at: float | None = None
    outcome: Outcome | None = None


class _AttemptSink(CallSink):
    def __init__(self, caller: FakeCaller, attempt: Attempt) -> None:
        self._caller = caller
        self._attempt = attempt
        self.head: ResponseHead | None = None
        self.body = b""
        self.over = False

    def start(self, head: ResponseHead) -> None:
        self.head = head

    def chunk(self, data: bytes) -> None:
        self.body += data

    def finish(self, outcome: Outcome) -> None:
        world = self._caller.world
        world.later(REACH_S, lambda: self.end(outcome))

    def end(self, outcome: Outcome | None) -> None:
        if self.over:
            return
        self.over = True
        self._attempt.ended_at = self._caller.world.now
        self._attempt.outcome = outcome
        self._caller.ended(self._attempt, self, outcome)


@dataclass
class Wrong:
    """An answer that was not the call's own whole answer."""

    program: str
    number: int
    got: str
    wanted: str


class FakeCaller:
    """One program.

    Attributes:
        program: Its id, once it was issued.
        attempts: Everything it sent.
        bodies_by_number: The chat bodies it sent, by call number.
        wrong: Answers that were not whole or not its own.
        finished: Whether it got through all its steps.
        gave_up: Why it stopped early, empty when it did not.
        unsettled: Keys it was told may have run.
        answered: Calls that came back whole.
        looping: Whether it asks without end.
    """

    def __init__(
        self,
        world: World,
        balancer: Callable[[], tuple[str, CallHandler] | None],
        account: str,
        steps: Sequence[StepKind],
        *,
        program_class: str = "",
        deadline_s: float = 60.0,
        patience: int = 60,
    ) -> None:
        self.world = world
        self.account = AccountId(account)
        self.program = ProgramId("")
        self.attempts: list[Attempt] = []
        self.bodies_by_number: dict[int, bytes] = {}
        self.wrong: list[Wrong] = []
        self.finished = False
        self.finished_at = 0.0
        self.started_at = world.now
        self.gave_up = ""
        self.unsettled: list[str] = []
        self.vanished = False
        self.answered = 0
        self.looping = False
        self._balancer = balancer
        self._steps = list(steps)
        self._class = program_class
        self._deadline_s = deadline_s
        self._patience = patience
        self._tries = 0
        self._position = -1
        self._number = 0
        self._receipt = ""
        self._messages: list[dict[str, str]] = []
        self._open: dict[str, list[_AttemptSink]] = {}

    def start(self) -> None:
        """Opens the program and runs the steps."""
        self._send_open()

    def vanish(self) -> None:
        """Stops for good without a word."""
        self.vanished = True

    def loop(self, calls: int) -> None:
        """Goes on asking after its last step, as a looping program."""
        self.looping = True
        for index in range(calls):
            self._steps.append(Chat(f"once more {index}"))

    def resend(self) -> None:
        """Sends the call in progress once more, beside the first."""
        if self._step() is not None and not isinstance(self._step(), Pause):
            self._send_step()

    def vm_lost(self, vm: str) -> None:
        """The VM's connections are gone."""
        for sink in self._open.pop(vm, []):
            self.world.later(REACH_S, lambda sink=sink: sink.end(None))

    def ended(
        self, attempt: Attempt, sink: _AttemptSink, outcome: Outcome | None
    ) -> None:
        """Goes on after an attempt."""
        open_sinks = self._open.get(attempt.vm, [])
        if sink in open_sinks:
            open_sinks.remove(sink)
        if self.vanished or self.finished or self.gave_up:
            return
        if attempt.position != self._position:
            return
        if isinstance(outcome, Completed):
            self._tries = 0
            self._take_answer(sink)
            return
        self._tries += 1
        if self._tries > self._patience:
            self.gave_up = f"call {self._number}: {outcome}"
            return
        wait_s = LOST_RETRY_S
        if isinstance(outcome, Refused):
            if outcome.retry_after_s <= 0:
                self.gave_up = f"call {self._number}: {outcome}"
                return
            wait_s = min(outcome.retry_after_s, LONGEST_WAIT_S)
        if isinstance(outcome, Failed) and self._is_settled(outcome):
            return
        position = self._position
        self.world.later(wait_s, lambda: self._again(position))

    def _is_settled(self, outcome: Failed) -> bool:
        step = self._step()
        if not isinstance(step, Action):
            return False
        if outcome.reason is not Reason.MAY_HAVE_RUN or self._tries < 3:
            return False
        self.unsettled.append(step.key)
        self._tries = 0
        self.world.later(0.0, self._next)
        return True

    def _step(self) -> StepKind | None:
        if 0 <= self._position < len(self._steps):
            return self._steps[self._position]
        return None

    def _again(self, position: int) -> None:
        if self.vanished or self.finished or position != self._position:
            return
        if self._position < 0:
            self._send_open()
            return
        if self._position >= len(self._steps):
            self._send_end()
            return
        self._send_step()

    def _next(self) -> None:
        if self.vanished:
            return
        self._position += 1
        step = self._step()
        if step is None:
            self._send_end()
            return
        if isinstance(step, Pause):
            self.world.later(step.seconds, self._next)
            return
        self._number += 1
        if isinstance(step, Chat):
            self._messages.append({"role": "user", "content": step.text})
        self._send_step()

    def _take_answer(self, sink: _AttemptSink) -> None:
        self.answered += 1 if self._number else 0
        head = sink.head
        if head is not None:
            for name, value in head.headers:
                if name == "lycheestall-receipt":
                    self._receipt = value
        if self._position < 0:
            document = orjson.loads(sink.body)
            self.program = ProgramId(document["program"])
            self._next()
            return
        if self._position >= len(self._steps):
            self.finished = True
            self.finished_at = self.world.now
            return
        step = self._step()
        if isinstance(step, Chat):
            self._check_chat(sink)
        if isinstance(step, Action):
            self._check_action(step, sink)
        self._next()

    def _check_chat(self, sink: _AttemptSink) -> None:
        document = orjson.loads(sink.body)
        got = document["choices"][0]["message"]["content"]
        wanted = answer_text(self.bodies_by_number[self._number])
        if got != wanted:
            self.wrong.append(Wrong(self.program, self._number, got, wanted))
        self._messages.append({"role": "assistant", "content": got})

    def _check_action(self, step: Action, sink: _AttemptSink) -> None:
        got = str(orjson.loads(sink.body).get("done"))
        if got != step.key:
            self.wrong.append(Wrong(self.program, self._number, got, step.key))

    def _send_open(self) -> None:
        self._send(CallKind.OPEN)

    def _send_end(self) -> None:
        self._send(CallKind.END)

    def _send_step(self) -> None:
        step = self._step()
        if isinstance(step, Chat):
            document = {
                "model": "planner",
                "messages": self._messages,
                "max_tokens": 16,
            }
            body = orjson.dumps(document)
            self.bodies_by_number[self._number] = body
            self._send(CallKind.CHAT, body=body)
            return
        assert isinstance(step, Action)
        self._send(CallKind.ACTION, action=step)

    def _send(
        self,
        kind: CallKind,
        *,
        body: bytes = b"",
        action: Action | None = None,
    ) -> None:
        picked = self._balancer()
        if picked is None:
            position = self._position
            self.world.later(LOST_RETRY_S, lambda: self._again(position))
            return
        vm, handler = picked
        key = "" if action is None else action.key
        number = self._number if kind in _NUMBERED else 0
        attempt = Attempt(number, key, self.world.now, vm, self._position)
        self.attempts.append(attempt)
        sink = _AttemptSink(self, attempt)
        self._open.setdefault(vm, []).append(sink)
        call = Call(
            kind=kind,
            account=self.account,
            program=self.program,
            number=CallNumber(number),
            idempotency_key=IdempotencyKey(key),
            application=TargetId("" if action is None else action.group),
            operation="" if action is None else action.operation,
            model=ModelName("planner" if kind is CallKind.CHAT else ""),
            body=body if action is None else orjson.dumps({"key": key}),
            deadline_s=self._deadline_s,
            receipt=self._receipt,
            program_class=self._class,
        )
        clock = self.world.clock_by_node[vm]
        self.world.later(
            REACH_S, lambda: self._deliver(handler, call, sink), clock
        )

    def _deliver(
        self, handler: CallHandler, call: Call, sink: _AttemptSink
    ) -> CallHandle:
        return handler.handle(call, sink)


_NUMBERED = frozenset({CallKind.CHAT, CallKind.ACTION})


@dataclass
class Crowd:
    """All callers of a run."""

    callers: list[FakeCaller] = field(default_factory=list)

    def vm_lost(self, vm: str) -> None:
        """Tells every caller that a VM's connections are gone."""
        for caller in self.callers:
            caller.vm_lost(vm)

    def busy(self) -> bool:
        """Returns whether any caller still has steps to do."""
        for caller in self.callers:
            if caller.finished or caller.gave_up or caller.vanished:
                continue
            return True
        return False
