"""Quotas on the way of a request: from its caller to its target."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

import pytest

from lycheestall.entry.accounts import Account, AccountId
from lycheestall.entry.peer_messages import decode, encode
from lycheestall.entry.quotas.quota_messages import (
    AskQuota,
    HandedQuota,
    HoldQuota,
    QuotaAnswer,
    QuotaHeld,
    QuotaMessage,
    ReturnedPermits,
    ReturnQuota,
)
from lycheestall.entry.quotas.quota_terms import QuotaTerms
from lycheestall.entry.token_ledger import HolderId
from tests.entry import entry_vm_harness
from tests.entry.entry_vm_harness import ROUTES, status_of
from tests.entry.fake_network import ReceivedRequest, RecordingCaller
from tests.entry.fleet import Fleet
from tests.entry.quota_simulation import SETTINGS, allowed, most_in_window

VMS = 4
LIMITED = Account(AccountId("limited"), rate_per_s=4.0, burst=6.0)
FREE = Account(AccountId("free"))
VM = HolderId("vm-1.1")
TERMS = QuotaTerms(3, 4.0, 6.0)
OPEN = {**ROUTES[1], "path_prefix": "/open/", "anonymous": True}
ACCOUNTS = [
    {
        "name": account.account,
        "api_keys": [f"key-of-{account.account}"],
        "rate_per_s": account.rate_per_s,
        "burst": account.burst,
    }
    for account in (LIMITED, FREE)
]


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Iterator[Fleet]:
    """VMs of a deployment with one account that has a quota."""
    settings = entry_vm_harness.settings
    monkeypatch.setattr(
        entry_vm_harness,
        "settings",
        lambda *args: replace(settings(*args), quotas=SETTINGS),
    )
    fleet = Fleet(vms=VMS)
    fleet.vms[0].configure([*ROUTES, OPEN], tenants=ACCOUNTS)
    yield fleet


def send(fleet: Fleet, path: str, account: Account | None) -> RecordingCaller:
    """Sends a request of an account, or of none."""
    headers = ""
    if account is not None:
        headers = f"Authorization: Bearer key-of-{account.account}\r\n"
    return fleet.send(path, headers=headers)


def add_target(
    fleet: Fleet,
    name: str = "t",
    respond: Callable[[ReceivedRequest], None] | None = None,
) -> list[float]:
    """Adds a target; returns the times at which it gets requests."""
    received_at: list[float] = []

    def on_request(request: ReceivedRequest) -> None:
        received_at.append(fleet.reactor.seconds())
        if respond is None:
            request.respond(200, b"whole")
        else:
            respond(request)

    fleet.add_target(name, on_request)
    return received_at


def granted(fleet: Fleet) -> int:
    """Returns the number of permits that all VMs have got."""
    text = b"".join(vm.metrics.render() for vm in fleet.vms).decode()
    return sum(
        int(float(line.rsplit(" ", 1)[1]))
        for line in text.splitlines()
        if "quota_decisions_total{" in line and 'result="granted"' in line
    )


# Guards against one account's excess reaching targets or other accounts.
def test_an_account_over_its_quota_gets_429_and_others_are_served(
    fleet: Fleet,
) -> None:
    received_at = add_target(fleet)
    fleet.start()
    limited, free = [], []
    for _ in range(160):
        limited.append(send(fleet, "/orders/", LIMITED))
        free.append(send(fleet, "/orders/", FREE))
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


# Guards against costs for deployments and accounts without quotas.
def test_no_message_is_sent_for_requests_without_a_quota(
    fleet: Fleet,
) -> None:
    add_target(fleet)
    fleet.start()
    for _ in range(20):
        send(fleet, "/orders/", FREE)
        send(fleet, "/open/", None)
        fleet.reactor.run(0.02)
    assert fleet.links.sent[AskQuota] == 0
    assert fleet.links.sent[ReturnQuota] == 0


# Guards against retries that targets run and no quota counts.
def test_each_further_attempt_needs_another_permit(fleet: Fleet) -> None:
    def break_first(request: ReceivedRequest) -> None:
        if len(received_at) < 2:
            request.reset()
        else:
            request.respond(200, b"whole")

    received_at = add_target(fleet, "t", break_first)
    fleet.start()
    caller = send(fleet, "/maps/", LIMITED)
    fleet.reactor.run(1.0)
    assert status_of(caller.data) == 200
    assert len(received_at) == granted(fleet) == 2


# Guards against an account that loses its quota to targets that are full.
def test_attempts_that_were_not_run_use_no_quota(fleet: Fleet) -> None:
    def refuse(request: ReceivedRequest) -> None:
        request.respond(503, headers=((b"X-Not-Executed", b"1"),))

    refused_at = add_target(fleet, "full", refuse)
    fleet.start()
    fleet.reactor.run(2.0)
    for _ in range(40):
        caller = send(fleet, "/orders/", LIMITED)
        fleet.reactor.run(0.1)
        assert status_of(caller.data) == 503
    assert len(refused_at) >= 40
    assert fleet.links.sent[ReturnQuota] > 0


# Guards against a caller that leaves and takes its permit with it.
def test_a_refusal_at_a_later_step_gives_the_permit_back(
    fleet: Fleet,
) -> None:
    fleet.start()
    fleet.reactor.run(2.0)
    for _ in range(40):
        caller = send(fleet, "/orders/", LIMITED)
        fleet.reactor.run(0.1)
        assert b"no target is up" in caller.data
    assert granted(fleet) == 40


# VMs of 6dec397 answer these messages with 400, which counts as silence.
def test_a_deciding_vm_of_another_build_leaves_a_small_share(
    fleet: Fleet,
) -> None:
    received_at = add_target(fleet)
    fleet.start()
    for number in range(VMS):
        fleet.cut_peers(number)
    for _ in range(100):
        caller = send(fleet, "/orders/", LIMITED)
        fleet.reactor.run(0.4)
        assert status_of(caller.data) in (200, 429, 503)
    assert received_at
    most = most_in_window(received_at, SETTINGS.window_s)
    assert most <= allowed(LIMITED)


@pytest.mark.parametrize(
    "message",
    [
        AskQuota(VM, LIMITED.account, TERMS, "p", True, 0.5, 3.0),
        AskQuota(VM, LIMITED.account, TERMS, None, False, 0.0, 3.0, True),
        QuotaAnswer(VM, "quota spent", 0.4, 7.25, TERMS, 12.0),
        QuotaAnswer(VM, None, 0.0, 7.25, TERMS, 12.0),
        ReturnQuota(VM, VM, (ReturnedPermits(LIMITED.account, 7.25, 2),)),
        HoldQuota(VM, (LIMITED.account, FREE.account)),
        QuotaHeld(VM, (HandedQuota(LIMITED.account, 3.5, ("p", "q")),)),
    ],
)
def test_a_message_survives_encoding_and_decoding(
    message: QuotaMessage,
) -> None:
    assert decode(encode(message)) == message
