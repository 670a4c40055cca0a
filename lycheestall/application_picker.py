"""Chooses the application runner for an action call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .ids import TargetId
from .outcomes import Reason, Refused, Step
from .targets import ActionResult, Application

__all__ = ["ApplicationPicker", "RoundRobinPicker", "Runner"]

NO_RUNNER_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Runner:
    """One application runner.

    Attributes:
        target: The runner's id.
        application: The client of the runner.
    """

    target: TargetId
    application: Application


class ApplicationPicker(ABC):
    """Chooses among the runners of an application group."""

    @abstractmethod
    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> Runner | Refused:
        """Returns the runner for the next call.

        Args:
            group: The application group that the caller named.
            avoid: Runners that have already failed to take this call.
        """

    @abstractmethod
    def runner(self, target: TargetId) -> Runner | None:
        """Returns a runner by id, for lookups; None if it is unknown."""

    @abstractmethod
    def record_result(self, target: TargetId, result: ActionResult) -> None:
        """Records the result of a call that a picked runner was sent."""


class RoundRobinPicker(ApplicationPicker):
    """Picks each group's runners in round-robin order.

    Args:
        runners_by_group: Runners by group; read at every pick, so the
            mapping may change.
    """

    def __init__(
        self, runners_by_group: Mapping[TargetId, Sequence[Runner]]
    ) -> None:
        self._runners_by_group = runners_by_group
        self._next_index_by_group: dict[TargetId, int] = {}

    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> Runner | Refused:
        """Returns the group's next runner that is not to be avoided."""
        runners = self._runners_by_group.get(group, ())
        start = self._next_index_by_group.get(group, 0)
        for step in range(len(runners)):
            runner = runners[(start + step) % len(runners)]
            if runner.target in avoid:
                continue
            self._next_index_by_group[group] = start + step + 1
            return runner
        return Refused(
            Step.PLACE,
            Reason.NO_TARGET,
            retry_after_s=NO_RUNNER_RETRY_S,
            detail=f"no runner of {group!r} can take the call",
        )

    def runner(self, target: TargetId) -> Runner | None:
        """Returns the runner with that id, from any group."""
        for runners in self._runners_by_group.values():
            for runner in runners:
                if runner.target == target:
                    return runner
        return None

    def record_result(self, target: TargetId, result: ActionResult) -> None:
        """Does nothing: the order does not depend on results."""
