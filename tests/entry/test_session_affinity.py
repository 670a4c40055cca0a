"""Requests about one object go to the target that has just handled it."""

from __future__ import annotations

from typing import Any

import pytest

from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_chooser
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness
from tests.entry.fake_network import FakeTarget, ReceivedRequest

TARGETS = 40
STICKY = {**ROUTES[0], "session_affinity": True}


def choose(
    chooser: TargetChooser, number: int, **options: Any
) -> TargetId | None:
    chosen = chooser.choose(
        SERVICE,
        affinity=None,
        tie_break=b"r%d" % number,
        avoid=options.pop("avoid", ()),
        now=number * 0.01,
        **options,
    )
    return None if chosen is None else chosen.target


def test_all_vms_prefer_the_same_target_for_an_object() -> None:
    choosers = [new_chooser(TARGETS, vm=f"vm-{n}") for n in range(8)]
    chosen = {
        choose(chooser, number, object_key="object")
        for number, chooser in enumerate(choosers)
    }
    assert len(chosen) == 1


def test_a_busy_or_excluded_target_is_passed_over() -> None:
    chooser = new_chooser(TARGETS)
    first = choose(chooser, 0, object_key="object")
    assert first is not None
    chooser.request_started(first)
    second = choose(chooser, 1, object_key="object")
    assert second not in (None, first)
    chooser.request_ended(first)
    assert choose(chooser, 2, object_key="object") == first
    assert choose(chooser, 3, object_key="object", avoid=[first]) == second
    third = choose(chooser, 4, object_key="object", at_limit=[first])
    assert third == second


def serve(request: ReceivedRequest) -> None:
    request.respond(200, b"whole")


def received_by(
    harness: EntryVmHarness, targets: list[FakeTarget], path: str, cookie: str
) -> list[int]:
    for number in range(30):
        harness.send_request(
            path,
            headers=f"Cookie: a=b; {cookie}\r\n",
            request_id=f"r{number}",
            run_s=0.02,
        )
    return [len(target.requests) for target in targets]


@pytest.mark.parametrize(
    ("routes", "cookie", "together"),
    [
        ([STICKY], "X-Affinity-Key=object", True),
        ([STICKY], "X-Affinity-Key=", False),
        ([STICKY], "x=object", False),
        (ROUTES, "X-Affinity-Key=object", False),
    ],
)
def test_a_cookie_counts_on_routes_with_affinity_only(
    harness: EntryVmHarness,
    routes: list[dict[str, Any]],
    cookie: str,
    together: bool,
) -> None:
    harness.configure(routes)
    targets = [harness.add_target(f"t{n}", serve) for n in range(5)]
    harness.start()
    counts = received_by(harness, targets, "/maps/x", cookie)
    assert sum(counts) == 30
    assert (max(counts) == 30) == together
