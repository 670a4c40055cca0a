"""Chooses the target of an action call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from .ids import TargetId
from .outcomes import Reason, Refused, Step
from .targets import ActionResult, Application

__all__ = ["ApplicationPicker", "ApplicationTarget", "RoundRobinPicker"]

NO_TARGET_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class ApplicationTarget:
    """A target of action calls.

    Attributes:
        target: The target's id.
        application: The client of the target.
    """

    target: TargetId
    application: Application


class ApplicationPicker(ABC):
    """Chooses among the targets of an application group."""

    @abstractmethod
    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> ApplicationTarget | Refused:
        """Returns the target of the next call.

        Args:
            group: The application group that the caller named.
            avoid: Targets that have already failed to take this call.
        """

    @abstractmethod
    def find(self, target: TargetId) -> ApplicationTarget | None:
        """Returns a target by id, for lookups; None if it is unknown."""

    @abstractmethod
    def record_result(self, target: TargetId, result: ActionResult) -> None:
        """Records the result of a call that a picked target was sent."""


class RoundRobinPicker(ApplicationPicker):
    """Picks each group's targets in round-robin order.

    Args:
        targets_by_group: Targets by group; read at every pick, so the
            mapping may change.
    """

    def __init__(
        self, targets_by_group: Mapping[TargetId, Sequence[ApplicationTarget]]
    ) -> None:
        self._targets_by_group = targets_by_group
        self._next_index_by_group: dict[TargetId, int] = {}

    def pick(
        self, group: TargetId, avoid: frozenset[TargetId]
    ) -> ApplicationTarget | Refused:
        """Returns the group's next target that is not to be avoided."""
        targets = self._targets_by_group.get(group, ())
        start = self._next_index_by_group.get(group, 0)
        for step in range(len(targets)):
            candidate = targets[(start + step) % len(targets)]
            if candidate.target in avoid:
                continue
            self._next_index_by_group[group] = start + step + 1
            return candidate
        return Refused(
            Step.PLACE,
            Reason.NO_TARGET,
            retry_after_s=NO_TARGET_RETRY_S,
            detail=f"no runner of {group!r} can take the call",
        )

    def find(self, target: TargetId) -> ApplicationTarget | None:
        """Returns the target with that id, from any group."""
        for targets in self._targets_by_group.values():
            for candidate in targets:
                if candidate.target == target:
                    return candidate
        return None

    def record_result(self, target: TargetId, result: ActionResult) -> None:
        """Does nothing: the order does not depend on results."""
