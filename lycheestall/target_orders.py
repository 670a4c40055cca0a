"""Orders to targets: load, unload and change role, one orderer a target.

One VM orders a target: the session whose ``TargetClaimed`` record is the
newest valid one. The claim's offset is the fencing number of its orders.

Targets that check the number refuse a former orderer by themselves. For
targets that ignore it, safety rests on time: an orderer sends an order
only while its session's lease holds, and a new orderer of such a target
gives its first order only after the lease, the margin and the longest
order have passed since it read its own claim. By then whatever the former
orderer sent has been answered or has timed out.

Adapters are leased to programs: the first lease loads one, the end of the
last unloads it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from .ids import Offset, ProgramId, TargetId
from .platform_services import WeightGrant
from .targets import EngineOrder, OrderAnswer, OrderKind, OrderResult

__all__ = [
    "AskWeights",
    "OrderCommand",
    "OrderState",
    "OrderTicket",
    "SendOrder",
    "TargetOrders",
]

ORDER_TIMEOUT_S = 30.0
UNKNOWN_REPEAT_S = 2.0
LOADS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})


@dataclass(frozen=True, slots=True)
class AskWeights:
    """Ask the weight store for leave to load."""

    name: str
    target: TargetId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """Give a target an order."""

    target: TargetId
    order: EngineOrder


OrderCommand: TypeAlias = AskWeights | SendOrder


class OrderState(Enum):
    """How far an order has come."""

    WAITING = "waiting"
    ASKING = "asking"
    SENT = "sent"
    DONE = "done"
    REFUSED = "refused"
    STALE = "stale"


@dataclass(slots=True)
class OrderTicket:
    """One wanted order.

    Attributes:
        target: The target.
        kind: What to do.
        name: The model, adapter, version or role.
        state: How far it has come.
        due_s: When to try next.
        detail: What the target said last.
    """

    target: TargetId
    kind: OrderKind
    name: str
    state: OrderState = OrderState.WAITING
    due_s: float = 0.0
    detail: str = ""


@dataclass(slots=True)
class _Claim:
    fence: Offset
    first_order_s: float
    tickets: list[OrderTicket] = field(default_factory=list)


class TargetOrders:
    """The orders of one VM for the targets that it has claimed.

    A target's orders go out one at a time, in the order they were
    wanted. Loads of the same weights on several targets go one after
    another, so that the weight store serves the first and a shared cache
    near the targets serves the rest.
    """

    def __init__(self, *, lease_s: float, lease_margin_s: float) -> None:
        """Starts without claims.

        Args:
            lease_s: How long a session's authority lasts.
            lease_margin_s: What a successor waits on top.
        """
        self._takeover_s = lease_s + lease_margin_s + ORDER_TIMEOUT_S
        self._claim_by_target: dict[TargetId, _Claim] = {}
        self._loading: dict[str, TargetId] = {}
        self._roots_by_adapter: dict[tuple[TargetId, str], set[ProgramId]] = {}

    def claimed(
        self,
        target: TargetId,
        fence: Offset,
        *,
        former: bool,
        checks_fence: bool,
        now: float,
    ) -> None:
        """This VM's claim on a target has been read back as valid.

        Args:
            target: The target.
            fence: The claim's offset.
            former: Whether another session held the target before.
            checks_fence: Whether the target refuses old numbers.
            now: The time at which the claim was read.
        """
        wait_s = self._takeover_s if former and not checks_fence else 0.0
        self._claim_by_target[target] = _Claim(fence, now + wait_s)

    def lost(self, target: TargetId) -> list[OrderTicket]:
        """Another session has the target; returns the orders dropped."""
        claim = self._claim_by_target.pop(target, None)
        self._end_load(target)
        return claim.tickets if claim is not None else []

    def want(
        self, target: TargetId, kind: OrderKind, name: str, now: float
    ) -> OrderTicket | None:
        """Adds an order; None when this VM does not order the target.

        An order that is already wanted is not added twice.
        """
        claim = self._claim_by_target.get(target)
        if claim is None:
            return None
        for ticket in claim.tickets:
            if (ticket.kind, ticket.name) == (kind, name):
                return ticket
        ticket = OrderTicket(target, kind, name, due_s=now)
        claim.tickets.append(ticket)
        return ticket

    def lease_adapter(
        self, root: ProgramId, target: TargetId, name: str, now: float
    ) -> OrderTicket | None:
        """Loads an adapter for a program, once for all that share it.

        Returns:
            The load's order; None when the adapter is leased already
            or this VM does not order the target.
        """
        if target not in self._claim_by_target:
            return None
        roots = self._roots_by_adapter.setdefault((target, name), set())
        roots.add(root)
        if len(roots) > 1:
            return None
        return self.want(target, OrderKind.LOAD_ADAPTER, name, now)

    def program_ended(self, root: ProgramId, now: float) -> None:
        """Ends a program's leases; unloads what nobody leases any more."""
        for key, roots in list(self._roots_by_adapter.items()):
            if root not in roots:
                continue
            roots.discard(root)
            if not roots:
                del self._roots_by_adapter[key]
                self.want(key[0], OrderKind.UNLOAD_ADAPTER, key[1], now)

    def poll(self, now: float, *, lease_left_s: float) -> list[OrderCommand]:
        """Returns what to do now.

        Args:
            now: The time.
            lease_left_s: How long this session's lease still holds;
                without one nothing is sent.
        """
        commands: list[OrderCommand] = []
        if lease_left_s <= 0:
            return commands
        for target, claim in self._claim_by_target.items():
            if not claim.tickets or now < claim.first_order_s:
                continue
            ticket = claim.tickets[0]
            if ticket.state is not OrderState.WAITING or now < ticket.due_s:
                continue
            command = self._next(target, claim, ticket)
            if command is not None:
                commands.append(command)
        return commands

    def weights(
        self, target: TargetId, grant: WeightGrant, now: float
    ) -> list[OrderCommand]:
        """Takes the weight store's answer for a target's first order."""
        claim = self._claim_by_target.get(target)
        if claim is None or not claim.tickets:
            return []
        ticket = claim.tickets[0]
        if ticket.state is not OrderState.ASKING:
            return []
        if not grant.granted:
            ticket.state = OrderState.WAITING
            ticket.due_s = now + max(grant.retry_after_s, UNKNOWN_REPEAT_S)
            self._end_load(target)
            return []
        return [self._send(target, claim, ticket)]

    def answered(
        self, target: TargetId, answer: OrderAnswer, now: float
    ) -> OrderTicket | None:
        """Takes a target's answer; returns the order if it has ended.

        An unknown outcome is asked for again: orders set a state, so a
        repeat under the same fencing number changes nothing more.
        """
        claim = self._claim_by_target.get(target)
        if claim is None or not claim.tickets:
            return None
        ticket = claim.tickets[0]
        if ticket.state is not OrderState.SENT:
            return None
        ticket.detail = answer.detail
        if answer.result is OrderResult.UNKNOWN:
            ticket.state = OrderState.WAITING
            ticket.due_s = now + UNKNOWN_REPEAT_S
            return None
        self._end_load(target)
        claim.tickets.pop(0)
        ticket.state = _STATE_BY_RESULT[answer.result]
        if ticket.state is OrderState.STALE:
            self.lost(target)
        return ticket

    def _next(
        self, target: TargetId, claim: _Claim, ticket: OrderTicket
    ) -> OrderCommand | None:
        if ticket.kind not in LOADS:
            return self._send(target, claim, ticket)
        holder = self._loading.get(ticket.name)
        if holder == target:
            return self._send(target, claim, ticket)
        if holder is not None:
            return None
        self._loading[ticket.name] = target
        ticket.state = OrderState.ASKING
        return AskWeights(ticket.name, target)

    def _send(
        self, target: TargetId, claim: _Claim, ticket: OrderTicket
    ) -> SendOrder:
        ticket.state = OrderState.SENT
        order = EngineOrder(ticket.kind, ticket.name, claim.fence)
        return SendOrder(target, order)

    def _end_load(self, target: TargetId) -> None:
        for name, holder in list(self._loading.items()):
            if holder == target:
                del self._loading[name]


_STATE_BY_RESULT = {
    OrderResult.DONE: OrderState.DONE,
    OrderResult.STALE: OrderState.STALE,
    OrderResult.REFUSED: OrderState.REFUSED,
}
