"""How an entry VM works while the store is away.

Every program then has one deciding VM, chosen by hashing over a group of the
members that the ledger named last. A VM takes part only while more than half
of its group have just said that they know the same members and that the
store is away from them as well: two halves that cannot talk to each other
never decide on the same program.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from ..ids import ProgramId
from .members import MemberView, majority
from .peer_messages import StoreReport
from .token_ledger import HolderId

__all__ = ["Outage", "OutageMode", "SurveyResult"]

AGREEMENT_S = 0.9
"""Seconds for which the answers of a majority count."""

AFTER_OUTAGE_S = 1.2
"""Seconds after an outage in which VMs record what they granted in it;
longer than ``AGREEMENT_S``, so that no VM still decides by then."""


class OutageMode(Enum):
    """What a VM may do without the store."""

    NONE = "none"
    DECIDERS = "deciders"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class SurveyResult:
    """Answers of peers.

    Attributes:
        reaches_store: Peers that reach the store themselves.
        agreeing: VMs, this one included, without the store that know
            the same members.
    """

    reaches_store: tuple[HolderId, ...]
    agreeing: int


class Outage:
    """Follows an outage from one VM.

    Args:
        holder: This VM's name in the ledger.
    """

    def __init__(self, holder: HolderId) -> None:
        self._holder = holder
        self._view: MemberView | None = None
        self._agreed_at = float("-inf")
        self._ended_at = float("-inf")
        self._left: set[HolderId] = set()
        self._last_view: MemberView | None = None
        self.took_part = False

    def surveyed(
        self, view: MemberView, reports: Sequence[StoreReport], now: float
    ) -> SurveyResult:
        """Takes the answers of one round.

        Args:
            view: The members that this VM knows.
            reports: Peers' answers.
            now: When the round began.
        """
        reaches = tuple(r.holder for r in reports if r.store_up)
        cell = view.cell_of(self._holder)
        agreeing = 1
        for report in reports:
            if report.holder not in cell or not report.store_away:
                continue
            if report.view == view.digest:
                agreeing += 1
        if agreeing > 1:
            self.took_part = True
        if not reaches and cell and agreeing >= majority(cell):
            self._view = view
            self._agreed_at = now
        return SurveyResult(reaches, agreeing)

    def mode(self, now: float) -> OutageMode:
        """Returns what may be done now."""
        if self._view is None:
            return OutageMode.NONE
        if now - self._agreed_at > AGREEMENT_S:
            return OutageMode.ALONE
        return OutageMode.DECIDERS

    def decider(self, program: ProgramId, now: float) -> HolderId | None:
        """Returns a program's deciding VM, None if there is none now."""
        if self.mode(now) is not OutageMode.DECIDERS or self._view is None:
            return None
        return self._view.decider(program, without=self._left)

    def decides(self, program: ProgramId, view: str, now: float) -> bool:
        """Returns whether this VM decides, for a peer with that view."""
        if self._view is None or self._view.digest != view:
            return False
        return self.decider(program, now) == self._holder

    def last_view(self, members: MemberView) -> MemberView:
        """Returns by which view deciders are found after an outage.

        Args:
            members: The members now; they count where no view was agreed
                on, since nobody could decide by another one.
        """
        return self._last_view or members

    def last_decider(
        self, program: ProgramId, members: MemberView
    ) -> HolderId | None:
        """Returns who alone could decide on a program in the outage."""
        view = self.last_view(members)
        return view.decider(program, without=self._left)

    def decided(
        self, program: ProgramId, view: str, members: MemberView, now: float
    ) -> bool:
        """Returns whether this VM alone could grant a program's turns.

        Args:
            program: The program.
            view: Digest of the view by which a peer found this VM.
            members: The members that this VM knows.
            now: The time.
        """
        own = self._view
        if own is None and self.settling(now):
            own = self._last_view
        own = own or members
        if own.digest != view:
            return False
        return own.decider(program, without=self._left) == self._holder

    def handed_over(self, holder: HolderId) -> None:
        """Notes that a member has stopped and decides no more."""
        self._left.add(holder)

    def ended(self, now: float) -> None:
        """Notes that the store is back."""
        if self.took_part:
            self._ended_at = now
            self._last_view = self._view
        self._view = None
        self._agreed_at = float("-inf")
        self.took_part = False

    def settling(self, now: float) -> bool:
        """Returns whether grants of an outage may still be unrecorded."""
        return self.settles_in_s(now) > 0

    def settles_in_s(self, now: float) -> float:
        """Returns the seconds until all grants of an outage are recorded."""
        return max(0.0, self._ended_at + AFTER_OUTAGE_S - now)

    @property
    def view_digest(self) -> str:
        """Digest of the members agreed on."""
        return self._view.digest if self._view is not None else ""
