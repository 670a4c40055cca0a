"""Orders to targets: load, unload and change of role.

A target takes orders from one VM, its controller: the session with the
newest valid ``TargetClaimed`` record. The offset of this claim is the
fencing token of the controller's orders.

Targets that check fencing tokens reject orders of a former controller.
For targets that do not, safety depends on timing: a controller sends
orders only while its session holds a lease, and a new controller sends
its first order only after the lease, its margin and the order timeout
have passed since it read its own claim. By then, each order of the former
controller has been responded to or has timed out.

Adapters are leased to programs: the first lease loads an adapter, the end
of the last lease unloads it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TypeAlias

from .ids import Offset, ProgramId, TargetId
from .platform_services import WeightGrant
from .targets import EngineOrder, OrderKind, OrderResponse, OrderResult

__all__ = [
    "OrderCommand",
    "OrderState",
    "QueuedOrder",
    "RequestWeights",
    "SendOrder",
    "TargetOrders",
]

ORDER_TIMEOUT_S = 30.0
RETRY_DELAY_S = 2.0
LOAD_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER})


@dataclass(frozen=True, slots=True)
class RequestWeights:
    """A command to request permission to load from the weight store."""

    name: str
    target: TargetId


@dataclass(frozen=True, slots=True)
class SendOrder:
    """A command to send an order to a target."""

    target: TargetId
    order: EngineOrder


OrderCommand: TypeAlias = RequestWeights | SendOrder


class OrderState(Enum):
    """The progress of an order."""

    WAITING = "waiting"
    REQUESTING_WEIGHTS = "asking"
    SENT = "sent"
    DONE = "done"
    REFUSED = "refused"
    STALE = "stale"


@dataclass(slots=True)
class QueuedOrder:
    """An order in a target's queue.

    Attributes:
        target: The target.
        kind: The kind of order.
        name: The model, adapter, version or role.
        state: The order's progress.
        due_s: Time of the next attempt.
        detail: Details of the target's last response.
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
    not_before_s: float
    queue: list[QueuedOrder] = field(default_factory=list)


