"""A state machine that runs one non-idempotent action at most once.

The owner writes an intent to the log and waits until it is read back,
checks its authority right before the request is written to the
connection, sends the request once and writes the outcome to the log. A
call that is given up before it was sent is refused as not run at once;
if its intent is read back later, the intent is voided and nothing is
sent. A call that was sent but not answered may have run; whether it did
can be looked up if the target keeps a record of idempotency keys.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

from .outcomes import Completed, Failed, Outcome, Reason, Refused, Step
from .targets import (
    ActionDone,
    ActionNotSent,
    ActionResult,
    LookupResult,
    LookupState,
)

__all__ = ["ActionEffects", "ActionProtocol"]

NOT_SENT_RETRY_S = 0.5


class ActionEffects(ABC):
    """The side effects of the protocol's state transitions."""

    @abstractmethod
    def write_intent(self) -> None:
        """Writes the intent; ``ActionProtocol.intent_read`` follows."""

    @abstractmethod
    def refusal(self) -> Refused | None:
        """Returns why the call may not be sent now, or None."""

    @abstractmethod
    def send(self) -> None:
        """Sends the call once; ``ActionProtocol.answered`` follows."""

    @abstractmethod
    def look_up(self) -> None:
        """Asks the target for its record of the key.

        ``ActionProtocol.looked_up`` follows.
        """

    @abstractmethod
    def write_outcome(self, answer: ActionDone) -> None:
        """Writes the outcome to the log."""

    @abstractmethod
    def void_intent(self, *, closed: bool) -> None:
        """Writes to the log that the call was not run.

        Args:
            closed: Whether the target closed the idempotency key; if
                not, the call was not sent and the key is free again.
        """

    @abstractmethod
    def finish(self, outcome: Outcome, answer: ActionDone | None) -> None:
        """Ends the call; called exactly once.

        Args:
            outcome: The final outcome.
            answer: The target's answer, if there is one.
        """


class _Inputs(Protocol):
    def start(self) -> None:
        """Starts a call whose key is new."""

    def recover(self) -> None:
        """The intent was written by an owner that failed."""

    def authorized(self) -> None:
        """The intent was read back and the call may be sent."""

    def unauthorized(self, refused: Refused) -> None:
        """The intent was read back but the call may not be sent."""

    def intent_rejected(self, refused: Refused) -> None:
        """The ledger rejected the intent."""

    def gave_up(self, refused: Refused) -> None:
        """The call ends unless it was sent."""

    def completed(self, answer: ActionDone) -> None:
        """The target answered the call."""

    def not_sent(self, refused: Refused) -> None:
        """The call was not sent to the target."""

    def outcome_unknown(self, detail: str) -> None:
        """The call was sent but not answered."""

    def ran(self, answer: ActionDone) -> None:
        """The target's record contains the answer."""

    def not_run(self) -> None:
        """The target's record guarantees that the call never runs."""

    def unresolved(self) -> None:
        """The target has no record that tells whether the call ran."""


@dataclass(slots=True)
class _CallData:
    effects: ActionEffects
    peer: str
    detail: str = ""


_builder = TypeMachineBuilder(_Inputs, _CallData)
_new = _builder.state("new")
_recording = _builder.state("recording")
_given_up = _builder.state("given_up")
_sent = _builder.state("sent")
_asking = _builder.state("asking")
_ended = _builder.state("ended")


@_new.upon(_Inputs.start).to(_recording)
def _write_intent(inputs: _Inputs, call: _CallData) -> None:
    call.effects.write_intent()


@_new.upon(_Inputs.recover).to(_asking)
def _look_up_recovered(inputs: _Inputs, call: _CallData) -> None:
    call.effects.look_up()


@_recording.upon(_Inputs.authorized).to(_sent)
def _send(inputs: _Inputs, call: _CallData) -> None:
    call.effects.send()


@_recording.upon(_Inputs.unauthorized).to(_ended)
def _void_unauthorized(
    inputs: _Inputs, call: _CallData, refused: Refused
) -> None:
    call.effects.void_intent(closed=False)
    call.effects.finish(refused, None)


@_recording.upon(_Inputs.intent_rejected).to(_ended)
def _reject(inputs: _Inputs, call: _CallData, refused: Refused) -> None:
    call.effects.finish(refused, None)


@_recording.upon(_Inputs.gave_up).to(_given_up)
def _give_up(inputs: _Inputs, call: _CallData, refused: Refused) -> None:
    call.effects.finish(refused, None)


@_given_up.upon(_Inputs.authorized).to(_ended)
def _void_late_authorized(inputs: _Inputs, call: _CallData) -> None:
    call.effects.void_intent(closed=False)


@_given_up.upon(_Inputs.unauthorized).to(_ended)
def _void_late_unauthorized(
    inputs: _Inputs, call: _CallData, refused: Refused
) -> None:
    call.effects.void_intent(closed=False)


