"""The protocol of one non-idempotent call, as a state machine.

The intent is written and read back from the log, authority is checked
right before the socket, the call is sent once, and its outcome is
written. A call that was given up before it was sent is answered as not
run at once; should its intent come back later, it is voided and never
sent. A call that was sent and not answered may have run; the target's
own record, where it keeps one, may settle that.
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
    """What the protocol does to the world."""

    @abstractmethod
    def write_intent(self) -> None:
        """Writes the intent; ``ActionProtocol.intent_read`` follows."""

    @abstractmethod
    def refusal(self) -> Refused | None:
        """Returns why the call may not be sent at this moment."""

    @abstractmethod
    def send(self) -> None:
        """Sends the call, once; ``ActionProtocol.answered`` follows."""

    @abstractmethod
    def look_up(self) -> None:
        """Asks the target; ``ActionProtocol.looked_up`` follows."""

    @abstractmethod
    def write_outcome(self, answer: ActionDone) -> None:
        """Writes the outcome."""

    @abstractmethod
    def void_intent(self, *, closed: bool) -> None:
        """Writes that the call was not sent, or was closed unrun."""

    @abstractmethod
    def finish(self, outcome: Outcome, answer: ActionDone | None) -> None:
        """Gives the caller the final outcome; called exactly once."""


class _Inputs(Protocol):
    def start(self) -> None:
        """The call is new."""

    def adopt(self) -> None:
        """The intent is in the log; its sender is lost."""

    def cleared(self) -> None:
        """The intent was read back and authority holds."""

    def halted(self, refused: Refused) -> None:
        """The intent was read back and authority is gone."""

    def intent_refused(self, refused: Refused) -> None:
        """The fold did not accept the intent."""

    def gave_up(self, refused: Refused) -> None:
        """The call waits no longer."""

    def done(self, answer: ActionDone) -> None:
        """The target answered."""

    def not_sent(self, refused: Refused) -> None:
        """Nothing reached the target."""

    def unknown(self, detail: str) -> None:
        """The call was sent and not answered."""

    def ran(self, answer: ActionDone) -> None:
        """The target's record has the answer."""

    def not_run(self) -> None:
        """The target vouches that the call never runs."""

    def unsettled(self) -> None:
        """The target's record says nothing."""


@dataclass(slots=True)
class _Core:
    effects: ActionEffects
    peer: str
    detail: str = ""


_builder = TypeMachineBuilder(_Inputs, _Core)
_new = _builder.state("new")
_recording = _builder.state("recording")
_given_up = _builder.state("given_up")
_sent = _builder.state("sent")
_asking = _builder.state("asking")
_ended = _builder.state("ended")


@_new.upon(_Inputs.start).to(_recording)
def _write_intent(inputs: _Inputs, core: _Core) -> None:
    core.effects.write_intent()


@_new.upon(_Inputs.adopt).to(_asking)
def _ask(inputs: _Inputs, core: _Core) -> None:
    core.effects.look_up()


@_recording.upon(_Inputs.cleared).to(_sent)
def _send(inputs: _Inputs, core: _Core) -> None:
    core.effects.send()


