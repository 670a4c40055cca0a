"""Placement by expected completion, under loads of 73 VMs and 22 engines.

Each test names its load. They guard against choices that ignore the speed of
targets, flood one of them, or rely on figures that are stale or missing.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from structlog.testing import capture_logs

from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.placement.work import CompletedStream, Work
from lycheestall.ids import TargetId
from tests.entry.choosers import SERVICE, new_chooser
from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import ReceivedRequest
from tests.entry.placement_simulation import Cluster

ENGINES = 22
THREE_SPEEDS = [(1.0, 0.7, 1.7)[n % 3] for n in range(ENGINES)]
EQUAL = [1.0] * ENGINES
WARM_UP_S = 8.0
PLAY_S = 8.0


def play(
    mode: str, load: float, speeds: list[float] = THREE_SPEEDS
) -> Cluster:
    """Plays a load after a warm-up with the same load."""
    cluster = Cluster(speeds, load, mode)
    cluster.play(WARM_UP_S + PLAY_S)
    return cluster


def p95_s(cluster: Cluster, since: float = WARM_UP_S) -> float:
    return cluster.percentile_s(0.95, since=since)


def test_three_speeds_at_0_95_of_the_capacity() -> None:
    shared, today = play("new", 0.95), play("today", 0.95)
    assert p95_s(shared) < 0.6 * p95_s(today)


def test_three_speeds_and_a_vm_that_hears_nobody() -> None:
    alone, today = play("alone", 0.8), play("today", 0.8)
    assert p95_s(alone) < 0.95 * p95_s(today)


def test_moments_of_slowness_do_not_pass_for_slow_machines() -> None:
    cluster = play("alone", 0.4, EQUAL)
    uneven = [is_uneven(c) for c in cluster.choosers]
    assert sum(uneven) <= 0.05 * len(uneven)


def is_uneven(chooser: TargetChooser) -> bool:
    return any(speeds.uneven for speeds in chooser.states.all_speeds())


@pytest.mark.parametrize("mode", ["new", "alone"])
def test_equal_targets_at_a_low_load_are_chosen_as_before(mode: str) -> None:
    cluster = Cluster(EQUAL, 0.3, mode, moments=0.0)
    cluster.play(4.0)
    assert not any(is_uneven(c) for c in cluster.choosers)
    before = Cluster(EQUAL, 0.3, "today", moments=0.0)
    before.play(4.0)
    assert len(cluster.done) > 300
    assert [turn.target for _, turn in cluster.done] == [
        turn.target for _, turn in before.done
    ]


def test_a_demand_wave_that_passes_through_the_zones() -> None:
    def weight(now: float, vm: int) -> float:
        return 2.5 if int(now / 2.0) % 3 == vm % 3 else 0.25

    def wave(mode: str) -> float:
        cluster = Cluster(THREE_SPEEDS, 0.8, mode)
        cluster.vm_weight = weight
        cluster.play(WARM_UP_S + PLAY_S)
        return p95_s(cluster)

    assert wave("new") < 0.8 * wave("today")


def test_a_fast_target_that_is_lost_and_returns_cold() -> None:
    fast = TargetId("t2")
    cluster = Cluster(THREE_SPEEDS, 0.8, "new")
    cluster.play(WARM_UP_S)
    registration = cluster.table.get(fast)
    assert registration is not None
    cluster.table.remove(fast, cluster.now)
    cluster.play(3.0)
    cluster.table.register(registration)
    for chooser in cluster.choosers:
        chooser.forget(fast)
    back_at = cluster.now
    cluster.play(6.0)
    fair = 1.7 / sum(THREE_SPEEDS)
    # The first second after its return, and the time until it is measured.
    for until_s, least, most in ((1.0, 0.5, 2.5), (4.0, 0.6, 1.6)):
        sent = [
            turn.target
            for _, turn in cluster.done
            if back_at <= turn.sent_at < back_at + until_s
        ]
        assert least * fair < sent.count(fast) / len(sent) < most * fair


def test_stale_figures_after_a_cut() -> None:
    cluster = Cluster(THREE_SPEEDS, 0.8, "new")
    cluster.play(WARM_UP_S)
    cluster.cut = True
    cluster.play(PLAY_S)
    assert p95_s(cluster) < 1.1 * p95_s(play("today", 0.8))
    assert all(not c.loads.has_reports(cluster.now) for c in cluster.choosers)


def test_one_slow_moment_does_not_move_a_measured_speed() -> None:
    chooser = new_chooser(6)
    rng = random.Random(2)
    targets = [TargetId(f"t{n}") for n in range(6)]

    def stream(target: TargetId, now: float, factor: float) -> None:
        event_s = 0.042 * factor * rng.lognormvariate(0.0, 0.1)
        chooser.record_stream(
            target, CompletedStream(0, 0.06, 4 * event_s, 5), now
        )

    def relative_time(now: float) -> float:
        return chooser.pace(targets[0], now, is_stream=True).relative_time

    for step in range(60):
        for target in targets:
            stream(target, step * 0.5, 1.0)
    for step in range(12):
        stream(targets[0], 30.0 + step * 0.05, 2.5)
    assert not is_uneven(chooser)
    assert relative_time(30.8) == 1.0
    for step in range(60):
        for target in targets:
            slow = target == targets[0]
            stream(target, 31.0 + step * 0.5, 2.5 if slow else 1.0)
    assert relative_time(62.0) > 1.5


def test_a_vm_learns_from_its_streams_and_logs_its_choices(
    harness: EntryVmHarness,
) -> None:
    def respond(event_s: float) -> Callable[[ReceivedRequest], None]:
        def send_events(request: ReceivedRequest) -> None:
            request.start_stream()
            for number in range(1, 6):
                harness.reactor.callLater(
                    event_s * number, request.send_event, number
                )
            harness.reactor.callLater(event_s * 5, request.end_stream)

        return send_events

    for number in range(4):
        harness.add_target(
            f"engine-{number}",
            respond(0.02 if number < 2 else 0.05),
            service="engines",
        )
    harness.start()
    with capture_logs() as lines:
        for number in range(80):
            harness.send_request(
                "/plan/x",
                method="POST",
                body="{}",
                headers=f"X-Program-Id: p{number}\r\nX-Session-Id: s\r\n"
                f"X-Token-Usage: 1000,80\r\n"
                f"X-Prompt-Prefix: aa:512,b{number}:300\r\n",
                request_id=f"r{number}",
                run_s=0.3,
            )
    chosen = [line for line in lines if line["event"] == "target chosen"]
    assert 0 < len(chosen) < 20
    assert all(line["target"] and line["expected_ms"] for line in chosen)
    metrics = harness.metrics.render()
    assert b'lycheestall_measured_targets{vm="vm"} 4' in metrics
    assert b'lycheestall_uneven_services{vm="vm"} 1' in metrics


def test_affinity_is_worth_the_prompt_tokens_that_need_not_be_read() -> None:
    chooser = new_chooser(12)
    for step in range(200):
        target = TargetId(f"t{step % 12}")
        event_s = 0.03 if step % 3 else 0.06
        chooser.record_stream(
            target, CompletedStream(0, 0.06, 4 * event_s, 5), step * 0.1
        )

    def used(prefix_tokens: int) -> set[TargetId]:
        chosen = {
            chooser.choose(
                SERVICE,
                affinity="session",
                tie_break=b"%d" % number,
                avoid=(),
                now=21.0,
                work=Work(prefix_tokens, 5, is_engine=True),
            )
            for number in range(40)
        }
        return {c.target for c in chosen if c is not None}

    assert len(used(100_000)) == 1
    assert len(used(0)) > 1


def test_plain_services_that_differ_in_speed_are_spread_by_load() -> None:
    chooser = new_chooser(4)
    for step in range(400):
        target = TargetId(f"t{step % 4}")
        took_s = 0.05 if step % 4 < 2 else 0.15
        chooser.record_response(target, "route", took_s, step * 0.05)
        chooser.record_plain_speed(target, "route", took_s, step * 0.05)
    assert chooser.completion.applies(SERVICE, Work(), 21.0)
    sent: dict[TargetId, int] = {}
    for number in range(16):
        chosen = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % number,
            avoid=(),
            now=21.0,
            work=Work(),
        )
        assert chosen is not None
        chooser.request_started(chosen.target)
        sent[chosen.target] = sent.get(chosen.target, 0) + 1
    fast = sent.get(TargetId("t0"), 0), sent.get(TargetId("t1"), 0)
    assert sum(fast) > 8
    assert min(fast) >= 4
