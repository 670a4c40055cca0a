"""State machine of a session in its cell, from join to end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["SessionEffects", "SessionLifecycle", "SessionState"]


class SessionState(Enum):
    """The state of a session."""

    JOINING = "joining"
    JOINED = "joined"
    DRAINING = "draining"
    LEAVING = "leaving"
    ENDED = "ended"


_ACTIVE = frozenset({SessionState.JOINED, SessionState.DRAINING})


class SessionEffects(ABC):
    """Actions of a session on its state changes."""

    @abstractmethod
    def start_service(self) -> None:
        """Starts renewals and claims after the join."""

    @abstractmethod
    def start_drain(self) -> None:
        """Starts to hand over all partitions."""

    @abstractmethod
    def write_leave(self) -> None:
        """Writes the leave record; the session answers no more heartbeats."""

    @abstractmethod
    def close(self, reason: str) -> None:
        """Gives up all partitions and notifies the agent; called once."""


class _Inputs(Protocol):
    def joined(self) -> None:
        """The join record was accepted."""

    def drain(self) -> None:
        """The daemon shuts down gracefully."""

    def handovers_finished(self) -> None:
        """No partition is left to hand over, or the time limit has passed."""

    def end(self, reason: str) -> None:
        """The session has ended."""


@dataclass(slots=True)
class _MachineData:
    effects: SessionEffects
    state: SessionState = SessionState.JOINING


_builder = TypeMachineBuilder(_Inputs, _MachineData)
_joining = _builder.state("joining")
_joined = _builder.state("joined")
_draining = _builder.state("draining")
_leaving = _builder.state("leaving")
_ended = _builder.state("ended")


@_joining.upon(_Inputs.joined).to(_joined)
def _start_service(inputs: _Inputs, data: _MachineData) -> None:
    data.state = SessionState.JOINED
    data.effects.start_service()


@_joining.upon(_Inputs.drain).to(_ended)
def _abort_join(inputs: _Inputs, data: _MachineData) -> None:
    data.state = SessionState.ENDED
    data.effects.close("the daemon stops")


@_joined.upon(_Inputs.drain).to(_draining)
def _start_drain(inputs: _Inputs, data: _MachineData) -> None:
    data.state = SessionState.DRAINING
    data.effects.start_drain()


@_draining.upon(_Inputs.handovers_finished).to(_leaving)
def _write_leave(inputs: _Inputs, data: _MachineData) -> None:
    data.state = SessionState.LEAVING
    data.effects.write_leave()


def _close(inputs: _Inputs, data: _MachineData, reason: str) -> None:
    data.state = SessionState.ENDED
    data.effects.close(reason)


for _state in (_joining, _joined, _draining, _leaving):
    _state.upon(_Inputs.end).to(_ended)(_close)

_ended.upon(_Inputs.joined).loop().returns(None)
_ended.upon(_Inputs.end).loop().returns(None)
for _state in (_draining, _leaving, _ended):
    _state.upon(_Inputs.drain).loop().returns(None)
for _state in (_joined, _leaving, _ended):
    _state.upon(_Inputs.handovers_finished).loop().returns(None)

_machine = _builder.build()


class SessionLifecycle:
    """Keeps a session's state and runs the effects of its transitions.

    Args:
        effects: Called on state changes.
    """

    def __init__(self, effects: SessionEffects) -> None:
        self._data = _MachineData(effects)
        self._inputs = _machine(self._data)

    @property
    def state(self) -> SessionState:
        """The session's state."""
        return self._data.state

    @property
    def active(self) -> bool:
        """Whether the session has joined and is not leaving."""
        return self._data.state in _ACTIVE

    def joined(self) -> None:
        """Handles the accepted join."""
        self._inputs.joined()

    def drain(self) -> None:
        """Starts the graceful shutdown."""
        self._inputs.drain()

    def handovers_finished(self) -> None:
        """Handles the end of the handovers."""
        self._inputs.handovers_finished()

    def end(self, reason: str) -> None:
        """Ends the session, whatever its state.

        Args:
            reason: Logged, and given to callers that wait for a record.
        """
        self._inputs.end(reason)
