"""Tests of slow target reports when a third of the targets become slow.

Many VMs share the targets, so each VM sends a target only one request in
several seconds: its own observations are outdated before it can use them.
"""

from __future__ import annotations

import heapq
import random

from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.task import Clock

from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import SlowTargets, decode, encode
from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.placement.target_latencies import SlowResponses
from lycheestall.entry.slow_target_reporter import SlowTargetReporter
from lycheestall.entry.store import KeyedRecord
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, TargetId, ZoneId
from lycheestall.logs import get_logger
from tests.entry.choosers import SERVICE, new_chooser

TARGETS = 29
SLOW = frozenset(TargetId(f"t{number}") for number in range(0, TARGETS, 3))
SLOWDOWN = 6.5
VMS = 20
REQUESTS_PER_SECOND = 9
STEP_S = 0.05
REPORT_EVERY_STEPS = 8


class Fleet:
    """Simulates VMs that send requests to the same targets."""

    def __init__(self, *, share_reports: bool) -> None:
        self._rng = random.Random(5)
        self._choosers = [
            new_chooser(TARGETS, vm=f"vm-{number}") for number in range(VMS)
        ]
        self._share_reports = share_reports
        self._running: list[tuple[float, int, int, TargetId, float]] = []
        self._sent = 0
        self._now = 0.0

    def run(
        self,
        seconds: float,
        slow: frozenset[TargetId],
        *,
        watched: frozenset[TargetId] = SLOW,
    ) -> float:
        """Runs for a time; returns the share of requests to ``watched``."""
        started_at = self._now
        watched_count = sent = 0
        for step in range(int(seconds / STEP_S)):
            now = started_at + step * STEP_S
            self._end_requests(now)
            for number, chooser in enumerate(self._choosers):
                if self._rng.random() > REQUESTS_PER_SECOND * STEP_S:
                    continue
                sent += 1
                target = self._send(number, chooser, slow, now)
                watched_count += target in watched
            if self._share_reports and step % REPORT_EVERY_STEPS == 0:
                self._exchange_reports(now)
        self._now = started_at + seconds
        return watched_count / sent

    def _send(
        self,
        number: int,
        chooser: TargetChooser,
        slow: frozenset[TargetId],
        now: float,
    ) -> TargetId:
        self._sent += 1
        registration = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % self._sent,
            avoid=(),
            now=now,
        )
        assert registration is not None
        took_s = self._rng.lognormvariate(-3.0, 0.6)
        if registration.target in slow:
            took_s *= SLOWDOWN
        chooser.request_started(registration.target)
        end = (now + took_s, self._sent, number, registration.target, took_s)
        heapq.heappush(self._running, end)
        return registration.target

    def _end_requests(self, now: float) -> None:
        while self._running and self._running[0][0] <= now:
            ended_at, _, number, target, took_s = heapq.heappop(self._running)
            chooser = self._choosers[number]
            chooser.request_ended(target)
            chooser.record_response(target, "route", took_s, ended_at)

    def _exchange_reports(self, now: float) -> None:
        reports = [c.take_slow_responses() for c in self._choosers]
        for number, chooser in enumerate(self._choosers):
            for other, report in enumerate(reports):
                if other != number:
                    chooser.add_remote_slow_responses(report, now)


def slow_share(*, share_reports: bool) -> float:
    fleet = Fleet(share_reports=share_reports)
    fleet.run(5.0, frozenset())
    fleet.run(1.0, SLOW)
    return fleet.run(4.0, SLOW)


def test_reports_detect_slow_targets_sooner_than_each_vm_alone() -> None:
    separate = slow_share(share_reports=False)
    shared = slow_share(share_reports=True)
    assert shared < 0.5 * separate
    assert shared < 0.1


def test_targets_that_have_recovered_get_requests_again() -> None:
    fleet = Fleet(share_reports=True)
    fleet.run(5.0, frozenset())
    fleet.run(5.0, SLOW)
    fleet.run(3.0, frozenset())
    fair = len(SLOW) / TARGETS
    assert fleet.run(4.0, frozenset(), watched=SLOW) > 0.9 * fair


def test_a_report_survives_encoding_and_decoding() -> None:
    message = SlowTargets(
        HolderId("vm-1"), (SlowResponses(TargetId("t1"), 2, 3.25),)
    )
    assert decode(encode(message)) == message


class RecordingPeers:
    """Records the messages sent to peers."""

    def __init__(self) -> None:
        self.messages: list[tuple[Address, object]] = []

    def call(self, address: Address, message: object, **_: float) -> object:
        """Records a message."""
        self.messages.append((address, message))
        return succeed(None)


def test_only_slow_targets_are_reported_to_peers() -> None:
    clock = Clock()
    members = Members()
    for number in range(3):
        member = Member(
            HolderId(f"vm-{number}"), Address("10.0.0.1", number), ZoneId("z")
        )
        write = join_record(member)
        record = KeyedRecord(Offset(number), write.key, write.value)
        assert members.apply(record)
    chooser = new_chooser(TARGETS)
    peers = RecordingPeers()
    reporter = SlowTargetReporter(
        holder=HolderId("vm-0"),
        members=members,
        peers=peers,  # type: ignore[arg-type]
        chooser=chooser,
        clock=clock,
        logger=get_logger(),
    )
    for number in range(60):
        target = TargetId(f"t{number % TARGETS}")
        chooser.record_response(target, "route", 0.05, 0.0)
    ensureDeferred(reporter.send_report())
    assert peers.messages == []
    chooser.record_no_response(TargetId("t4"), "route", 1.0, 0.0)
    chooser.record_no_response(TargetId("t4"), "route", 1.0, 0.0)
    ensureDeferred(reporter.send_report())
    assert len(peers.messages) == 2
    message = peers.messages[0][1]
    assert isinstance(message, SlowTargets)
    assert [slow.target for slow in message.slow_responses] == [TargetId("t4")]
    ensureDeferred(reporter.send_report())
    assert len(peers.messages) == 2
