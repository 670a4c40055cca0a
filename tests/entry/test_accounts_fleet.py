"""Accounts in a fleet: faults, changes of keys, and keys that stay secret."""

from __future__ import annotations

import zlib
from typing import Any

import pytest

from lycheestall.entry.peer_messages import encode
from lycheestall.entry.relay_messages import (
    AskConfiguration,
    RelayedConfiguration,
)
from lycheestall.entry.store import Topic
from tests.entry.entry_vm_harness import ROUTES, EntryVmHarness, status_of
from tests.entry.fake_links import LinkFault
from tests.entry.fake_network import (
    FakeTransport,
    ReceivedRequest,
    RecordingCaller,
)
from tests.entry.fleet import Fleet
from tests.entry.memory_store import Fault

VMS = 6
LAST_EVENT = 4
BOUND_S = 3.0
"""Seconds within which a change has to be in force."""

OPEN = {**ROUTES[0], "path_prefix": "/open/", "anonymous": True}
KEYS = {"north": "secret-of-north", "south": "secret-of-south"}
ADDED_KEY = "secret-added"


def tenants(**keys: str) -> list[dict[str, Any]]:
    return [{"name": name, "api_keys": [key]} for name, key in keys.items()]


class Deployment:
    """A fleet with accounts, and targets that note whom they serve.

    Attributes:
        account_by_request: The accounts that targets were told, by request.
        breaks: Whether the next request is broken off.
    """

    def __init__(self, *, vms: int = VMS, zones: int = 3) -> None:
        self.fleet = Fleet(vms=vms, zones=zones)
        self.account_by_request: dict[str, list[str | None]] = {}
        self.breaks = False
        self.configure(**KEYS)
        for number in range(3):
            self.fleet.add_target(f"app-{number}", self._work)
            self.fleet.add_target(
                f"engine-{number}", self._stream, service="engines"
            )
        self.fleet.start()

    def configure(self, **keys: str) -> None:
        """Publishes accounts, each with one key."""
        self.fleet.vms[0].configure([*ROUTES, OPEN], tenants=tenants(**keys))

    def run(self, seconds: float) -> None:
        """Advances the clock."""
        self.fleet.reactor.run(seconds)

    def ask(
        self,
        path: str,
        key: str | None,
        *,
        vm: int,
        request_id: str,
        headers: str = "",
        run_s: float = 0.6,
    ) -> RecordingCaller:
        """Sends a request that names another account in its header."""
        if key is not None:
            headers += f"Authorization: Bearer {key}\r\n"
        caller = self.fleet.send(
            path,
            vm=vm,
            headers=f"{headers}X-Tenant: forged\r\n",
            request_id=request_id,
        )
        self.run(run_s)
        return caller

    def isolate(self, number: int) -> None:
        """Cuts a VM off from the store and from all other VMs."""
        self.fleet.vms[number].store.fault = Fault.REFUSES
        self.fleet.cut_peers(number)

    def reconnect(self, number: int) -> None:
        """Ends the cut of a VM."""
        self.fleet.vms[number].store.fault = Fault.NONE
        self.fleet.links.cut.clear()

    def _note(self, request: ReceivedRequest) -> None:
        assert b"authorization" not in request.headers
        account = request.headers.get(b"x-tenant")
        self.account_by_request.setdefault(
            request.headers[b"x-request-id"].decode(), []
        ).append(None if account is None else account.decode())

    def _work(self, request: ReceivedRequest) -> None:
        self._note(request)
        if self.breaks:
            self.breaks = False
            request.reset()
            return
        request.respond(200, b"whole")

    def _stream(self, request: ReceivedRequest) -> None:
        self._note(request)
        first = int(request.headers.get(b"last-event-id", b"0")) + 1
        request.start_stream()
        for number in range(first, LAST_EVENT + 1):
            request.send_event(number)
            if self.breaks:
                self.breaks = False
                request.reset()
                return
        request.end_stream()


@pytest.fixture
def deployment() -> Deployment:
    """A fleet that serves with two accounts."""
    return Deployment()


@pytest.mark.parametrize("path", ["/maps/x", "/plan/x"])
def test_each_attempt_names_the_account(
    deployment: Deployment, path: str
) -> None:
    deployment.breaks = True
    caller = deployment.ask(path, KEYS["north"], vm=1, request_id="q1")
    assert status_of(caller.data) == 200
    assert deployment.account_by_request["q1"] == ["north", "north"]


