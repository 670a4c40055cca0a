"""Choosing the application runner that gets a plain call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .ids import TargetId
from .outcomes import Reason, Refused, Step
from .targets import ActionAnswer, Application

__all__ = ["ApplicationPicker", "RotatingPicker", "Runner"]

NO_RUNNER_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Runner:
    """One application runner.

    Attributes:
        target: Its id.
        application: The interface to it.
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
            avoid: Runners that this call has already tried in vain.
        """

    @abstractmethod
    def runner(self, target: TargetId) -> Runner | None:
        """Returns one runner by id, for look-ups; None when gone."""

    @abstractmethod
    def answered(self, target: TargetId, answer: ActionAnswer) -> None:
        """Hears how a picked runner fared."""


class RotatingPicker(ApplicationPicker):
    """Takes each group's runners in turn.

    Args:
        runners_by_group: Runners by group; read at every pick, so the
            mapping may change.
    """

    def __init__(
        self, runners_by_group: Mapping[TargetId, Sequence[Runner]]
    ) -> None:
        self._runners_by_group = runners_by_group
        self._turn_by_group: dict[TargetId, int] = {}

    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> Runner | Refused:
        """Returns the group's next runner that was not tried yet."""
        runners = self._runners_by_group.get(group, ())
        turn = self._turn_by_group.get(group, 0)
        for step in range(len(runners)):
            runner = runners[(turn + step) % len(runners)]
            if runner.target in avoid:
                continue
            self._turn_by_group[group] = turn + step + 1
            return runner
        return Refused(
            Step.PLACE,
            Reason.NO_TARGET,
            retry_after_s=NO_RUNNER_RETRY_S,
            detail=f"no runner of {group!r} can take the call",
        )

    def runner(self, target: TargetId) -> Runner | None:
        """Returns the runner with that id, whatever its group."""
        for runners in self._runners_by_group.values():
            for runner in runners:
                if runner.target == target:
                    return runner
        return None

    def answered(self, target: TargetId, answer: ActionAnswer) -> None:
        """Ignores the answer."""
