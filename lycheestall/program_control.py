"""Opens, ends, cancels and shows programs."""

from __future__ import annotations

from dataclasses import asdict

import orjson
from twisted.internet.defer import ensureDeferred

from ._refusals import program_ended, rule_text
from .call_order import EndedCallHandle
from .calls import Call, CallHandle, CallKind, CallSink, ResponseHead
from .lifetimes import Lifetimes
from .outcomes import Completed, Reason, Refused, Step
from .owner_dependencies import OwnerDependencies
from .program import Program
from .program_table import ProgramTable

__all__ = ["ProgramControl"]


class ProgramControl:
    """Handles calls that concern a program as a whole.

    Args:
        dependencies: The owner's dependencies.
        table: The live programs.
        lifetimes: Ends programs.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        table: ProgramTable,
        lifetimes: Lifetimes,
    ) -> None:
        self._dependencies = dependencies
        self._table = table
        self._lifetimes = lifetimes

    def start(
        self, call: Call, program: Program, sink: CallSink
    ) -> CallHandle:
        """Starts a call of a live program.

        Args:
            call: An open, end, cancel or show call.
            program: The call's top-level program.
            sink: Receives the answer.
        """
        if call.kind is CallKind.OPEN:
            ensureDeferred(self._open(call, program, sink))
        elif call.kind is CallKind.SHOW:
            self._answer(call, sink, 200, self._document(program))
        else:
            self._end(call, program, sink)
        return EndedCallHandle()

    async def _open(
        self, call: Call, program: Program, sink: CallSink
    ) -> None:
        """Answers whether the log has recorded the program yet.

        Until it has, only idempotent calls are admitted.
        """
        await self._table.ensure_recorded(program)
        document = {
            "program": call.program,
            "class": program.program_class,
            "opened_ms": program.opened_ms,
            "recorded": program.recorded,
        }
        epoch = self._dependencies.cell.epoch_of(program.partition)
        receipt = program.receipt(call.program, epoch=epoch)
        text = self._dependencies.signer.sign(receipt)
        self._answer(call, sink, 201, document, receipt=text)

    def _end(self, call: Call, program: Program, sink: CallSink) -> None:
        reason, refused = "ended", program_ended("ended by its caller")
        if call.kind is CallKind.CANCEL:
            reason = "cancelled"
            refused = Refused(
                Step.DISPATCH, Reason.CANCELLED, detail="cancelled"
            )
        self._lifetimes.end(program, reason, refused)
        self._answer(call, sink, 200, self._document(program))

    def _document(self, program: Program) -> dict[str, object]:
        limits = self._lifetimes.limits(program)
        budget = program.budget
        return {
            "program": program.root,
            "account": program.account,
            "class": program.program_class,
            "opened_ms": program.opened_ms,
            "ended": program.ended,
            "recorded": program.recorded,
            "turns": program.turns,
            "in_flight": len(program.run_by_key),
            "spent": asdict(budget.spent),
            "reserved": asdict(budget.reserved),
            "drawn": asdict(budget.drawn),
            "limits": {
                "tokens": limits.tokens,
                "calls": limits.calls,
                "money_micros": limits.money_micros,
                "turns": limits.turns,
                "time_s": limits.time_s,
            },
            "rules": {
                name: rule_text(line) for name, line in limits.lines.items()
            },
            "calls": [asdict(call) for call in program.recent_calls],
        }

    def _answer(
        self,
        call: Call,
        sink: CallSink,
        status: int,
        document: dict[str, object],
        *,
        receipt: str = "",
    ) -> None:
        headers = [
            ("content-type", "application/json"),
            ("lycheestall-program", call.program),
            ("lycheestall-outcome", "completed"),
        ]
        if receipt:
            headers.append(("lycheestall-receipt", receipt))
        sink.start(ResponseHead(status, tuple(headers)))
        sink.chunk(orjson.dumps(document))
        sink.finish(Completed())