@pytest.mark.parametrize("path", ["/maps/x", "/plan/x"])
def test_a_relayed_attempt_names_the_account(
    deployment: Deployment, path: str
) -> None:
    deployment.fleet.link_by_vm[2].cut(LinkFault.REFUSED)
    deployment.run(1.5)
    caller = deployment.ask(path, KEYS["south"], vm=2, request_id="q1")
    assert status_of(caller.data) == 200
    assert set(deployment.account_by_request["q1"]) == {"south"}


def test_a_stream_taken_up_elsewhere_names_the_account(
    deployment: Deployment,
) -> None:
    deployment.ask("/plan/x", KEYS["north"], vm=0, request_id="q1")
    caller = deployment.ask(
        "/plan/x",
        KEYS["north"],
        vm=3,
        request_id="q2",
        headers="Last-Event-Id: 2\r\nResumes: q1\r\n",
    )
    assert status_of(caller.data) == 200
    assert b"id: 3" in caller.data
    assert deployment.account_by_request["q2"] == ["north"]


def test_a_kept_turn_goes_on_at_another_vm_for_its_account_only(
    deployment: Deployment,
) -> None:
    deployment.ask("/chat/x", KEYS["north"], vm=0, request_id="t1")
    previous = "X-Previous-Turn: t1\r\n"
    caller = deployment.ask(
        "/chat/x", KEYS["north"], vm=3, request_id="t2", headers=previous
    )
    assert status_of(caller.data) == 200
    assert deployment.account_by_request["t2"] == ["north"]
    caller = deployment.ask(
        "/chat/x", KEYS["south"], vm=3, request_id="t3", headers=previous
    )
    assert status_of(caller.data) == 404
    assert "t3" not in deployment.account_by_request


def test_anonymous_routes_are_served_without_a_key(
    deployment: Deployment,
) -> None:
    deployment.breaks = True
    caller = deployment.ask("/open/x", None, vm=4, request_id="q1")
    assert status_of(caller.data) == 200
    assert deployment.account_by_request["q1"] == [None, None]


def test_a_moved_key_counts_for_connected_callers_in_time(
    deployment: Deployment,
) -> None:
    vms = deployment.fleet.vms
    callers = [vm.connect() for vm in vms]

    def ask_all(number: int) -> list[int]:
        headers = f"Authorization: Bearer {KEYS['north']}\r\n"
        for index, (vm, caller) in enumerate(zip(vms, callers, strict=True)):
            vm.send_request(
                "/maps/x",
                headers=headers,
                request_id=f"q{number}-{index}",
                caller=caller,
            )
        received = [caller.protocol.data for caller in callers]
        return [int(data.rpartition(b"HTTP/1.1 ")[2][:3]) for data in received]

    assert ask_all(1) == [200] * VMS
    # Versions in quick succession: the last one counts everywhere.
    deployment.configure(south="other")
    deployment.configure(north="other")
    deployment.configure(south=KEYS["north"])
    deployment.run(BOUND_S)
    assert ask_all(2) == [200] * VMS
    names = [deployment.account_by_request[f"q2-{n}"] for n in range(VMS)]
    assert names == [["south"]] * VMS
    deployment.configure(south="other")
    deployment.run(BOUND_S)
    assert ask_all(3) == [401] * VMS


# Guards against a final 401 for a key that the others already know.
def test_a_vm_without_the_store_asks_a_peer_once_for_many(
    deployment: Deployment,
) -> None:
    deployment.fleet.vms[2].store.refused_topics.add(Topic.CONFIGURATION)
    deployment.run(BOUND_S + 0.5)
    deployment.configure(**KEYS, added=ADDED_KEY)
    deployment.run(0.2)
    sent = deployment.fleet.links.sent
    assert not sent[AskConfiguration]
    callers = [
        deployment.ask(
            "/maps/x", ADDED_KEY, vm=2, request_id=f"q{n}", run_s=0.0
        )
        for n in range(20)
    ]
    deployment.run(0.5)
    assert [status_of(caller.data) for caller in callers] == [200] * 20
    assert sent[AskConfiguration] <= 6


