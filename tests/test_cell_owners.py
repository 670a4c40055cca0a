"""Random faults on a cell; no partition may ever have two owners."""

from __future__ import annotations

from random import Random

import pytest
from cell_world import CellWorld, tuned

from lycheestall.authority import Authority
from lycheestall.ids import VmId
from lycheestall.log_streams import LogStreams
from lycheestall.messages import AppendWanted, TailGiven, TailWanted
from lycheestall.sessions import Sessions

NODES = 5
RUN_S = 60.0
QUIET_S = 45.0


class Storm:
    """Draws faults, lets them pass, and heals everything at the end."""

    def __init__(self, cell: CellWorld, seed: int) -> None:
        self.cell = cell
        self.rng = Random(seed)
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.blocked: list[tuple[str, str]] = []

    def run(self) -> None:
        """Runs the faults, then a quiet time."""
        world = self.cell.world
        end = world.now + RUN_S
        while world.now < end:
            self._draw()
            world.run_for(self.rng.uniform(0.1, 6.0))
        self._heal()
        world.run_for(QUIET_S)

    def _draw(self) -> None:
        faults = (
            self._pause,
            self._resume,
            self._kill,
            self._boot,
            self._cut,
            self._block,
            self._reconnect,
            self._outage,
            self._lose_answers,
            self._slow,
            self._silence,
            self._drain,
        )
        self.rng.choice(faults)()

    def _up(self) -> list[str]:
        vms = sorted(self.cell.node_by_vm)
        return [vm for vm in vms if vm not in self.paused | self.dead]

    def _some(self) -> list[str]:
        up = self._up()
        return self.rng.sample(up, self.rng.randint(1, max(1, len(up) // 2)))

    def _pause(self) -> None:
        if len(self._up()) > 1:
            vm = self.rng.choice(self._up())
            self.paused.add(vm)
            self.cell.world.pause(vm)

    def _resume(self) -> None:
        if self.paused:
            vm = self.rng.choice(sorted(self.paused))
            self.paused.remove(vm)
            self.cell.world.resume(vm)

    def _kill(self) -> None:
        if len(self._up()) > 2:
            vm = self.rng.choice(self._up())
            self.dead.add(vm)
            self.cell.kill(vm)

    def _boot(self) -> None:
        if self.dead:
            vm = self.rng.choice(sorted(self.dead))
            self.dead.remove(vm)
            self.cell.boot(vm, f"z{int(vm[2:]) % 3}", rate=self._rate())

    def _rate(self) -> float:
        return self.rng.uniform(0.95, 1.05)

    def _cut(self) -> None:
        if self._up():
            self.cell.isolate(self._some())

    def _block(self) -> None:
        if len(self._up()) > 1:
            sender, receiver = self.rng.sample(self._up(), 2)
            self.cell.network.block(sender, receiver)

    def _reconnect(self) -> None:
        self.cell.rejoin(list(self.cell.node_by_vm))

    def _outage(self) -> None:
        now = self.cell.world.now
        nodes = None if self.rng.random() < 0.4 else self._some()
        self.cell.log.outage(now, now + self.rng.uniform(1, 25), nodes)

    def _lose_answers(self) -> None:
        now = self.cell.world.now
        end = now + self.rng.uniform(1, 15)
        self.cell.log.lose_responses(now, end, self._some())
        self.cell.log.duplicate_late(now, end, self.rng.uniform(0.1, 9))

    def _slow(self) -> None:
        now = self.cell.world.now
        extra_s = self.rng.uniform(0.1, 3)
        self.cell.log.slow(now, now + 10, extra_s, self._some())

    def _silence(self) -> None:
        if len(self._up()) > 1:
            self.cell.network.silence(*self.rng.sample(self._up(), 2))

    def _drain(self) -> None:
        if len(self._up()) > 2:
            vm = self.rng.choice(self._up())
            self.cell.node_by_vm[vm].agent.drain()
            self.cell.world.run_for(1.5)
            self.cell.kill(vm)
            self.dead.add(vm)

    def _heal(self) -> None:
        for vm in sorted(self.paused):
            self.cell.world.resume(vm)
        self.paused.clear()
        for vm in sorted(self.dead):
            self.cell.boot(vm, f"z{int(vm[2:]) % 3}")
        self.dead.clear()
        self._reconnect()


def storm(seed: int, **tuning: float) -> CellWorld:
    cell = CellWorld(seed, tuning=tuned(**tuning))
    rng = Random(seed + 1000)
    for number in range(NODES):
        rate = rng.uniform(0.95, 1.05)
        cell.boot(f"vm{number:02}", f"z{number % 3}", rate=rate)
        cell.world.run_for(rng.uniform(0.0, 2.0))
    Storm(cell, seed).run()
    return cell


@pytest.mark.parametrize("seed", range(12))
def test_no_partition_has_two_owners(seed: int) -> None:
    cell = storm(seed)
    assert cell.violations == []
    assert cell.all_owned(), cell.owners()


def cell_with_a_stale_majority() -> CellWorld:
    """Returns a cell of seven of which an old majority of three is cut.

    Two of the first three members can reach each other alone; the third
    goes on with four that joined later and that the two never heard of.
    """
    cell = CellWorld()
    cell.boot_all(3)
    stale = ["vm00", "vm01"]
    cell.log.outage(cell.world.now, nodes=stale)
    for vm in stale:
        cell.network.cut(vm, "vm02")
    for number in range(3, 7):
        cell.boot(f"vm{number:02}", f"z{number % 3}")
        cell.isolate(stale)
    cell.world.run_for(60.0)
    return cell


def test_stale_majority_keeps_its_partitions_until_it_is_dropped() -> None:
    cell = cell_with_a_stale_majority()
    assert cell.owned_by("vm00") or cell.owned_by("vm01")
    for vm in ("vm00", "vm01"):
        cell.kill(vm, drop=True)
    cell.world.run_for(20.0)
    assert cell.all_owned()
    assert cell.violations == []


def test_checker_sees_a_takeover_that_asks_only_the_newest_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    newest = property(lambda sessions: tuple(sessions._configurations[-1:]))
    monkeypatch.setattr(Sessions, "configurations", newest)
    assert cell_with_a_stale_majority().violations


def test_checker_sees_a_lease_that_never_ends(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Authority, "holds", lambda authority, now: True)
    cell = CellWorld()
    cell.boot_all(3)
    owner = max(sorted(cell.node_by_vm), key=lambda vm: len(cell.owned_by(vm)))
    cell.world.pause(owner)
    cell.world.run_for(20.0)
    assert cell.violations


def test_checker_sees_a_successor_that_does_not_wait() -> None:
    waits = [storm(seed, lease_margin_s=-3.0) for seed in range(3)]
    assert any(cell.violations for cell in waits)


def cell_without_help(monkeypatch: pytest.MonkeyPatch) -> CellWorld:
    """Returns a cell in which a VM lost the log and gets no help.

    Its heartbeats go on; its peers neither append for it nor give it
    entries.
    """
    original = LogStreams.on_message

    def unhelpful(streams: LogStreams, peer: VmId, message: object) -> bool:
        if isinstance(message, AppendWanted | TailWanted | TailGiven):
            return True
        return original(streams, peer, message)

    cell = CellWorld()
    cell.boot_all(4)
    monkeypatch.setattr(LogStreams, "on_message", unhelpful)
    owner = max(sorted(cell.node_by_vm), key=lambda vm: len(cell.owned_by(vm)))
    cell.log.outage(cell.world.now, nodes=[owner])
    cell.world.run_for(30.0)
    return cell


def test_peers_that_know_more_give_no_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = cell_without_help(monkeypatch)
    assert cell.all_owned()
    assert cell.violations == []


def test_checker_sees_replies_counted_that_know_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Authority, "_covers", lambda authority, reply: True)
    assert cell_without_help(monkeypatch).violations