@_given_up.upon(_Inputs.intent_rejected).to(_ended)
def _ignore_rejected(
    inputs: _Inputs, call: _CallData, refused: Refused
) -> None:
    """Does nothing, since a rejected intent needs no void."""


@_sent.upon(_Inputs.completed).to(_ended)
def _complete(inputs: _Inputs, call: _CallData, answer: ActionDone) -> None:
    call.effects.write_outcome(answer)
    call.effects.finish(Completed(peer=call.peer), answer)


@_sent.upon(_Inputs.not_sent).to(_ended)
def _void_not_sent(inputs: _Inputs, call: _CallData, refused: Refused) -> None:
    call.effects.void_intent(closed=False)
    call.effects.finish(refused, None)


@_sent.upon(_Inputs.outcome_unknown).to(_asking)
def _look_up_unanswered(inputs: _Inputs, call: _CallData, detail: str) -> None:
    call.detail = detail
    call.effects.look_up()


@_asking.upon(_Inputs.ran).to(_ended)
def _complete_as_recorded(
    inputs: _Inputs, call: _CallData, answer: ActionDone
) -> None:
    call.effects.write_outcome(answer)
    call.effects.finish(Completed(peer=call.peer), answer)


@_asking.upon(_Inputs.not_run).to(_ended)
def _refuse_as_not_run(inputs: _Inputs, call: _CallData) -> None:
    call.effects.void_intent(closed=True)
    refused = Refused(
        Step.DISPATCH,
        Reason.TARGET_FAILED,
        peer=call.peer,
        detail="the target closed the key without running the call",
        needs="a new idempotency key",
    )
    call.effects.finish(refused, None)


@_asking.upon(_Inputs.unresolved).to(_ended)
def _fail_unresolved(inputs: _Inputs, call: _CallData) -> None:
    failed = Failed(
        Step.DISPATCH,
        Reason.MAY_HAVE_RUN,
        peer=call.peer,
        detail=call.detail or "the call was sent and no answer is known",
    )
    call.effects.finish(failed, None)


_given_up.upon(_Inputs.gave_up).loop().returns(None)
_sent.upon(_Inputs.gave_up).loop().returns(None)
_asking.upon(_Inputs.gave_up).loop().returns(None)
_ended.upon(_Inputs.gave_up).loop().returns(None)

_machine = _builder.build()


class ActionProtocol:
    """Tracks the state of one non-idempotent action.

    Args:
        effects: Carries out the side effects of transitions.
        peer: The target, named in outcomes.
    """

    def __init__(self, effects: ActionEffects, peer: str) -> None:
        self._effects = effects
        self._peer = peer
        self._inputs = _machine(_CallData(effects, peer))

    def start(self) -> None:
        """Starts a call whose key is new."""
        self._inputs.start()

    def recover(self) -> None:
        """Continues a call that an owner that failed may have sent."""
        self._inputs.recover()

    def intent_read(self, *, accepted: bool, why: str = "") -> None:
        """Handles the intent that was read back from the log.

        Args:
            accepted: Whether the ledger accepted the intent.
            why: Why it was rejected.
        """
        if not accepted:
            refused = Refused(
                Step.INTENT,
                Reason.NO_AUTHORITY,
                retry_after_s=NOT_SENT_RETRY_S,
                detail=f"the log did not accept the intent: {why}",
            )
            self._inputs.intent_rejected(refused)
            return
        refusal = self._effects.refusal()
        if refusal is None:
            self._inputs.authorized()
            return
        self._inputs.unauthorized(refusal)

    def give_up(self, refused: Refused) -> None:
        """Stops waiting for the log; has no effect once the call is sent.

        Args:
            refused: The outcome for the caller.
        """
        self._inputs.gave_up(refused)

    def answered(self, answer: ActionResult) -> None:
        """Handles the result of sending the call."""
        if isinstance(answer, ActionDone):
            self._inputs.completed(answer)
            return
        if isinstance(answer, ActionNotSent):
            refused = Refused(
                Step.DISPATCH,
                Reason.UNREACHABLE,
                peer=self._peer,
                retry_after_s=NOT_SENT_RETRY_S,
                detail=answer.detail,
            )
            self._inputs.not_sent(refused)
            return
        self._inputs.outcome_unknown(answer.detail)

    def looked_up(self, answer: LookupResult | None) -> None:
        """Handles the target's record; None if none was returned."""
        if answer is None or answer.state is LookupState.NO_RECORD:
            self._inputs.unresolved()
            return
        if answer.state is LookupState.NOT_RUN:
            self._inputs.not_run()
            return
        if answer.response is None:
            self._inputs.unresolved()
            return
        self._inputs.ran(answer.response)
