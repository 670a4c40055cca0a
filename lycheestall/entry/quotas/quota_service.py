"""Keeps all VMs together to the quotas of the accounts.

One VM decides on the requests of each account: the others ask it for a
permit before they send one. The second VM of the ranking stands in where
the first is not reached, with a small share of the quota.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from ...ids import ProgramId
from ...logs import Logger
from ..accounts import Account, AccountId
from ..configuration import Configuration
from ..membership import Member, Members
from ..peer_messages import PeerReply, Understood
from ..peer_rpc import PeerClient
from ..token_ledger import HolderId
from ..vm_settings import Address, QuotaSettings
from .account_decider import decode_refusal
from .account_ranking import DECIDERS, AccountRanking
from .account_terms import AccountTerms
from .quota_decisions import QuotaDecisions
from .quota_log import QuotaLog
from .quota_messages import (
    AskQuota,
    HoldQuota,
    QuotaAnswer,
    QuotaHeld,
    ReturnedPermits,
    ReturnQuota,
)
from .quota_permit import QuotaDenied, QuotaPermit
from .quota_shares import own_share_holders, valid_s
from .quota_terms import QuotaTerms

__all__ = ["QuotaService"]

ASK_TIMEOUT_S = 0.15
"""Timeout of a call to a deciding VM."""

FORWARD_TIMEOUT_S = 0.1
"""Timeout of the stand-in's own call to the first VM; shorter than
``ASK_TIMEOUT_S``, so that the stand-in can still reply in time."""

HOLD_TIMEOUT_S = 0.3
"""Timeout of a call for a confirmation."""

RETURN_TIMEOUT_S = 0.5
"""Timeout of a call that gives permits back."""

SILENT_S = 1.0
"""Seconds in which a VM that did not reply is not asked again."""

MAX_BEGUN = 4096
"""Programs that this VM remembers as begun, those granted last."""


class QuotaService:
    """Gets permits for this VM's requests, and decides for other VMs.

    Args:
        holder: This VM's ID in the ledger.
        settings: How exactly the quotas are kept.
        first_start: Whether the whole system starts for the first time.
        configuration: Returns the configuration in force.
        members: The VMs of the system.
        peers: Calls them.
        clock: Tells the time, also across a suspension of the VM.
        logger: Receives deciding VMs that don't reply.
        log: Counts messages.
    """

    def __init__(
        self,
        *,
        holder: HolderId,
        settings: QuotaSettings,
        first_start: bool,
        configuration: Callable[[], Configuration | None],
        members: Members,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
        log: QuotaLog,
    ) -> None:
        self._holder = holder
        self._valid_s = valid_s(settings)
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._log = log
        self._ranking = AccountRanking(
            members, size=DECIDERS + own_share_holders(settings)
        )
        self._decisions = QuotaDecisions(
            holder=holder,
            settings=settings,
            terms=AccountTerms(configuration),
            ranking=self._ranking,
            # The settings may still say so when all VMs start again.
            first_start=lambda: first_start and not _have_restarted(members),
            now=clock.seconds(),
        )
        self._silent_until: dict[HolderId, float] = {}
        self._begun: OrderedDict[tuple[AccountId, str], None] = OrderedDict()
        self._unsent: defaultdict[HolderId, list[ReturnedPermits]]
        self._unsent = defaultdict(list)

    async def acquire(
        self,
        account: Account,
        program: ProgramId | None,
        *,
        version: int,
        starts_program: bool,
        max_wait_s: float,
        remaining_s: float,
    ) -> QuotaPermit | QuotaDenied:
        """Returns a permit for one attempt at a target.

        Args:
            account: The account.
            program: The request's program; None without one.
            version: Version of the configuration that the account is from.
            starts_program: Whether nothing shows that the program has begun.
            max_wait_s: Seconds that the request would wait.
            remaining_s: Seconds until its deadline.
        """
        begun = (account.account, program) in self._begun
        message = AskQuota(
            self._holder,
            account.account,
            QuotaTerms.of(account, version),
            program,
            begun or not starts_program,
            max_wait_s,
            remaining_s,
        )
        asked_at = self._clock.seconds()
        answer = await self._ask(message)
        return self._decided(message, answer, asked_at)

    def give_back(self, permit: QuotaPermit) -> None:
        """Gives back a permit whose request has certainly not run."""
        returned = ReturnedPermits(permit.account, permit.granted_at, 1)
        if permit.decider == self._holder:
            self._decisions.take_back(returned, self._clock.seconds())
            return
        self._unsent[permit.decider].append(returned)

    async def handle(
        self, message: AskQuota | ReturnQuota | HoldQuota
    ) -> QuotaAnswer | Understood | QuotaHeld:
        """Returns the reply to a message."""
        if isinstance(message, AskQuota):
            return await self._answer(message)
        now = self._clock.seconds()
        if isinstance(message, HoldQuota):
            return self._decisions.hold(message, now)
        if message.decider == self._holder:
            for returned in message.returned:
                self._decisions.take_back(returned, now)
        return Understood()

    async def step(self) -> None:
        """Notes suspensions, renews leases and returns unused permits."""
        now = self._clock.seconds()
        self._decisions.advance(now)
        self._decisions.prepare(now)
        self._ask_for_holds()
        unsent, self._unsent = self._unsent, defaultdict(list)
        for decider, returned in unsent.items():
            self._send_back(decider, tuple(returned))

    async def _ask(self, message: AskQuota) -> QuotaAnswer:
        for member in self._ranking.ranked(message.account)[:DECIDERS]:
            if member.holder == self._holder:
                return await self._answer(message)
            answer = await self._call(member, message, timeout_s=ASK_TIMEOUT_S)
            if answer is not None:
                return answer
        return self._decisions.use_own_share(message, self._clock.seconds())

    async def _answer(self, message: AskQuota) -> QuotaAnswer:
        """Decides on a request of any VM."""
        ranked = self._ranking.ranked(message.account)
        now = self._clock.seconds()
        if self._decisions.is_first(message.account, now):
            answer = self._decisions.decide(message, now)
            self._ask_for_holds()
            return answer
        rank = self._ranking.rank_of(message.account, self._holder)
        if ranked and rank != 0 and not message.forwarded:
            forwarded = replace(message, forwarded=True)
            reply = await self._call(
                ranked[0], forwarded, timeout_s=FORWARD_TIMEOUT_S
            )
            if reply is not None:
                return reply
        now = self._clock.seconds()
        if rank in (0, 1):
            return self._decisions.stand_in(message, now)
        return self._decisions.use_own_share(message, now)

    async def _call(
        self, member: Member, message: AskQuota, *, timeout_s: float
    ) -> QuotaAnswer | None:
        if self._is_silent(member):
            return None
        reply = await self._send(member.address, message, timeout_s=timeout_s)
        if isinstance(reply, QuotaAnswer):
            self._silent_until.pop(member.holder, None)
            return reply
        if self._is_silent(member):
            # A concurrent call has already logged that.
            return None
        self._silent_until[member.holder] = self._clock.seconds() + SILENT_S
        self._logger.warning(
            "deciding VM of a quota did not reply",
            account=message.account,
            decider=member.holder,
        )
        return None

    def _send(
        self,
        address: Address,
        message: AskQuota | HoldQuota | ReturnQuota,
        *,
        timeout_s: float,
    ) -> Deferred[PeerReply | None]:
        self._log.message_sent(type(message).__name__)
        return self._peers.call(address, message, timeout_s=timeout_s)

    def _is_silent(self, member: Member) -> bool:
        until = self._silent_until.get(member.holder)
        return until is not None and self._clock.seconds() < until

    def _ask_for_holds(self) -> None:
        now = self._clock.seconds()
        for member, accounts in self._decisions.holds_due(now).items():
            ensureDeferred(self._hold(member, accounts))

    async def _hold(
        self, member: Member, accounts: tuple[AccountId, ...]
    ) -> None:
        asked_at = self._clock.seconds()
        reply = await self._send(
            member.address,
            HoldQuota(self._holder, accounts),
            timeout_s=HOLD_TIMEOUT_S,
        )
        if isinstance(reply, QuotaHeld):
            self._decisions.confirmed(
                accounts,
                reply,
                asked_at=asked_at,
                now=self._clock.seconds(),
            )

    def _decided(
        self, message: AskQuota, answer: QuotaAnswer, asked_at: float
    ) -> QuotaPermit | QuotaDenied:
        if answer.refusal is not None:
            return QuotaDenied(
                message.account,
                answer.decider,
                decode_refusal(answer.refusal),
                answer.wait_s,
                answer.known_s,
            )
        if message.program is not None:
            self._remember(message.account, message.program)
        # Counted from the question, since the answer may have been late.
        expires_at = asked_at + answer.wait_s + self._valid_s
        return QuotaPermit(
            message.account,
            answer.decider,
            answer.granted_at,
            self._clock.seconds() + answer.wait_s,
            expires_at,
        )

    def _remember(self, account: AccountId, program: str) -> None:
        self._begun[account, program] = None
        self._begun.move_to_end((account, program))
        if len(self._begun) > MAX_BEGUN:
            self._begun.popitem(last=False)

    def _send_back(
        self, decider: HolderId, returned: tuple[ReturnedPermits, ...]
    ) -> None:
        member = self._members.get(decider)
        if member is None:
            return
        self._send(
            member.address,
            ReturnQuota(self._holder, decider, returned),
            timeout_s=RETURN_TIMEOUT_S,
        )


def _have_restarted(members: Members) -> bool:
    """Returns whether the ledger shows a member that has left or crashed."""
    if members.crashed():
        return True
    return any(record.value is None for record in members.records())
