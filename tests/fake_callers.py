"""Fake callers in virtual time: programs behind a load balancer.

A caller sends its calls one after another, each to a VM that the load
balancer picks, and retries calls that failed. It records every attempt
with its outcome, so that checkers can compare them with the requests
that the targets received.
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
from tests.simulation import Simulation
from tests.target_traffic import answer_text

CLIENT_LATENCY_S = 0.003
RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 5.0


@dataclass(frozen=True, slots=True)
class Chat:
    """A step that sends a chat request."""

    text: str


@dataclass(frozen=True, slots=True)
class Action:
    """A step that runs a non-idempotent operation."""

    key: str
    group: str = "orders"
    operation: str = "POST /orders"


@dataclass(frozen=True, slots=True)
class Pause:
    """A step in which the program sends no calls."""

    seconds: float


ProgramStep = Chat | Action | Pause


@dataclass
class Attempt:
    """One attempt of a call, with its outcome.

    Attributes:
        number: The call number, or 0 for calls without one.
        key: The idempotency key, or empty.
        sent_at: True time of sending.
        ended_at: True time of the end; None while in progress.
        outcome: The final outcome; None if the connection was lost.
        vm: The VM that the load balancer picked.
        position: Index of the step in the program.
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
        self.ended = False

    def start(self, head: ResponseHead) -> None:
        self.head = head

    def chunk(self, data: bytes) -> None:
        self.body += data

    def finish(self, outcome: Outcome) -> None:
        simulation = self._caller.simulation
        simulation.later(CLIENT_LATENCY_S, lambda: self.end(outcome))

    def end(self, outcome: Outcome | None) -> None:
        if self.ended:
            return
        self.ended = True
        self._attempt.ended_at = self._caller.simulation.now
        self._attempt.outcome = outcome
        self._caller.attempt_ended(self._attempt, self, outcome)


@dataclass
class WrongAnswer:
    """An answer that differs from the expected answer of its call."""

    program: str
    number: int
    actual: str
    expected: str