def test_a_vm_in_a_cut_refuses_nothing_for_good(
    deployment: Deployment,
) -> None:
    deployment.isolate(2)
    deployment.configure(**{**KEYS, "south": ADDED_KEY})
    deployment.run(BOUND_S + 0.5)
    # The old key is known here, the new one is not, and neither is final.
    old = deployment.ask("/maps/x", KEYS["south"], vm=2, request_id="q1")
    assert status_of(old.data) == 200
    for path in ("/maps/x", "/nowhere/x"):
        caller = deployment.ask(path, ADDED_KEY, vm=2, request_id="q2")
        assert status_of(caller.data) == 503
    deployment.reconnect(2)
    deployment.run(BOUND_S)
    caller = deployment.ask("/maps/x", ADDED_KEY, vm=2, request_id="q3")
    assert status_of(caller.data) == 200
    assert deployment.account_by_request["q3"] == ["south"]
    caller = deployment.ask("/maps/x", KEYS["south"], vm=2, request_id="q4")
    assert status_of(caller.data) == 401


def test_keys_expire_without_evidence_where_revocation_is_enforced() -> None:
    harness = EntryVmHarness(revocation_timeout_s=2.0)
    harness.configure([*ROUTES, OPEN], tenants=tenants(**KEYS))
    harness.add_target("one", lambda request: request.respond(200, b"whole"))
    harness.start()
    headers = f"Authorization: Bearer {KEYS['north']}\r\n"

    def ask(path: str = "/maps/x") -> int:
        return status_of(harness.send_request(path, headers=headers))

    harness.store.fault = Fault.REFUSES
    harness.reactor.run(1.5)
    assert ask() == 200
    harness.reactor.run(0.6)
    assert ask() == 503
    assert ask("/open/x") == 200
    harness.store.fault = Fault.NONE
    harness.reactor.run(0.5)
    assert ask() == 200


@pytest.fixture
def sent(monkeypatch: pytest.MonkeyPatch) -> list[bytes]:
    """All that VMs send to each other, to targets and to callers."""
    seen: list[bytes] = []
    write = FakeTransport.write

    def recorded(transport: FakeTransport, data: bytes) -> None:
        if not isinstance(transport.protocol, RecordingCaller):
            seen.append(data)
        write(transport, data)

    def encoded(message: Any) -> bytes:
        seen.append(encode(message))
        if isinstance(message, RelayedConfiguration) and message.value:
            seen.append(zlib.decompress(message.value))
        return encode(message)

    monkeypatch.setattr(FakeTransport, "write", recorded)
    monkeypatch.setattr("tests.entry.fleet.encode", encoded)
    return seen


# Guards against a key in anything that leaves a VM, whatever went wrong.
def test_no_key_leaves_a_vm(
    deployment: Deployment,
    sent: list[bytes],
    capsys: pytest.CaptureFixture[str],
) -> None:
    fleet = deployment.fleet
    keys = [*KEYS.values(), ADDED_KEY, "secret-unknown", "secret, odd"]
    # Ways to lose the store, the targets, or everything.
    fleet.vms[1].store.fault = Fault.REFUSES
    fleet.link_by_vm[2].cut(LinkFault.REFUSED)
    deployment.isolate(3)
    fleet.vms[4].store.refused_topics.add(Topic.CONFIGURATION)
    deployment.run(BOUND_S + 0.5)
    faulty = [*tenants(**KEYS, added=ADDED_KEY), {"api_keys": [ADDED_KEY]}]
    fleet.vms[0].configure([*ROUTES, OPEN], tenants=faulty)
    number = 0
    for vm in range(VMS):
        for path in ("/maps/x", "/plan/x", "/chat/x", "/open/x", "/no/x"):
            for key in keys:
                number += 1
                deployment.breaks = number % 5 == 0
                deployment.ask(
                    path, key, vm=vm, request_id=f"q{number}", run_s=0.05
                )
    deployment.run(2.0)
    seen = b"".join(sent)
    for topic, records in fleet.log.by_topic.items():
        if topic is not Topic.CONFIGURATION:
            seen += b"".join(r.key + (r.value or b"") for r in records)
    seen += b"".join(vm.metrics.render() for vm in fleet.vms)
    output = capsys.readouterr()
    seen += (output.out + output.err).encode()
    for part in (
        b"HTTP/1.1 401",
        b"HTTP/1.1 503",
        b"SendAttempt",
        b"RelayedConfiguration",
        b"Records",
        b"api_key_digests",
        b"request refused",
        b"are faulty",
    ):
        assert part in seen
    for key in keys:
        assert key.encode() not in seen
