"""How a request ends that no target has answered."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Ending"]


@dataclass(frozen=True, slots=True)
class Ending:
    """What is known at the end of a request.

    Attributes:
        status: Status code for the caller, if nothing was sent to it yet.
        reason: Text for the caller in that case, and for the log.
        retry_after_s: When the caller is to come back, if that may help.
        outcome: Text for the log in its place; empty to use the reason.
        outcome_if_started: The same if a part of the response was sent, which
            is broken off.
    """

    status: int
    reason: str
    retry_after_s: float | None = None
    outcome: str = ""
    outcome_if_started: str = ""

    def logged_outcome(self, *, started: bool) -> str:
        """Returns the text for the log.

        Args:
            started: Whether a part of the response was sent before.
        """
        if started and self.outcome_if_started:
            return self.outcome_if_started
        return self.outcome or self.reason
