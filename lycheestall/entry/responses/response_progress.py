"""How far the response to one request has come, and what may follow."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["Effect", "ResponseProgress", "ResponseState", "ResponseStep"]


class ResponseState(Enum):
    """What the caller has received of a response.

    Attributes:
        UNSENT: Nothing.
        STARTED: The head, and possibly a part of the body.
        COMPLETE: All of it.
        BROKEN_OFF: Nothing or a part; its connection was reset.
        CALLER_LEFT: Nothing or a part; the caller closed the connection.
    """

    UNSENT = "unsent"
    STARTED = "started"
    COMPLETE = "complete"
    BROKEN_OFF = "broken off"
    CALLER_LEFT = "caller left"


class ResponseStep(Enum):
    """What is done to a response.

    Attributes:
        RESPOND: A complete response is sent.
        START: The head is sent.
        WRITE: A part of the body is sent.
        FINISH: The body is ended.
        ABORT: The response is broken off.
        DISCONNECT: The caller closes the connection.
    """

    RESPOND = "respond"
    START = "start"
    WRITE = "write"
    FINISH = "finish"
    ABORT = "abort"
    DISCONNECT = "disconnect"


class Effect(Enum):
    """What a step does to the connection.

    Attributes:
        TAKE: What the step stands for is done.
        BREAK_OFF: The connection is reset, so that what was sent does not
            look complete.
        DROP: Nothing; the response has ended.
    """

    TAKE = "take"
    BREAK_OFF = "break off"
    DROP = "drop"


@dataclass(frozen=True, slots=True)
class Transition:
    """The outcome of a step.

    Attributes:
        effect: What it does to the connection.
        state: The state after it.
        misuse: Whether only a defect of this program leads to it.
    """

    effect: Effect
    state: ResponseState
    misuse: bool = False


_COMPLETE = Transition(Effect.TAKE, ResponseState.COMPLETE)
_STARTED = Transition(Effect.TAKE, ResponseState.STARTED)
_LEFT = Transition(Effect.TAKE, ResponseState.CALLER_LEFT)
_BROKEN_OFF = Transition(Effect.BREAK_OFF, ResponseState.BROKEN_OFF)
_BROKEN_BY_MISUSE = Transition(
    Effect.BREAK_OFF, ResponseState.BROKEN_OFF, misuse=True
)
_SECOND_RESPONSE = Transition(Effect.DROP, ResponseState.COMPLETE, misuse=True)

_Steps = dict[ResponseStep, Transition]


def _dropped(state: ResponseState) -> _Steps:
    transition = Transition(Effect.DROP, state)
    return dict.fromkeys(ResponseStep, transition)


_STEPS_BY_STATE: dict[ResponseState, _Steps] = {
    ResponseState.UNSENT: {
        ResponseStep.RESPOND: _COMPLETE,
        ResponseStep.START: _STARTED,
        ResponseStep.WRITE: _BROKEN_BY_MISUSE,
        ResponseStep.FINISH: _BROKEN_BY_MISUSE,
        ResponseStep.ABORT: _BROKEN_OFF,
        ResponseStep.DISCONNECT: _LEFT,
    },
    ResponseState.STARTED: {
        # A request may end at any time, whatever was sent of its response.
        ResponseStep.RESPOND: _BROKEN_OFF,
        ResponseStep.START: _BROKEN_BY_MISUSE,
        ResponseStep.WRITE: _STARTED,
        ResponseStep.FINISH: _COMPLETE,
        ResponseStep.ABORT: _BROKEN_OFF,
        ResponseStep.DISCONNECT: _LEFT,
    },
    ResponseState.COMPLETE: {
        # The connection may carry the next response already.
        **_dropped(ResponseState.COMPLETE),
        ResponseStep.RESPOND: _SECOND_RESPONSE,
        ResponseStep.START: _SECOND_RESPONSE,
        ResponseStep.WRITE: _SECOND_RESPONSE,
        ResponseStep.FINISH: _SECOND_RESPONSE,
    },
    ResponseState.BROKEN_OFF: _dropped(ResponseState.BROKEN_OFF),
    ResponseState.CALLER_LEFT: _dropped(ResponseState.CALLER_LEFT),
}


class ResponseProgress:
    """The state of one response, which only its steps change.

    Attributes:
        state: The state.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = ResponseState.UNSENT

    @property
    def started(self) -> bool:
        """Whether the head was sent, but not yet the whole response."""
        return self.state is ResponseState.STARTED

    @property
    def ended(self) -> bool:
        """Whether nothing more can be sent."""
        return self.state not in (ResponseState.UNSENT, ResponseState.STARTED)

    def take(self, step: ResponseStep) -> Transition:
        """Takes a step.

        Args:
            step: The step.

        Returns:
            What it does to the connection; the state is changed already.
        """
        transition = _STEPS_BY_STATE[self.state][step]
        self.state = transition.state
        return transition
