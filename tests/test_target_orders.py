"""One orderer a target: fencing, takeover, rates and shared loads."""

from __future__ import annotations

import pytest

from lycheestall.ids import Offset, ProgramId, TargetId
from lycheestall.platform_services import WeightGrant
from lycheestall.target_orders import (
    ORDER_TIMEOUT_S,
    AskWeights,
    OrderState,
    SendOrder,
    TargetOrders,
)
from lycheestall.targets import (
    EngineOrder,
    OrderAnswer,
    OrderKind,
    OrderResult,
)

E1, E2 = TargetId("e1"), TargetId("e2")
P1, P2 = ProgramId("p1"), ProgramId("p2")
LOAD = OrderKind.LOAD_MODEL
DONE = OrderAnswer(OrderResult.DONE)


def orders_with(*targets, former=False, checks_fence=True):
    orders = TargetOrders(lease_s=4.0, lease_margin_s=1.0)
    for target in targets:
        orders.claimed(
            target,
            Offset(17),
            former=former,
            checks_fence=checks_fence,
            now=0.0,
        )
    return orders


def test_only_the_holder_of_the_claim_orders():
    orders = orders_with(E1)
    assert orders.want(E2, LOAD, "m", 0.0) is None
    orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    orders.lost(E1)
    assert orders.poll(1.0, lease_left_s=3.0) == []


def test_an_order_carries_the_claims_offset():
    orders = orders_with(E1)
    orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    order = EngineOrder(OrderKind.SET_ROLE, "prefill", 17)
    assert orders.poll(0.0, lease_left_s=3.0) == [SendOrder(E1, order)]


def test_nothing_is_sent_without_a_lease():
    orders = orders_with(E1)
    orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    assert orders.poll(0.0, lease_left_s=0.0) == []


@pytest.mark.parametrize(
    ("former", "checks_fence", "wait_s"),
    [
        (False, False, 0.0),
        (True, True, 0.0),
        (True, False, 5.0 + ORDER_TIMEOUT_S),
    ],
)
def test_a_target_that_ignores_fences_waits_out_its_former_orderer(
    former, checks_fence, wait_s
):
    orders = orders_with(E1, former=former, checks_fence=checks_fence)
    orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    if wait_s:
        assert orders.poll(wait_s - 0.1, lease_left_s=3.0) == []
    assert len(orders.poll(wait_s, lease_left_s=3.0)) == 1


def test_loads_wait_for_the_weight_stores_leave():
    orders = orders_with(E1)
    ticket = orders.want(E1, LOAD, "m", 0.0)
    assert orders.poll(0.0, lease_left_s=3.0) == [AskWeights("m", E1)]
    assert orders.weights(E1, WeightGrant(False, 7.0), 0.0) == []
    assert orders.poll(6.0, lease_left_s=3.0) == []
    assert orders.poll(7.0, lease_left_s=3.0) == [AskWeights("m", E1)]
    (sent,) = orders.weights(E1, WeightGrant(True), 7.0)
    assert sent == SendOrder(E1, EngineOrder(LOAD, "m", 17))
    assert orders.answered(E1, DONE, 8.0) is ticket
    assert ticket.state is OrderState.DONE


def test_the_same_weights_are_loaded_on_one_target_at_a_time():
    orders = orders_with(E1, E2)
    orders.want(E1, LOAD, "m", 0.0)
    orders.want(E2, LOAD, "m", 0.0)
    assert orders.poll(0.0, lease_left_s=3.0) == [AskWeights("m", E1)]
    orders.weights(E1, WeightGrant(True), 0.0)
    assert orders.poll(1.0, lease_left_s=3.0) == []
    orders.answered(E1, DONE, 2.0)
    assert orders.poll(2.0, lease_left_s=3.0) == [AskWeights("m", E2)]


def test_a_shared_adapter_is_loaded_once_and_unloaded_last():
    orders = orders_with(E1)
    assert orders.lease_adapter(P1, E1, "bells", 0.0) is not None
    assert orders.lease_adapter(P2, E1, "bells", 0.0) is None
    assert orders.poll(0.0, lease_left_s=3.0) == [AskWeights("bells", E1)]
    orders.weights(E1, WeightGrant(True), 0.0)
    orders.answered(E1, DONE, 1.0)
    orders.program_ended(P1, 2.0)
    assert orders.poll(2.0, lease_left_s=3.0) == []
    orders.program_ended(P2, 3.0)
    (unload,) = orders.poll(3.0, lease_left_s=3.0)
    assert unload.order.kind is OrderKind.UNLOAD_ADAPTER


def test_an_unknown_outcome_is_asked_for_again_under_the_same_fence():
    orders = orders_with(E1)
    orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    (first,) = orders.poll(0.0, lease_left_s=3.0)
    assert orders.answered(E1, OrderAnswer(OrderResult.UNKNOWN), 1.0) is None
    assert orders.poll(1.0, lease_left_s=3.0) == []
    assert orders.poll(3.0, lease_left_s=3.0) == [first]


def test_a_stale_answer_ends_the_claim():
    orders = orders_with(E1)
    ticket = orders.want(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    orders.poll(0.0, lease_left_s=3.0)
    orders.answered(E1, OrderAnswer(OrderResult.STALE), 1.0)
    assert ticket.state is OrderState.STALE
    assert orders.want(E1, OrderKind.SET_ROLE, "decode", 2.0) is None