class FakeCaller:
    """A caller that runs one program.

    Attributes:
        program: The program id, once it was issued.
        attempts: All attempts, in order.
        bodies_by_number: The bodies of its chat requests, by call number.
        wrong_answers: Answers that were incomplete or of another call.
        finished: Whether all steps completed.
        give_up_reason: Why it stopped early, or empty.
        uncertain_keys: Keys of actions that may have run.
        vanished: Whether it stopped without ending its program.
        completed_calls: Number of completed calls after the opening call.
        looping: Whether it sends more calls than its rules allow.
    """

    def __init__(
        self,
        simulation: Simulation,
        balancer: Callable[[], tuple[str, CallHandler] | None],
        account: str,
        steps: Sequence[ProgramStep],
        *,
        program_class: str = "",
        deadline_s: float = 60.0,
        max_retries: int = 60,
    ) -> None:
        self.simulation = simulation
        self.account = AccountId(account)
        self.program = ProgramId("")
        self.attempts: list[Attempt] = []
        self.bodies_by_number: dict[int, bytes] = {}
        self.wrong_answers: list[WrongAnswer] = []
        self.finished = False
        self.finished_at = 0.0
        self.started_at = simulation.now
        self.give_up_reason = ""
        self.uncertain_keys: list[str] = []
        self.vanished = False
        self.completed_calls = 0
        self.looping = False
        self._balancer = balancer
        self._steps = list(steps)
        self._class = program_class
        self._deadline_s = deadline_s
        self._max_retries = max_retries
        self._retries = 0
        self._position = -1
        self._number = 0
        self._receipt = ""
        self._messages: list[dict[str, str]] = []
        self._open_sinks_by_vm: dict[str, list[_AttemptSink]] = {}

    def start(self) -> None:
        """Opens the program, then runs its steps."""
        self._send_open()

    def vanish(self) -> None:
        """Stops for good, without ending the program."""
        self.vanished = True

    def loop(self, calls: int) -> None:
        """Adds chat calls after the last step, as a looping program does."""
        self.looping = True
        for index in range(calls):
            self._steps.append(Chat(f"once more {index}"))

    def resend(self) -> None:
        """Sends a duplicate of the call in progress."""
        if self._current_step() is not None and not isinstance(
            self._current_step(), Pause
        ):
            self._send_step()

    def vm_connections_lost(self, vm: str) -> None:
        """Ends the open attempts on a VM whose connections were lost."""
        for sink in self._open_sinks_by_vm.pop(vm, []):
            self.simulation.later(
                CLIENT_LATENCY_S, lambda sink=sink: sink.end(None)
            )

    def attempt_ended(
        self, attempt: Attempt, sink: _AttemptSink, outcome: Outcome | None
    ) -> None:
        """Continues with the next step, retries or gives up."""
        open_sinks = self._open_sinks_by_vm.get(attempt.vm, [])
        if sink in open_sinks:
            open_sinks.remove(sink)
        if self.vanished or self.finished or self.give_up_reason:
            return
        if attempt.position != self._position:
            return
        if isinstance(outcome, Completed):
            self._retries = 0
            self._handle_answer(sink)
            return
        self._retries += 1
        if self._retries > self._max_retries:
            self.give_up_reason = f"call {self._number}: {outcome}"
            return
        wait_s = RETRY_DELAY_S
        if isinstance(outcome, Refused):
            if outcome.retry_after_s <= 0:
                self.give_up_reason = f"call {self._number}: {outcome}"
                return
            wait_s = min(outcome.retry_after_s, MAX_RETRY_DELAY_S)
        if isinstance(outcome, Failed) and self._skip_uncertain_action(
            outcome
        ):
            return
        position = self._position
        self.simulation.later(wait_s, lambda: self._retry(position))

    def _skip_uncertain_action(self, outcome: Failed) -> bool:
        step = self._current_step()
        if not isinstance(step, Action):
            return False
        if outcome.reason is not Reason.MAY_HAVE_RUN or self._retries < 3:
            return False
        self.uncertain_keys.append(step.key)
        self._retries = 0
        self.simulation.later(0.0, self._start_next_step)
        return True

    def _current_step(self) -> ProgramStep | None:
        if 0 <= self._position < len(self._steps):
            return self._steps[self._position]
        return None

    def _retry(self, position: int) -> None:
        if self.vanished or self.finished or position != self._position:
            return
        if self._position < 0:
            self._send_open()
            return
        if self._position >= len(self._steps):
            self._send_end()
            return
        self._send_step()

    def _start_next_step(self) -> None:
        if self.vanished:
            return
        self._position += 1
        step = self._current_step()
        if step is None:
            self._send_end()
            return
        if isinstance(step, Pause):
            self.simulation.later(step.seconds, self._start_next_step)
            return
        self._number += 1
        if isinstance(step, Chat):
            self._messages.append({"role": "user", "content": step.text})
        self._send_step()

    def _handle_answer(self, sink: _AttemptSink) -> None:
        self.completed_calls += 1 if self._number else 0
        head = sink.head
        if head is not None:
            for name, value in head.headers:
                if name == "lycheestall-receipt":
                    self._receipt = value
        if self._position < 0:
            document = orjson.loads(sink.body)
            self.program = ProgramId(document["program"])
            self._start_next_step()
            return
        if self._position >= len(self._steps):
            self.finished = True
            self.finished_at = self.simulation.now
            return
        step = self._current_step()
        if isinstance(step, Chat):
            self._check_chat(sink)
        if isinstance(step, Action):
            self._check_action(step, sink)
        self._start_next_step()

    def _check_chat(self, sink: _AttemptSink) -> None:
        document = orjson.loads(sink.body)
        actual = document["choices"][0]["message"]["content"]
        expected = answer_text(self.bodies_by_number[self._number])
        if actual != expected:
            self.wrong_answers.append(
                WrongAnswer(self.program, self._number, actual, expected)
            )
        self._messages.append({"role": "assistant", "content": actual})

    def _check_action(self, step: Action, sink: _AttemptSink) -> None:
        actual = str(orjson.loads(sink.body).get("done"))
        if actual != step.key:
            self.wrong_answers.append(
                WrongAnswer(self.program, self._number, actual, step.key)
            )

    def _send_open(self) -> None:
        self._send(CallKind.OPEN)

    def _send_end(self) -> None:
        self._send(CallKind.END)

    def _send_step(self) -> None:
        step = self._current_step()
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
            self.simulation.later(RETRY_DELAY_S, lambda: self._retry(position))
            return
        vm, handler = picked
        key = "" if action is None else action.key
        number = self._number if kind in _NUMBERED_KINDS else 0
        attempt = Attempt(number, key, self.simulation.now, vm, self._position)
        self.attempts.append(attempt)
        sink = _AttemptSink(self, attempt)
        self._open_sinks_by_vm.setdefault(vm, []).append(sink)
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
        clock = self.simulation.clock_by_node[vm]
        self.simulation.later(
            CLIENT_LATENCY_S, lambda: self._deliver(handler, call, sink), clock
        )

    def _deliver(
        self, handler: CallHandler, call: Call, sink: _AttemptSink
    ) -> CallHandle:
        return handler.handle(call, sink)


_NUMBERED_KINDS = frozenset({CallKind.CHAT, CallKind.ACTION})


@dataclass
class CallerGroup:
    """All callers of a deployment."""

    callers: list[FakeCaller] = field(default_factory=list)

    def vm_connections_lost(self, vm: str) -> None:
        """Reports to every caller that a VM's connections were lost."""
        for caller in self.callers:
            caller.vm_connections_lost(vm)

    def any_running(self) -> bool:
        """Returns whether any caller still has steps to run."""
        for caller in self.callers:
            if caller.finished or caller.give_up_reason or caller.vanished:
                continue
            return True
        return False
