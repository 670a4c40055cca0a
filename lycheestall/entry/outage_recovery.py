"""Finds a program's unrecorded grants before its turns go by the ledger."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, ensureDeferred

from ..ids import ProgramId
from ..logs import Logger
from .membership import Members, MemberView, tolerated_losses
from .outage import RECOVERY_S, OutageTracker
from .outages.settled_groups import RECOVERY_LIMIT_S, SettledGroups
from .peer_rpc import PeerClient
from .token_ledger import HolderId
from .token_messages import AskUnrecorded, UnrecordedReport
from .unrecorded_grants import UnrecordedGrants

__all__ = ["GrantKnowledge", "OutageRecovery"]

REPORT_TIMEOUT_S = 0.3
"""Timeout of a peer's report."""

DOUBT_S = 2.0
"""Seconds for which a group is not asked again after too many of its VMs were
silent."""

RETRY_S = 0.3
"""Retry delay for a caller whose program's grants are not known yet."""


class GrantKnowledge(Enum):
    """What a VM knows of a program's unrecorded grants.

    Attributes:
        KNOWN: All of them.
        UNKNOWN: Not all; more may be granted or reported soon.
        DOUBTFUL: Not all; too many VMs that may know of them are lost.
    """

    KNOWN = "known"
    UNKNOWN = "unknown"
    DOUBTFUL = "doubtful"


