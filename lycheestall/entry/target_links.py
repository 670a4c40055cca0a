"""What a VM observes of its network links to the targets."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import TargetId

__all__ = ["LinkContact", "TargetLinks"]


@dataclass(frozen=True, slots=True)
class LinkContact:
    """How long ago a VM has last heard from targets.

    Attributes:
        target_s: Seconds since anything came from the target in question;
            infinite if nothing has.
        any_s: Seconds since anything came from any target.
    """

    target_s: float
    any_s: float


class TargetLinks:
    """Notes when something was last heard from each target."""

    def __init__(self) -> None:
        self._heard_at: dict[TargetId, float] = {}
        self._any_heard_at = float("-inf")

    def heard(self, target: TargetId, now: float) -> None:
        """Notes that a target has accepted a connection or sent data."""
        self._heard_at[target] = now
        self._any_heard_at = now

    def contact(self, target: TargetId, now: float) -> LinkContact:
        """Returns how long ago the target and any target were heard."""
        heard_at = self._heard_at.get(target, float("-inf"))
        return LinkContact(now - heard_at, now - self._any_heard_at)
