"""A short soak run, and a check that each of its checks can fail."""

from __future__ import annotations

import random
import socket
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import ConnectionRefusedError  # noqa: A004
from twisted.internet.protocol import Factory, Protocol

from lycheestall.clock import sleep
from lycheestall.entry.connection_pool import ConnectionPool
from lycheestall.entry.http_messages import Request
from lycheestall.entry.store import Topic
from tests.soak.loopback_proxy import LoopbackProxy, ProxyMode
from tests.soak.soak import MAX_TURN_TOKENS, Soak
from tests.soak.soak_conversations import SoakConversations
from tests.soak.soak_streams import SoakStream
from tests.soak.soak_vm import ROOT

Run = Callable[[Coroutine[Any, Any, Any]], Any]


@pytest.mark.parametrize("seed", [401, 402])
def test_guarantees_hold_under_faults(
    reactor: Any, run: Run, tmp_path: Path, seed: int
) -> None:
    soak = Soak(reactor, seed=seed, seconds=5.0, directory=tmp_path)
    report = run(soak.run())
    assert report.violations == []
    assert report.statuses[200] > 0


def test_vms_that_do_not_start_are_reported(
    reactor: Any, run: Run, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tests.soak.soak.START_LIMIT_S", 0.2)
    soak = Soak(reactor, seed=403, seconds=0.0, directory=tmp_path)
    run(soak.wait_until_served())
    assert soak.report.violations == ["start: no request was served"]
    soak.close()


# Guards against a soak of two builds in which all VMs run the same one.
def test_each_second_vm_starts_with_the_other_build(
    reactor: Any, tmp_path: Path
) -> None:
    other = tmp_path / "other"
    soak = Soak(
        reactor, seed=405, seconds=0.0, directory=tmp_path, other_build=other
    )
    assert [vm.build for vm in soak._vms] == [ROOT, other, ROOT]
    soak.close()


# Guards against a fault that leaves a software version without an engine.
def test_removed_engines_leave_one_of_each_version(
    reactor: Any, tmp_path: Path
) -> None:
    soak = Soak(reactor, seed=406, seconds=0.0, directory=tmp_path)
    for _ in range(20):
        soak._faults._remove_engine()
    registered = [
        target.software_version
        for target in soak._targets
        if target.service == "engines" and target.registered
    ]
    assert sorted(registered) == ["v1", "v2"]
    removals = [r for r in soak._log.by_topic[Topic.TARGETS] if not r.value]
    assert len(removals) == 2
    soak.close()


# Guards against links that stay lost for the rest of a run.
def test_a_proxy_that_refused_connections_accepts_them_again(
    reactor: Any, run: Run
) -> None:
    server = reactor.listenTCP(
        0, Factory.forProtocol(Protocol), interface="127.0.0.1"
    )
    proxy = LoopbackProxy(reactor, server.getHost().port)

    async def connect() -> None:
        proxy.set_mode(ProxyMode.CUT)
        await sleep(reactor, 0.05)
        proxy.set_mode(ProxyMode.PASS)
        pool = ConnectionPool(
            reactor, "127.0.0.1", proxy.port, connect_timeout_s=1.0
        )
        await pool.probe(timeout_s=1.0)
        pool.close()

    run(connect())
    proxy.stop()
    server.stopListening()


# Guards against links that stay lost because others took a proxy's port.
def test_a_proxy_keeps_its_port_while_it_refuses_connections(
    reactor: Any, run: Run
) -> None:
    proxy = LoopbackProxy(reactor, 1)

    async def refuse() -> None:
        proxy.set_mode(ProxyMode.CUT)
        await sleep(reactor, 0.05)
        pool = ConnectionPool(
            reactor, "127.0.0.1", proxy.port, connect_timeout_s=1.0
        )
        with pytest.raises(ConnectionRefusedError):
            await pool.probe(timeout_s=1.0)

    run(refuse())
    with socket.socket() as other, pytest.raises(OSError, match="in use"):
        other.bind(("127.0.0.1", proxy.port))
    proxy.stop()


def test_a_kept_turn_that_is_never_found_is_reported(
    reactor: Any, run: Run
) -> None:
    chat = SoakConversations(random.Random(1))
    chat.begin("c1", b"in;", None)
    body = b"id: 1\ndata: out\n\n"
    chat.end(
        "c1",
        None,
        status=200,
        whole=True,
        body=body,
        store_undisturbed=True,
    )
    times = iter(range(100))

    async def ask(turn: object) -> None:
        await sleep(reactor, 0.0)

    run(chat.check_all_found(ask, lambda: float(next(times))))
    assert chat.violations == ["lost: c1 is not found"]


def test_a_run_that_spares_the_limited_targets_is_reported(
    reactor: Any, tmp_path: Path
) -> None:
    soak = Soak(reactor, seed=404, seconds=0.0, directory=tmp_path)
    soak._check_guarantees()
    kinds = {line.split(":")[0] for line in soak.report.violations}
    assert kinds == {"limited", "service"}
    soak.close()


def test_each_check_can_fail(reactor: Any, tmp_path: Path) -> None:
    soak = Soak(reactor, seed=407, seconds=0.0, directory=tmp_path)
    chat = soak._conversations
    chat.begin("c1", b"in;", None)
    turn = chat.end(
        "c1",
        None,
        status=200,
        whole=True,
        body=b"id: 1\ndata: out\n\n",
        store_undisturbed=True,
    )
    assert turn is not None
    assert turn.output == b"out\n"
    chat.begin("c2", b"more", turn)
    chat.received["c2"] = b"more"
    chat.end(
        "c2",
        turn,
        status=404,
        whole=True,
        body=b"",
        store_undisturbed=True,
    )
    soak._orders.add("order")
    soak._run_counts["order"] = 2
    soak._not_run.add("refused")
    soak._run_counts["refused"] = 1
    soak._budgets["program"] = 100
    soak._tokens["program"] = 100 + MAX_TURN_TOKENS + 1
    stream = SoakStream("r", versions={"v2"})
    soak._streams.received(
        stream,
        "r",
        b"id: 1\nevent: v1\ndata: r\n\nid: 3\nevent: v1\ndata: q\n\n",
        whole=True,
    )
    soak._accounts.headers("mine", may_be_wrong=False)
    forged = ((b"X-Request-Id", b"mine"), (b"Authorization", b"mine"))
    soak._accounts.received(Request(b"POST", b"/", forged, b"", True, 0.0))
    soak._accounts.answered("mine", 401)
    limited = soak._targets[1]
    limited.received_at = [0.1 * number for number in range(18)]
    soak._check_guarantees()
    kinds = {line.split(":")[0] for line in soak.report.violations}
    assert kinds == {
        "once",
        "refusal",
        "budget",
        "order",
        "end",
        "answer",
        "service",
        "limit",
        "lost",
        "prompt",
        "version",
        "account",
        "key",
        "denied",
    }
    soak.close()
