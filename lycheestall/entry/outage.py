"""Tracks outages of the store as one entry VM sees them.

During an outage, each program has one deciding VM (its decider), chosen by
rendezvous hashing over a group of the members last known from the ledger. A VM
takes part only while more than half of its group have just reported that they
know the same members and can't reach the store either. So the two sides of a
network partition never both decide on a program.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..ids import ProgramId
from .membership import MemberView, majority_size
from .peer_messages import StoreReport
from .token_ledger import HolderId

__all__ = ["OutageTracker", "OutageMode", "SurveyResult"]

AGREEMENT_VALID_S = 0.9
"""Seconds for which the reports of a majority are valid."""

RECOVERY_S = 1.2
"""Seconds after an outage in which a silent VM may still decide by an earlier
agreement, and nothing is allocated in advance; longer than
``AGREEMENT_VALID_S``."""


class OutageMode(Enum):
    """What a VM may do without the store.

    Attributes:
        NONE: Nothing; no majority has agreed on an outage.
        DECIDERS: Turns are granted by their programs' deciding VMs.
        ALONE: Nothing; the last agreement of a majority has expired.
    """

    NONE = "none"
    DECIDERS = "deciders"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class SurveyResult:
    """Result of one survey of the peers.

    Attributes:
        reaches_store: Peers that reach the store directly.
        agreeing: Number of VMs without the store, including this one, that
            know the same members.
    """

    reaches_store: tuple[HolderId, ...]
    agreeing: int


class OutageTracker:
    """Tracks an outage from one VM.

    Args:
        holder: This VM's ID in the ledger.

    Attributes:
        participated: Whether another VM may count this one as agreeing on the
            current outage.
        handed_over: Members that are shutting down and no longer decide.
        last_view: The view that determined the deciders of the last outage;
            None if there was none.
    """

    def __init__(self, holder: HolderId) -> None:
        self._holder = holder
        self._view: MemberView | None = None
        self._agreed_at = float("-inf")
        self._ended_at = float("-inf")
        self._agreeing: frozenset[HolderId] = frozenset()
        self.handed_over: set[HolderId] = set()
        self.last_view: MemberView | None = None
        self.participated = False

    def add_survey(
        self, view: MemberView, reports: Sequence[StoreReport], now: float
    ) -> SurveyResult:
        """Adds the reports of one survey.

        Args:
            view: The members that this VM knows.
            reports: The peers' reports.
            now: When the survey began.
        """
        reaching = tuple(r.holder for r in reports if r.store_up)
        group = view.group_of(self._holder)
        agreeing = {
            report.holder
            for report in reports
            if report.holder in group
            and report.store_unavailable
            and report.view == view.digest
        }
        if agreeing:
            self.participated = True
        majority = majority_size(group)
        if not reaching and group and len(agreeing) + 1 >= majority:
            self._view = view
            self._agreed_at = now
            self._agreeing = frozenset(agreeing)
        return SurveyResult(reaching, len(agreeing) + 1)

    def report_unavailable(self) -> None:
        """Notes that a peer was told that the store is unavailable."""
        self.participated = True

    def second_holders(self, program: ProgramId) -> list[HolderId]:
        """Returns the VMs that can remember a grant of this one, best first.

        They have agreed on the outage lately.

        Args:
            program: The program of the grant.
        """
        if self._view is None:
            return []
        ranking = self._view.ranking(program)
        return [holder for holder in ranking if holder in self._agreeing]

    @property
    def group(self) -> tuple[HolderId, ...]:
        """This VM's group in the view agreed on, empty without one."""
        if self._view is None:
            return ()
        return self._view.group_of(self._holder)

    def mode(self, now: float) -> OutageMode:
        """Returns what this VM may do now."""
        if self._view is None:
            return OutageMode.NONE
        if now - self._agreed_at > AGREEMENT_VALID_S:
            return OutageMode.ALONE
        return OutageMode.DECIDERS

    def decider(self, program: ProgramId, now: float) -> HolderId | None:
        """Returns a program's deciding VM, or None if it has none now."""
        if self.mode(now) is not OutageMode.DECIDERS or self._view is None:
            return None
        return self._view.decider(program, excluding=self.handed_over)

    def is_decider(self, program: ProgramId, view: str, now: float) -> bool:
        """Returns whether this VM decides, for a peer with that view."""
        if self._view is None or self._view.digest != view:
            return False
        return self.decider(program, now) == self._holder

    def was_decider(
        self, program: ProgramId, view: str, members: MemberView
    ) -> bool:
        """Returns whether only this VM could grant a program's turns.

        Args:
            program: The program.
            view: Digest of the view by which a peer chose this VM.
            members: The members that this VM knows; they are used if no view
                was agreed on, since then no other view can have had deciders.
        """
        own = self._view or self.last_view or members
        if own.digest != view:
            return False
        return own.decider(program, excluding=self.handed_over) == self._holder

    def mark_handed_over(self, holder: HolderId) -> None:
        """Notes that a member is shutting down and no longer decides."""
        self.handed_over.add(holder)

    def outage_ended(self, now: float) -> None:
        """Notes that the store is available again."""
        if self.participated:
            self._ended_at = now
            self.last_view = self._view
        self._view = None
        self._agreed_at = float("-inf")
        self._agreeing = frozenset()
        self.participated = False

    def recovering(self, now: float) -> bool:
        """Returns whether a silent VM may still decide after an outage."""
        return self.recovery_left_s(now) > 0

    def recovery_left_s(self, now: float) -> float:
        """Returns the seconds until no silent VM can decide any more."""
        return max(0.0, self._ended_at + RECOVERY_S - now)

    @property
    def view_digest(self) -> str:
        """Digest of the members agreed on, or an empty string."""
        return self._view.digest if self._view is not None else ""
