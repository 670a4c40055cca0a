"""Tests of orders to targets: fencing, takeover, loads and adapters."""

from __future__ import annotations

import pytest

from lycheestall.ids import Offset, ProgramId, TargetId
from lycheestall.platform_services import WeightGrant
from lycheestall.target_orders import (
    ORDER_TIMEOUT_S,
    OrderState,
    RequestWeights,
    SendOrder,
    TargetOrders,
)
from lycheestall.targets import (
    EngineOrder,
    OrderKind,
    OrderResponse,
    OrderResult,
)

E1, E2 = TargetId("e1"), TargetId("e2")
P1, P2 = ProgramId("p1"), ProgramId("p2")
LOAD = OrderKind.LOAD_MODEL
DONE = OrderResponse(OrderResult.DONE)


def orders_with(*targets, has_predecessor=False, checks_fence=True):
    orders = TargetOrders(lease_s=4.0, lease_margin_s=1.0)
    for target in targets:
        orders.add_claim(
            target,
            Offset(17),
            has_predecessor=has_predecessor,
            checks_fence=checks_fence,
            now=0.0,
        )
    return orders


def test_only_the_holder_of_the_claim_sends_orders():
    orders = orders_with(E1)
    assert orders.enqueue(E2, LOAD, "m", 0.0) is None
    orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    orders.drop_claim(E1)
    assert orders.poll(1.0, lease_left_s=3.0) == []


def test_an_order_has_the_claims_offset_as_fencing_token():
    orders = orders_with(E1)
    orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    order = EngineOrder(OrderKind.SET_ROLE, "prefill", 17)
    assert orders.poll(0.0, lease_left_s=3.0) == [SendOrder(E1, order)]


def test_nothing_is_sent_without_a_lease():
    orders = orders_with(E1)
    orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    assert orders.poll(0.0, lease_left_s=0.0) == []


@pytest.mark.parametrize(
    ("has_predecessor", "checks_fence", "wait_s"),
    [
        (False, False, 0.0),
        (True, True, 0.0),
        (True, False, 5.0 + ORDER_TIMEOUT_S),
    ],
)
def test_takeover_delays_orders_to_targets_without_fencing(
    has_predecessor, checks_fence, wait_s
):
    orders = orders_with(
        E1, has_predecessor=has_predecessor, checks_fence=checks_fence
    )
    orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    if wait_s:
        assert orders.poll(wait_s - 0.1, lease_left_s=3.0) == []
    assert len(orders.poll(wait_s, lease_left_s=3.0)) == 1


def test_loads_wait_for_a_grant_of_the_weight_store():
    orders = orders_with(E1)
    queued = orders.enqueue(E1, LOAD, "m", 0.0)
    assert orders.poll(0.0, lease_left_s=3.0) == [RequestWeights("m", E1)]
    assert orders.handle_weight_grant(E1, WeightGrant(False, 7.0), 0.0) == []
    assert orders.poll(6.0, lease_left_s=3.0) == []
    assert orders.poll(7.0, lease_left_s=3.0) == [RequestWeights("m", E1)]
    (sent,) = orders.handle_weight_grant(E1, WeightGrant(True), 7.0)
    assert sent == SendOrder(E1, EngineOrder(LOAD, "m", 17))
    assert orders.handle_response(E1, DONE, 8.0) is queued
    assert queued.state is OrderState.DONE


def test_the_same_weights_are_loaded_on_one_target_at_a_time():
    orders = orders_with(E1, E2)
    orders.enqueue(E1, LOAD, "m", 0.0)
    orders.enqueue(E2, LOAD, "m", 0.0)
    assert orders.poll(0.0, lease_left_s=3.0) == [RequestWeights("m", E1)]
    orders.handle_weight_grant(E1, WeightGrant(True), 0.0)
    assert orders.poll(1.0, lease_left_s=3.0) == []
    orders.handle_response(E1, DONE, 2.0)
    assert orders.poll(2.0, lease_left_s=3.0) == [RequestWeights("m", E2)]


def test_a_shared_adapter_is_loaded_once_and_unloaded_after_the_last_lease():
    orders = orders_with(E1)
    assert orders.lease_adapter(P1, E1, "bells", 0.0) is not None
    assert orders.lease_adapter(P2, E1, "bells", 0.0) is None
    assert orders.poll(0.0, lease_left_s=3.0) == [RequestWeights("bells", E1)]
    orders.handle_weight_grant(E1, WeightGrant(True), 0.0)
    orders.handle_response(E1, DONE, 1.0)
    orders.program_ended(P1, 2.0)
    assert orders.poll(2.0, lease_left_s=3.0) == []
    orders.program_ended(P2, 3.0)
    (unload,) = orders.poll(3.0, lease_left_s=3.0)
    assert unload.order.kind is OrderKind.UNLOAD_ADAPTER


def test_an_order_with_unknown_result_is_retried_with_the_same_token():
    orders = orders_with(E1)
    orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    (first,) = orders.poll(0.0, lease_left_s=3.0)
    assert (
        orders.handle_response(E1, OrderResponse(OrderResult.UNKNOWN), 1.0)
        is None
    )
    assert orders.poll(1.0, lease_left_s=3.0) == []
    assert orders.poll(3.0, lease_left_s=3.0) == [first]


def test_a_stale_response_ends_the_claim():
    orders = orders_with(E1)
    queued = orders.enqueue(E1, OrderKind.SET_ROLE, "prefill", 0.0)
    orders.poll(0.0, lease_left_s=3.0)
    orders.handle_response(E1, OrderResponse(OrderResult.STALE), 1.0)
    assert queued.state is OrderState.STALE
    assert orders.enqueue(E1, OrderKind.SET_ROLE, "decode", 2.0) is None
