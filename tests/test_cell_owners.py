"""Random faults on a cell; no partition may have two owners at a time."""

from __future__ import annotations

from random import Random

import pytest
from simulated_cell import SimulatedCell, tuned

from lycheestall.authority import Authority
from lycheestall.ids import VmId
from lycheestall.log_streams import LogStreams
from lycheestall.messages import AppendWanted, TailGiven, TailWanted
from lycheestall.sessions import Sessions

NODES = 5
RUN_S = 60.0
QUIET_S = 45.0


class FaultInjector:
    """Injects random faults and repairs all of them at the end."""

    def __init__(self, cell: SimulatedCell, seed: int) -> None:
        self.cell = cell
        self.rng = Random(seed)
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.blocked: list[tuple[str, str]] = []

    def run(self) -> None:
        """Injects faults for ``RUN_S``, then runs ``QUIET_S`` without any."""
        simulation = self.cell.simulation
        end = simulation.now + RUN_S
        while simulation.now < end:
            self._inject()
            simulation.run_for(self.rng.uniform(0.1, 6.0))
        self._repair()
        simulation.run_for(QUIET_S)

    def _inject(self) -> None:
        faults = (
            self._pause,
            self._resume,
            self._kill,
            self._restart,
            self._cut,
            self._block,
            self._reconnect,
            self._outage,
            self._lose_responses,
            self._slow,
            self._stall,
            self._drain,
        )
        self.rng.choice(faults)()

    def _running(self) -> list[str]:
        vms = sorted(self.cell.node_by_vm)
        return [vm for vm in vms if vm not in self.paused | self.dead]

    def _random_vms(self) -> list[str]:
        running = self._running()
        return self.rng.sample(
            running, self.rng.randint(1, max(1, len(running) // 2))
        )

    def _pause(self) -> None:
        if len(self._running()) > 1:
            vm = self.rng.choice(self._running())
            self.paused.add(vm)
            self.cell.simulation.pause(vm)

    def _resume(self) -> None:
        if self.paused:
            vm = self.rng.choice(sorted(self.paused))
            self.paused.remove(vm)
            self.cell.simulation.resume(vm)

    def _kill(self) -> None:
        if len(self._running()) > 2:
            vm = self.rng.choice(self._running())
            self.dead.add(vm)
            self.cell.kill(vm)

    def _restart(self) -> None:
        if self.dead:
            vm = self.rng.choice(sorted(self.dead))
            self.dead.remove(vm)
            self.cell.start_vm(vm, f"z{int(vm[2:]) % 3}", rate=self._rate())

    def _rate(self) -> float:
        return self.rng.uniform(0.95, 1.05)

    def _cut(self) -> None:
        if self._running():
            self.cell.isolate(self._random_vms())

    def _block(self) -> None:
        if len(self._running()) > 1:
            sender, receiver = self.rng.sample(self._running(), 2)
            self.cell.network.block(sender, receiver)

    def _reconnect(self) -> None:
        self.cell.rejoin(list(self.cell.node_by_vm))

    def _outage(self) -> None:
        now = self.cell.simulation.now
        nodes = None if self.rng.random() < 0.4 else self._random_vms()
        self.cell.log.outage(now, now + self.rng.uniform(1, 25), nodes)

    def _lose_responses(self) -> None:
        now = self.cell.simulation.now
        end = now + self.rng.uniform(1, 15)
        self.cell.log.lose_responses(now, end, self._random_vms())
        self.cell.log.duplicate_late(now, end, self.rng.uniform(0.1, 9))

    def _slow(self) -> None:
        now = self.cell.simulation.now
        extra_s = self.rng.uniform(0.1, 3)
        self.cell.log.slow(now, now + 10, extra_s, self._random_vms())

    def _stall(self) -> None:
        if len(self._running()) > 1:
            self.cell.network.stall_connection(
                *self.rng.sample(self._running(), 2)
            )

    def _drain(self) -> None:
        if len(self._running()) > 2:
            vm = self.rng.choice(self._running())
            self.cell.node_by_vm[vm].agent.drain()
            self.cell.simulation.run_for(1.5)
            self.cell.kill(vm)
            self.dead.add(vm)

    def _repair(self) -> None:
        for vm in sorted(self.paused):
            self.cell.simulation.resume(vm)
        self.paused.clear()
        for vm in sorted(self.dead):
            self.cell.start_vm(vm, f"z{int(vm[2:]) % 3}")
        self.dead.clear()
        self._reconnect()


def run_with_faults(seed: int, **tuning: float) -> SimulatedCell:
    cell = SimulatedCell(seed, tuning=tuned(**tuning))
    rng = Random(seed + 1000)
    for number in range(NODES):
        rate = rng.uniform(0.95, 1.05)
        cell.start_vm(f"vm{number:02}", f"z{number % 3}", rate=rate)
        cell.simulation.run_for(rng.uniform(0.0, 2.0))
    FaultInjector(cell, seed).run()
    return cell


@pytest.mark.parametrize("seed", range(12))
def test_no_partition_has_two_owners(seed: int) -> None:
    cell = run_with_faults(seed)
    assert cell.violations == []
    assert cell.all_owned(), cell.owners()


def cell_with_an_outdated_majority() -> SimulatedCell:
    """Returns a cell of seven with an outdated majority cut off.

    Two of the first three members reach only each other, a majority of
    the first configuration. The third continues with four members that
    joined later and of which the two don't know.
    """
    cell = SimulatedCell()
    cell.start_vms(3)
    outdated = ["vm00", "vm01"]
    cell.log.outage(cell.simulation.now, nodes=outdated)
    for vm in outdated:
        cell.network.cut(vm, "vm02")
    for number in range(3, 7):
        cell.start_vm(f"vm{number:02}", f"z{number % 3}")
        cell.isolate(outdated)
    cell.simulation.run_for(60.0)
    return cell


def test_outdated_majority_keeps_partitions_until_it_is_dropped() -> None:
    cell = cell_with_an_outdated_majority()
    assert cell.owned_by("vm00") or cell.owned_by("vm01")
    for vm in ("vm00", "vm01"):
        cell.kill(vm, drop=True)
    cell.simulation.run_for(20.0)
    assert cell.all_owned()
    assert cell.violations == []


def test_checker_finds_takeovers_that_ask_only_the_newest_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    newest = property(lambda sessions: tuple(sessions._configurations[-1:]))
    monkeypatch.setattr(Sessions, "configurations", newest)
    assert cell_with_an_outdated_majority().violations


def test_checker_finds_a_lease_that_never_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Authority, "holds", lambda authority, now: True)
    cell = SimulatedCell()
    cell.start_vms(3)
    owner = max(sorted(cell.node_by_vm), key=lambda vm: len(cell.owned_by(vm)))
    cell.simulation.pause(owner)
    cell.simulation.run_for(20.0)
    assert cell.violations


def test_checker_finds_a_successor_that_does_not_wait() -> None:
    cells = [run_with_faults(seed, lease_margin_s=-3.0) for seed in range(3)]
    assert any(cell.violations for cell in cells)


def cell_with_a_vm_without_log(
    monkeypatch: pytest.MonkeyPatch,
) -> SimulatedCell:
    """Returns a cell in which a VM has no access to the log.

    Heartbeats still work, but its peers neither append for it nor send
    it log entries.
    """
    original = LogStreams.on_message

    def drop_log_messages(
        streams: LogStreams, peer: VmId, message: object
    ) -> bool:
        if isinstance(message, AppendWanted | TailWanted | TailGiven):
            return True
        return original(streams, peer, message)

    cell = SimulatedCell()
    cell.start_vms(4)
    monkeypatch.setattr(LogStreams, "on_message", drop_log_messages)
    owner = max(sorted(cell.node_by_vm), key=lambda vm: len(cell.owned_by(vm)))
    cell.log.outage(cell.simulation.now, nodes=[owner])
    cell.simulation.run_for(30.0)
    return cell


def test_peers_that_know_newer_records_grant_no_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cell = cell_with_a_vm_without_log(monkeypatch)
    assert cell.all_owned()
    assert cell.violations == []


def test_checker_finds_leases_from_peers_with_newer_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        Authority, "_is_covered", lambda authority, reply: True
    )
    assert cell_with_a_vm_without_log(monkeypatch).violations
