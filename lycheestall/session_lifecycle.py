"""The states of a session in its cell, from join to end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from automat import TypeMachineBuilder

__all__ = ["SessionEffects", "SessionLifecycle", "SessionState"]


class SessionState(Enum):
    """How far a session has come."""

    JOINING = "joining"
    JOINED = "joined"
    DRAINING = "draining"
    LEAVING = "leaving"
    ENDED = "ended"


_ACTIVE = frozenset({SessionState.JOINED, SessionState.DRAINING})


class SessionEffects(ABC):
    """What a session does when its state changes."""

    @abstractmethod
    def begin_service(self) -> None:
        """The session has joined: renew, claim, take over."""

    @abstractmethod
    def begin_drain(self) -> None:
        """Give everything away."""

    @abstractmethod
    def write_leave(self) -> None:
        """Write the leave record; from now on answer no heartbeat."""

    @abstractmethod
    def close(self, why: str) -> None:
        """Lose everything and tell the agent; called exactly once."""


class _Inputs(Protocol):
    def joined(self) -> None:
        """The join record was accepted."""

    def drain(self) -> None:
        """The daemon shuts down gracefully."""

    def emptied(self) -> None:
        """Nothing is left to give away, or the time for it is up."""

    def end(self, why: str) -> None:
        """The session is over."""


@dataclass(slots=True)
class _Core:
    effects: SessionEffects
    state: SessionState = SessionState.JOINING


_builder = TypeMachineBuilder(_Inputs, _Core)
_joining = _builder.state("joining")
_joined = _builder.state("joined")
_draining = _builder.state("draining")
_leaving = _builder.state("leaving")
_ended = _builder.state("ended")


@_joining.upon(_Inputs.joined).to(_joined)
def _begin_service(inputs: _Inputs, core: _Core) -> None:
    core.state = SessionState.JOINED
    core.effects.begin_service()


@_joining.upon(_Inputs.drain).to(_ended)
def _give_up_joining(inputs: _Inputs, core: _Core) -> None:
    core.state = SessionState.ENDED
    core.effects.close("the daemon stops")


@_joined.upon(_Inputs.drain).to(_draining)
def _begin_drain(inputs: _Inputs, core: _Core) -> None:
    core.state = SessionState.DRAINING
    core.effects.begin_drain()


@_draining.upon(_Inputs.emptied).to(_leaving)
def _write_leave(inputs: _Inputs, core: _Core) -> None:
    core.state = SessionState.LEAVING
    core.effects.write_leave()


def _close(inputs: _Inputs, core: _Core, why: str) -> None:
    core.state = SessionState.ENDED
    core.effects.close(why)


for _state in (_joining, _joined, _draining, _leaving):
    _state.upon(_Inputs.end).to(_ended)(_close)

_ended.upon(_Inputs.joined).loop().returns(None)
_ended.upon(_Inputs.end).loop().returns(None)
for _state in (_draining, _leaving, _ended):
    _state.upon(_Inputs.drain).loop().returns(None)
for _state in (_joined, _leaving, _ended):
    _state.upon(_Inputs.emptied).loop().returns(None)

_machine = _builder.build()


class SessionLifecycle:
    """Tells what a session may do, and starts what follows.

    Args:
        effects: What is done on a change.
    """

    def __init__(self, effects: SessionEffects) -> None:
        self._core = _Core(effects)
        self._inputs = _machine(self._core)

    @property
    def state(self) -> SessionState:
        """How far the session has come."""
        return self._core.state

    @property
    def active(self) -> bool:
        """Whether the session is in force: joined and not leaving."""
        return self._core.state in _ACTIVE

    def joined(self) -> None:
        """Takes the accepted join."""
        self._inputs.joined()

    def drain(self) -> None:
        """Begins the graceful end."""
        self._inputs.drain()

    def emptied(self) -> None:
        """Takes the end of the handovers."""
        self._inputs.emptied()

    def end(self, why: str) -> None:
        """Ends the session, whatever its state.

        Args:
            why: For logs and for whoever waits for a record.
        """
        self._inputs.end(why)