class TargetOrders:
    """The orders of one VM to the targets that it controls.

    Orders to a target are sent one at a time, in queue order. Loads of
    the same weights on several targets are sent one after another, so
    that the weight store serves the first and a shared cache near the
    targets serves the others.
    """

    def __init__(self, *, lease_s: float, lease_margin_s: float) -> None:
        """Starts without claims.

        Args:
            lease_s: Duration of a session's lease.
            lease_margin_s: How long a successor waits after the lease.
        """
        self._takeover_delay_s = lease_s + lease_margin_s + ORDER_TIMEOUT_S
        self._claim_by_target: dict[TargetId, _Claim] = {}
        self._loading_target_by_name: dict[str, TargetId] = {}
        self._roots_by_adapter: dict[tuple[TargetId, str], set[ProgramId]] = {}

    def add_claim(
        self,
        target: TargetId,
        fence: Offset,
        *,
        has_predecessor: bool,
        checks_fence: bool,
        now: float,
    ) -> None:
        """Adds this VM's claim on a target, once it is read as valid.

        Args:
            target: The target.
            fence: The claim's offset.
            has_predecessor: Whether another session had a claim before.
            checks_fence: Whether the target rejects old fencing tokens.
            now: The time at which the claim was read.
        """
        wait_s = (
            self._takeover_delay_s
            if has_predecessor and not checks_fence
            else 0.0
        )
        self._claim_by_target[target] = _Claim(fence, now + wait_s)

    def drop_claim(self, target: TargetId) -> list[QueuedOrder]:
        """Drops the claim on a target that another session has claimed.

        Returns:
            The orders that are dropped with it.
        """
        claim = self._claim_by_target.pop(target, None)
        self._finish_load(target)
        return claim.queue if claim is not None else []

    def enqueue(
        self, target: TargetId, kind: OrderKind, name: str, now: float
    ) -> QueuedOrder | None:
        """Adds an order to a target's queue, unless it is already there.

        Returns:
            The queued order; None if this VM does not control the target.
        """
        claim = self._claim_by_target.get(target)
        if claim is None:
            return None
        for queued in claim.queue:
            if (queued.kind, queued.name) == (kind, name):
                return queued
        queued = QueuedOrder(target, kind, name, due_s=now)
        claim.queue.append(queued)
        return queued

    def lease_adapter(
        self, root: ProgramId, target: TargetId, name: str, now: float
    ) -> QueuedOrder | None:
        """Leases an adapter to a program; the first lease loads it.

        Returns:
            The order to load; None if the adapter is already leased or
            this VM does not control the target.
        """
        if target not in self._claim_by_target:
            return None
        roots = self._roots_by_adapter.setdefault((target, name), set())
        roots.add(root)
        if len(roots) > 1:
            return None
        return self.enqueue(target, OrderKind.LOAD_ADAPTER, name, now)

    def program_ended(self, root: ProgramId, now: float) -> None:
        """Ends a program's leases; unloads adapters without a lease."""
        for key, roots in list(self._roots_by_adapter.items()):
            if root not in roots:
                continue
            roots.discard(root)
            if not roots:
                del self._roots_by_adapter[key]
                self.enqueue(key[0], OrderKind.UNLOAD_ADAPTER, key[1], now)

    def poll(self, now: float, *, lease_left_s: float) -> list[OrderCommand]:
        """Returns the commands that are due.

        Args:
            now: The current time.
            lease_left_s: Seconds left of this session's lease; nothing is
                sent without a lease.
        """
        commands: list[OrderCommand] = []
        if lease_left_s <= 0:
            return commands
        for target, claim in self._claim_by_target.items():
            if not claim.queue or now < claim.not_before_s:
                continue
            queued = claim.queue[0]
            if queued.state is not OrderState.WAITING or now < queued.due_s:
                continue
            command = self._next(target, claim, queued)
            if command is not None:
                commands.append(command)
        return commands

    def handle_weight_grant(
        self, target: TargetId, grant: WeightGrant, now: float
    ) -> list[OrderCommand]:
        """Handles the weight store's response for a target's first order."""
        claim = self._claim_by_target.get(target)
        if claim is None or not claim.queue:
            return []
        queued = claim.queue[0]
        if queued.state is not OrderState.REQUESTING_WEIGHTS:
            return []
        if not grant.granted:
            queued.state = OrderState.WAITING
            queued.due_s = now + max(grant.retry_after_s, RETRY_DELAY_S)
            self._finish_load(target)
            return []
        return [self._send(target, claim, queued)]

    def handle_response(
        self, target: TargetId, response: OrderResponse, now: float
    ) -> QueuedOrder | None:
        """Handles a target's response; returns the order if it has ended.

        An order with an unknown result is sent again. Orders are
        idempotent: repeating one with the same fencing token has no
        further effect.
        """
        claim = self._claim_by_target.get(target)
        if claim is None or not claim.queue:
            return None
        queued = claim.queue[0]
        if queued.state is not OrderState.SENT:
            return None
        queued.detail = response.detail
        if response.result is OrderResult.UNKNOWN:
            queued.state = OrderState.WAITING
            queued.due_s = now + RETRY_DELAY_S
            return None
        self._finish_load(target)
        claim.queue.pop(0)
        queued.state = _STATE_BY_RESULT[response.result]
        if queued.state is OrderState.STALE:
            self.drop_claim(target)
        return queued

    def _next(
        self, target: TargetId, claim: _Claim, queued: QueuedOrder
    ) -> OrderCommand | None:
        if queued.kind not in LOAD_KINDS:
            return self._send(target, claim, queued)
        loading_target = self._loading_target_by_name.get(queued.name)
        if loading_target == target:
            return self._send(target, claim, queued)
        if loading_target is not None:
            return None
        self._loading_target_by_name[queued.name] = target
        queued.state = OrderState.REQUESTING_WEIGHTS
        return RequestWeights(queued.name, target)

    def _send(
        self, target: TargetId, claim: _Claim, queued: QueuedOrder
    ) -> SendOrder:
        queued.state = OrderState.SENT
        order = EngineOrder(queued.kind, queued.name, claim.fence)
        return SendOrder(target, order)

    def _finish_load(self, target: TargetId) -> None:
        for name, loading_target in list(self._loading_target_by_name.items()):
            if loading_target == target:
                del self._loading_target_by_name[name]


_STATE_BY_RESULT = {
    OrderResult.DONE: OrderState.DONE,
    OrderResult.STALE: OrderState.STALE,
    OrderResult.REFUSED: OrderState.REFUSED,
}