@_recording.upon(_Inputs.halted).to(_ended)
def _halt(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    core.effects.void_intent(closed=False)
    core.effects.finish(refused, None)


@_recording.upon(_Inputs.intent_refused).to(_ended)
def _refuse(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    core.effects.finish(refused, None)


@_recording.upon(_Inputs.gave_up).to(_given_up)
def _give_up(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    core.effects.finish(refused, None)


@_given_up.upon(_Inputs.cleared).to(_ended)
def _void_cleared(inputs: _Inputs, core: _Core) -> None:
    core.effects.void_intent(closed=False)


@_given_up.upon(_Inputs.halted).to(_ended)
def _void_halted(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    core.effects.void_intent(closed=False)


@_given_up.upon(_Inputs.intent_refused).to(_ended)
def _nothing_to_void(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    """The intent did not take effect."""


@_sent.upon(_Inputs.done).to(_ended)
def _complete(inputs: _Inputs, core: _Core, answer: ActionDone) -> None:
    core.effects.write_outcome(answer)
    core.effects.finish(Completed(peer=core.peer), answer)


@_sent.upon(_Inputs.not_sent).to(_ended)
def _void_unsent(inputs: _Inputs, core: _Core, refused: Refused) -> None:
    core.effects.void_intent(closed=False)
    core.effects.finish(refused, None)


@_sent.upon(_Inputs.unknown).to(_asking)
def _ask_after_loss(inputs: _Inputs, core: _Core, detail: str) -> None:
    core.detail = detail
    core.effects.look_up()


@_asking.upon(_Inputs.ran).to(_ended)
def _settle_as_run(inputs: _Inputs, core: _Core, answer: ActionDone) -> None:
    core.effects.write_outcome(answer)
    core.effects.finish(Completed(peer=core.peer), answer)


@_asking.upon(_Inputs.not_run).to(_ended)
def _settle_as_not_run(inputs: _Inputs, core: _Core) -> None:
    core.effects.void_intent(closed=True)
    refused = Refused(
        Step.DISPATCH,
        Reason.TARGET_FAILED,
        peer=core.peer,
        detail="the target closed the key without running the call",
        needs="a new idempotency key",
    )
    core.effects.finish(refused, None)


@_asking.upon(_Inputs.unsettled).to(_ended)
def _leave_unsettled(inputs: _Inputs, core: _Core) -> None:
    failed = Failed(
        Step.DISPATCH,
        Reason.MAY_HAVE_RUN,
        peer=core.peer,
        detail=core.detail or "the call was sent and no answer is known",
    )
    core.effects.finish(failed, None)


_given_up.upon(_Inputs.gave_up).loop().returns(None)
_sent.upon(_Inputs.gave_up).loop().returns(None)
_asking.upon(_Inputs.gave_up).loop().returns(None)
_ended.upon(_Inputs.gave_up).loop().returns(None)

_machine = _builder.build()


class ActionProtocol:
    """Runs one non-idempotent call through its states.

    Args:
        effects: What the states do.
        peer: The target, for outcomes.
    """

    def __init__(self, effects: ActionEffects, peer: str) -> None:
        self._effects = effects
        self._peer = peer
        self._inputs = _machine(_Core(effects, peer))

    def start(self) -> None:
        """Begins a call whose key is new."""
        self._inputs.start()

    def adopt(self) -> None:
        """Takes up a call that a lost owner may have sent."""
        self._inputs.adopt()

    def intent_read(self, *, accepted: bool, why: str = "") -> None:
        """The intent was read back from the log.

        Args:
            accepted: Whether the fold accepted it.
            why: Why not.
        """
        if not accepted:
            refused = Refused(
                Step.INTENT,
                Reason.NO_AUTHORITY,
                retry_after_s=NOT_SENT_RETRY_S,
                detail=f"the log did not accept the intent: {why}",
            )
            self._inputs.intent_refused(refused)
            return
        halted = self._effects.refusal()
        if halted is None:
            self._inputs.cleared()
            return
        self._inputs.halted(halted)

    def give_up(self, refused: Refused) -> None:
        """Ends the wait for the log; nothing once the call was sent.

        Args:
            refused: What the caller is told.
        """
        self._inputs.gave_up(refused)

    def answered(self, answer: ActionResult) -> None:
        """Takes what came of sending the call."""
        if isinstance(answer, ActionDone):
            self._inputs.done(answer)
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
        self._inputs.unknown(answer.detail)

    def looked_up(self, answer: LookupResult | None) -> None:
        """Takes the target's own record, None when it offers none."""
        if answer is None or answer.state is LookupState.NO_RECORD:
            self._inputs.unsettled()
            return
        if answer.state is LookupState.NOT_RUN:
            self._inputs.not_run()
            return
        if answer.response is None:
            self._inputs.unsettled()
            return
        self._inputs.ran(answer.response)
