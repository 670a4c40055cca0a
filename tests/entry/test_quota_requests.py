"""Quotas on the way of a request: from its caller to its target."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from lycheestall.entry import request_router
from lycheestall.entry.accounts import Account, AccountId
from lycheestall.entry.configuration import Configuration
from lycheestall.entry.quotas.quota_messages import AskQuota, ReturnQuota
from lycheestall.entry.request_processor import RequestProcessor
from tests.entry import entry_vm_harness
from tests.entry.entry_vm_harness import status_of
from tests.entry.fleet import Fleet
from tests.entry.quota_simulation import SETTINGS

VMS = 4
LIMITED = Account(AccountId("limited"), rate_per_s=4.0, burst=6.0)
FREE = Account(AccountId("free"))


class AccountDecoder(entry_vm_harness.PlatformRecordDecoder):
    """Decodes configurations that contain the accounts of these tests."""

    def decode_configuration(self, *args: Any) -> Any:
        """Returns the configuration with the accounts."""
        decoded = super().decode_configuration(*args)
        assert isinstance(decoded, Configuration)
        return replace(decoded, accounts=(LIMITED, FREE))


def processor(*args: Any, **kwargs: Any) -> RequestProcessor:
    """Returns the processor of a request of the account in its path."""
    path = args[1].request.path
    account = None
    if "limited" in path:
        account = LIMITED
    elif "free" in path:
        account = FREE
    return RequestProcessor(*args, **kwargs, account=account)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    """VMs whose requests belong to the accounts named in their paths."""
    monkeypatch.setattr(
        entry_vm_harness, "PlatformRecordDecoder", AccountDecoder
    )
    monkeypatch.setattr(request_router, "RequestProcessor", processor)
    settings = entry_vm_harness.settings
    monkeypatch.setattr(
        entry_vm_harness,
        "settings",
        lambda *args: replace(settings(*args), quotas=SETTINGS),
    )
    yield Fleet(vms=VMS)


def add_target(fleet: Fleet, *, status: int = 200) -> list[float]:
    """Adds a target; returns the times at which it gets requests."""
    received_at: list[float] = []

    def respond(request: Any) -> None:
        received_at.append(fleet.reactor.seconds())
        headers = ((b"X-Not-Run", b"1"),) if status == 503 else ()
        request.respond(status, b"whole", headers=headers)

    fleet.add_target("t", respond)
    return received_at


def test_an_account_over_its_quota_gets_429_and_others_are_served(
    fleet: Fleet,
) -> None:
    received_at = add_target(fleet)
    fleet.start()
    limited, free = [], []
    for _ in range(160):
        limited.append(fleet.send("/orders/limited"))
        free.append(fleet.send("/orders/free"))
        fleet.reactor.run(0.05)
    fleet.reactor.run(1.0)
    assert {status_of(caller.data) for caller in limited} == {200, 429}
    assert {status_of(caller.data) for caller in free} == {200}
    for caller in limited:
        if status_of(caller.data) == 429:
            assert b"Retry-After: " in caller.data
    served = [c for c in limited if status_of(c.data) == 200]
    assert len(served) + len(free) == len(received_at)
    assert len(served) >= 0.9 * LIMITED.rate_per_s * 8.0


def test_no_message_is_sent_for_requests_without_a_quota(
    fleet: Fleet,
) -> None:
    add_target(fleet)
    fleet.start()
    for _ in range(20):
        fleet.send("/orders/free")
        fleet.send("/orders/none")
        fleet.reactor.run(0.02)
    assert fleet.links.sent[AskQuota] == 0
    assert fleet.links.sent[ReturnQuota] == 0