class OutageRecovery:
    """Asks other VMs for unrecorded grants after an outage or a start.

    A program's deciding VM knows of all its grants. Without a report of that
    VM, the whole group is asked: each grant is known to two of its VMs.

    Args:
        holder: This VM's ID in the ledger.
        outage: Tracks outages of the store.
        members: The VMs of the system.
        grants: Receives the grants.
        settled: Groups without unrecorded grants.
        peers: Calls other VMs.
        clock: Provides the time.
        logger: Receives what was found out.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        outage: OutageTracker,
        members: Members,
        grants: UnrecordedGrants,
        settled: SettledGroups,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._holder = holder
        self._outage = outage
        self._members = members
        self._grants = grants
        self._settled = settled
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._began_at = float("-inf")
        self._knows_own = False
        self._known_programs: set[ProgramId] = set()
        self._settled_deciders: set[HolderId] = set()
        self._doubt_until: dict[tuple[HolderId, ...], float] = {}

    def begin(self, *, knows_own: bool) -> None:
        """Notes that grants may be unrecorded from now on.

        Args:
            knows_own: Whether this VM knows all grants of the programs that it
                decided on.
        """
        self._knows_own = knows_own
        self._began_at = self._clock.seconds()
        self._known_programs.clear()
        self._settled_deciders.clear()
        self._doubt_until.clear()
        self._settled.begin()

    def step(self) -> None:
        """Notes that this VM runs."""
        self._note_suspension()
        self._settled.step()

    def _note_suspension(self) -> None:
        if self._settled.suspended():
            self._logger.warning(
                "this VM was suspended; asking peers for unrecorded grants"
            )
            self.begin(knows_own=False)

    def is_settled(self, program: ProgramId) -> bool:
        """Returns whether all unrecorded grants of a program are known."""
        self._note_suspension()
        if self._outage.participated:
            return False
        if self._clock.seconds() - self._began_at > RECOVERY_LIMIT_S:
            return True
        if program in self._known_programs or self._settled.has(program):
            return True
        return self._decider(program) in self._settled_deciders

    def retry_s(self) -> float:
        """Returns the retry delay for a caller whose grants are unknown."""
        return max(RETRY_S, self._waits_for_silent_s())

    async def find(self, program: ProgramId) -> GrantKnowledge:
        """Collects a program's unrecorded grants from other VMs.

        A VM that vouches for the group is enough, whoever else is silent.

        Args:
            program: The program.
        """
        vouched = self._settled.ask(program)
        found = ensureDeferred(self._find(program))
        first: list[Deferred[Any]] = [found, vouched]
        await DeferredList(
            first,
            fireOnOneCallback=True,
            fireOnOneErrback=True,
            consumeErrors=True,
        )
        if vouched.called:
            return GrantKnowledge.KNOWN
        vouched.cancel()
        return await found

    async def _find(self, program: ProgramId) -> GrantKnowledge:
        view = self._outage.last_view
        knowledge = GrantKnowledge.UNKNOWN
        if view is not None:
            knowledge = await self._ask_decider(program, view)
        if knowledge is GrantKnowledge.UNKNOWN:
            knowledge = await self._ask_group(program)
        if knowledge is not GrantKnowledge.UNKNOWN:
            self._known_programs.add(program)
        self._logger.info(
            "looked for grants of an outage",
            program=program,
            result=knowledge.value,
            tokens=self._grants.tokens(program),
        )
        return knowledge

    def _decider(self, program: ProgramId) -> HolderId | None:
        view = self._outage.last_view or self._members.view()
        return view.decider(program, excluding=self._outage.handed_over)

    async def _ask_decider(
        self, program: ProgramId, view: MemberView
    ) -> GrantKnowledge:
        decider = self._decider(program)
        if decider is None:
            return GrantKnowledge.UNKNOWN
        if decider == self._holder:
            lost = self._members.may_have_lost_grants(program)
            if self._knows_own and not lost:
                return GrantKnowledge.KNOWN
            return GrantKnowledge.UNKNOWN
        reports = await self._reports([decider], program, view)
        for report in reports:
            if report.holder != decider or not report.was_decider:
                continue
            if report.clean:
                self._settled_deciders.add(decider)
            return GrantKnowledge.KNOWN
        return GrantKnowledge.UNKNOWN

    async def _ask_group(self, program: ProgramId) -> GrantKnowledge:
        view = self._outage.last_view or self._members.view()
        group = view.group_for(program)
        if self._clock.seconds() < self._doubt_until.get(group, 0.0):
            return GrantKnowledge.DOUBTFUL
        others = [
            holder
            for holder in group
            if holder != self._holder
            and holder not in self._outage.handed_over
        ]
        reports = await self._reports(others, program, view)
        knowledge = self._judge(group, others, reports)
        if knowledge is GrantKnowledge.DOUBTFUL:
            self._doubt_until[group] = self._clock.seconds() + DOUBT_S
            return knowledge
        all_clean = all(report.clean for report in reports)
        group_id = self._members.view().group_id(program)
        same_groups = view.group_id(program) == group_id
        if knowledge is GrantKnowledge.KNOWN and all_clean and same_groups:
            self._settled.add(program)
        return knowledge

    def _judge(
        self,
        group: tuple[HolderId, ...],
        others: Sequence[HolderId],
        reports: Sequence[UnrecordedReport],
    ) -> GrantKnowledge:
        if any(report.deciding for report in reports):
            return GrantKnowledge.UNKNOWN
        # A process that has started again replies with another ID.
        replied = sum(report.holder in others for report in reports)
        lost = len(others) - replied
        after_outage = self._outage.last_view is not None
        if lost and after_outage and self._waits_for_silent_s() > 0:
            return GrantKnowledge.UNKNOWN
        lost += len(self._members.crashed_in(group))
        if lost > tolerated_losses(group):
            return GrantKnowledge.DOUBTFUL
        return GrantKnowledge.KNOWN

    async def _reports(
        self, holders: Sequence[HolderId], program: ProgramId, view: MemberView
    ) -> list[UnrecordedReport]:
        message = AskUnrecorded(self._holder, view.digest, program)
        members = [self._members.get(holder) for holder in holders]
        calls = [
            self._peers.call(
                member.address, message, timeout_s=REPORT_TIMEOUT_S
            )
            for member in members
            if member is not None
        ]
        replies = await DeferredList(calls, consumeErrors=True)
        reports = [
            reply
            for ok, reply in replies
            if ok and isinstance(reply, UnrecordedReport)
        ]
        now = self._clock.seconds()
        for report in reports:
            self._grants.add_all(report.grants, now=now)
        return reports

    def _waits_for_silent_s(self) -> float:
        # Until then a silent VM may grant turns by an earlier agreement.
        return float(self._began_at + RECOVERY_S - self._clock.seconds())
