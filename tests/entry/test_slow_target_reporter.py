"""Pattern: a third of the targets turn slow, and each VM knows few of them.

Many VMs share the targets, so that each VM sends a target one request in
some seconds: what it learns by itself is old before it can use it.
"""

from __future__ import annotations

import heapq
import random

from twisted.internet.defer import ensureDeferred, succeed
from twisted.internet.task import Clock

from lycheestall.entry.members import Member, Members, announcement
from lycheestall.entry.peer_messages import SlowTargets, decode, encode
from lycheestall.entry.slow_target_reporter import SlowTargetReporter
from lycheestall.entry.store import KeyedRecord
from lycheestall.entry.target_chooser import TargetChooser
from lycheestall.entry.target_latencies import SlowResponses
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, TargetId, ZoneId
from lycheestall.logs import get_logger
from tests.entry.choosers import SERVICE, new_chooser

TARGETS = 29
SLOW = frozenset(TargetId(f"t{number}") for number in range(0, TARGETS, 3))
SLOW_BY = 6.5
VMS = 20
REQUESTS_A_SECOND = 9
STEP_S = 0.05
NEWS_STEPS = 8


class Fleet:
    """VMs that send requests to the same targets, in virtual time."""

    def __init__(self, *, share: bool) -> None:
        self._dice = random.Random(5)
        self._choosers = [new_chooser(TARGETS) for _ in range(VMS)]
        self._share = share
        self._ends: list[tuple[float, int, int, TargetId, float]] = []
        self._sent = 0
        self._clock = 0.0

    def run(
        self,
        seconds: float,
        slow: frozenset[TargetId],
        *,
        watched: frozenset[TargetId] = SLOW,
    ) -> float:
        """Returns the share of the requests that went to watched targets."""
        start = self._clock
        to_watched = sent = 0
        for step in range(int(seconds / STEP_S)):
            now = start + step * STEP_S
            self._end_until(now)
            for number, chooser in enumerate(self._choosers):
                if self._dice.random() > REQUESTS_A_SECOND * STEP_S:
                    continue
                sent += 1
                target = self._send(number, chooser, slow, now)
                to_watched += target in watched
            if self._share and step % NEWS_STEPS == 0:
                self._tell(now)
        self._clock = start + seconds
        return to_watched / sent

    def _send(
        self,
        number: int,
        chooser: TargetChooser,
        slow: frozenset[TargetId],
        now: float,
    ) -> TargetId:
        self._sent += 1
        entry = chooser.choose(
            SERVICE,
            affinity=None,
            tie_break=b"%d" % self._sent,
            avoid=(),
            now=now,
        )
        assert entry is not None
        took_s = self._dice.lognormvariate(-3.0, 0.6)
        if entry.target in slow:
            took_s *= SLOW_BY
        chooser.sent(entry.target)
        end = (now + took_s, self._sent, number, entry.target, took_s)
        heapq.heappush(self._ends, end)
        return entry.target

    def _end_until(self, now: float) -> None:
        while self._ends and self._ends[0][0] <= now:
            at, _, number, target, took_s = heapq.heappop(self._ends)
            chooser = self._choosers[number]
            chooser.ended(target)
            chooser.answered(target, "kind", took_s, at)

    def _tell(self, now: float) -> None:
        told = [c.take_slow_responses() for c in self._choosers]
        for number, chooser in enumerate(self._choosers):
            for other, answers in enumerate(told):
                if other != number:
                    chooser.add_remote_slow_responses(answers, now)


def share_to_slow(*, share: bool) -> float:
    fleet = Fleet(share=share)
    fleet.run(5.0, frozenset())
    fleet.run(1.0, SLOW)
    return fleet.run(4.0, SLOW)


def test_a_group_finds_slow_targets_sooner_than_each_vm_alone() -> None:
    alone = share_to_slow(share=False)
    together = share_to_slow(share=True)
    assert together < 0.5 * alone
    assert together < 0.1


def test_targets_that_have_recovered_get_work_again() -> None:
    fleet = Fleet(share=True)
    fleet.run(5.0, frozenset())
    fleet.run(5.0, SLOW)
    fleet.run(3.0, frozenset())
    fair = len(SLOW) / TARGETS
    assert fleet.run(4.0, frozenset(), watched=SLOW) > 0.9 * fair


def test_messages_keep_what_was_seen() -> None:
    message = SlowTargets(
        HolderId("vm-1"), (SlowResponses(TargetId("t1"), 2, 3.25),)
    )
    assert decode(encode(message)) == message


class Peers:
    """Keeps what neighbours are told."""

    def __init__(self) -> None:
        self.told: list[tuple[Address, object]] = []

    def call(self, address: Address, message: object, **_: float) -> object:
        """Notes a message."""
        self.told.append((address, message))
        return succeed(None)


def test_neighbours_hear_of_slow_targets_and_of_nothing_else() -> None:
    clock = Clock()
    members = Members()
    for number in range(3):
        member = Member(
            HolderId(f"vm-{number}"), Address("10.0.0.1", number), ZoneId("z")
        )
        write = announcement(member)
        record = KeyedRecord(Offset(number), write.key, write.value)
        assert members.apply(record)
    chooser = new_chooser(TARGETS)
    peers = Peers()
    news = SlowTargetReporter(
        holder=HolderId("vm-0"),
        members=members,
        peers=peers,  # type: ignore[arg-type]
        chooser=chooser,
        clock=clock,
        logger=get_logger(),
    )
    for number in range(60):
        target = TargetId(f"t{number % TARGETS}")
        chooser.answered(target, "kind", 0.05, 0.0)
    ensureDeferred(news.step())
    assert peers.told == []
    chooser.unanswered(TargetId("t4"), "kind", 1.0, 0.0)
    chooser.unanswered(TargetId("t4"), "kind", 1.0, 0.0)
    ensureDeferred(news.step())
    assert len(peers.told) == 2
    message = peers.told[0][1]
    assert isinstance(message, SlowTargets)
    assert [slow.target for slow in message.answers] == [TargetId("t4")]
    ensureDeferred(news.step())
    assert len(peers.told) == 2
