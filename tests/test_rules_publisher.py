"""Tests of publishing rules while the log fails."""

from __future__ import annotations

import pytest
from fake_log import FakeLog
from rules_vm import NO_VERSION, RULES_STREAM, WEIGHT_ONE, WEIGHT_TWO, Vm
from simulation import Simulation

from lycheestall.checkpoints import CheckpointSchedule
from lycheestall.ids import (
    Offset,
    SessionId,
    VmId,
)
from lycheestall.records import ReaderLeft
from lycheestall.rules.publisher import (
    PublishBlocked,
    PublishConflict,
    Published,
    PublishInvalid,
    PublishUnknown,
    PublishUnreachable,
)


@pytest.fixture
def simulation() -> Simulation:
    return Simulation(seed=5)


@pytest.fixture
def log(simulation: Simulation) -> FakeLog:
    return FakeLog(simulation)


def accepted_count(vm: Vm) -> int:
    entries = vm.stream.fold.history.entries()
    return sum(entry.decision.value == "accepted" for entry in entries)


def test_publication_is_in_force_on_every_vm(
    simulation: Simulation, log: FakeLog
) -> None:
    vms = [Vm(simulation, log, name) for name in ("a", "b", "c")]
    simulation.run_for(2.0)
    outcome = vms[0].publish(-1, WEIGHT_ONE)
    assert isinstance(outcome, Published)
    simulation.run_for(3.0)
    for vm in vms:
        assert vm.stream.rules.version == outcome.version
        assert vm.stream.current()
    entry = vms[1].stream.fold.history.entries()[0]
    assert [applied.vm for applied in entry.applied] == ["a", "b", "c"]


def test_of_concurrent_publications_one_wins_and_one_gets_a_diff(
    simulation: Simulation, log: FakeLog
) -> None:
    one, two = Vm(simulation, log, "a"), Vm(simulation, log, "b")
    simulation.run_for(2.0)
    first, second = (
        one.start_publishing(-1, WEIGHT_ONE, "x"),
        two.start_publishing(-1, WEIGHT_TWO, "y"),
    )
    outcomes = [one.wait(first), two.wait(second)]
    kinds = {type(outcome) for outcome in outcomes}
    assert kinds == {Published, PublishConflict}
    conflict = next(o for o in outcomes if isinstance(o, PublishConflict))
    assert len(conflict.added) == len(conflict.removed) == 1
    assert conflict.base == -1 and conflict.version >= 0


def test_file_with_errors_is_not_appended(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    before = log.end(RULES_STREAM)
    assert isinstance(vm.publish(-1, "weight of"), PublishInvalid)
    assert log.end(RULES_STREAM) == before


def test_outcome_is_read_back_when_append_responses_are_lost(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    log.lose_responses(simulation.now, simulation.now + 30)
    outcome = vm.publish(-1, WEIGHT_ONE)
    assert isinstance(outcome, Published) and not outcome.already
    simulation.run_for(30)
    assert accepted_count(vm) == 1
    assert len(vm.stream.fold.history.entries()) == 1


def test_duplicated_append_counts_once(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    log.duplicate_late(simulation.now, simulation.now + 5, 1.0)
    assert isinstance(vm.publish(-1, WEIGHT_ONE), Published)
    simulation.run_for(10)
    assert len(vm.stream.fold.history.entries()) == 1


def test_repeated_publish_returns_the_first_outcome(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    done = vm.start_publishing(-1, WEIGHT_ONE)
    simulation.run_while(lambda: not proposal_in(log, RULES_STREAM), 5.0)
    log.outage(simulation.now, simulation.now + 40)
    outcome = vm.wait(done)
    assert isinstance(outcome, PublishUnknown)
    simulation.run_for(45)
    again = vm.publish(-1, WEIGHT_ONE)
    assert isinstance(again, Published) and again.already
    assert accepted_count(vm) == 1
    other = Vm(simulation, log, "b")
    simulation.run_for(2.0)
    assert isinstance(other.publish(again.version, WEIGHT_TWO), Published)
    late = vm.publish(-1, WEIGHT_ONE)
    assert isinstance(late, Published)
    assert late.already and late.in_force > late.version


def proposal_in(log: FakeLog, stream: str) -> bool:
    return any(b"RulesProposed" in e.payload for e in log.entries(stream))


def test_publish_during_a_long_outage_sends_nothing(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    log.outage(simulation.now, simulation.now + 30.0)
    simulation.run_for(5.0)
    assert isinstance(vm.publish(-1, WEIGHT_ONE), PublishUnreachable)
    simulation.run_for(40.0)
    assert vm.stream.fold.history.entries() == ()


def test_publish_just_after_an_outage_begins_has_unknown_outcome(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    log.outage(simulation.now, simulation.now + 30.0)
    assert isinstance(vm.publish(-1, WEIGHT_ONE), PublishUnknown)
    simulation.run_for(40.0)
    again = vm.publish(-1, WEIGHT_ONE)
    assert isinstance(again, Published) and again.already
    assert accepted_count(vm) == 1


def test_reader_with_an_old_format_blocks_until_it_leaves(
    simulation: Simulation, log: FakeLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    Vm(simulation, log, "old")
    new = Vm(simulation, log, "new", newest_format=2)
    simulation.run_for(2.0)
    monkeypatch.setattr("lycheestall.rules.publisher.RULES_FORMAT", 2)
    assert isinstance(new.publish(-1, WEIGHT_ONE), PublishBlocked)
    simulation.kill("old")
    new.stream.submit(ReaderLeft(SessionId("old.0.0")))
    simulation.run_for(2.0)
    assert isinstance(new.publish(-1, WEIGHT_ONE), Published)


def test_restarted_vm_starts_from_a_checkpoint(
    simulation: Simulation, log: FakeLog, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(
        "lycheestall.rules.stream.CheckpointSchedule",
        lambda **options: CheckpointSchedule(interval_s=5.0, **options),
    )
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    version = vm.publish(-1, WEIGHT_ONE).version
    simulation.run_for(20.0)
    entries = log.entries(RULES_STREAM)
    checkpoint_offset = max(
        entry.offset
        for entry in entries
        if b"RulesCheckpoint" in entry.payload
    )
    log.retain_from(RULES_STREAM, checkpoint_offset)
    late = Vm(simulation, log, "b")
    simulation.run_for(3.0)
    assert late.stream.rules.version == version
    assert late.stream.rules.share("x", "y").weight == 1.0
    assert late.stream.fold.history.entries()


def test_vm_that_starts_without_checkpoint_is_not_current(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    vm.publish(-1, WEIGHT_ONE)
    simulation.kill("a")
    log.retain_from(RULES_STREAM, log.end(RULES_STREAM))
    late = Vm(simulation, log, "b")
    simulation.run_for(10.0)
    assert not late.stream.current()
    assert late.stream.fold.version == NO_VERSION


def test_readers_on_missing_vms_are_removed(
    simulation: Simulation, log: FakeLog
) -> None:
    vms = [Vm(simulation, log, name) for name in ("a", "b", "gone")]
    simulation.run_for(2.0)
    simulation.kill("gone")
    for vm in vms:
        vm.live_vms = frozenset({VmId("a"), VmId("b")})
    simulation.run_for(20.0)
    assert len(vms[0].stream.fold.readers()) == 3
    simulation.run_for(20.0)
    left = [reader.vm for reader in vms[1].stream.fold.readers()]
    assert left == ["a", "b"]


def test_leaving_vm_is_removed_from_the_readers(
    simulation: Simulation, log: FakeLog
) -> None:
    vm = Vm(simulation, log, "a")
    simulation.run_for(2.0)
    assert len(vm.stream.fold.readers()) == 1
    vm.stream.leave()
    simulation.run_for(5.0)
    assert vm.stream.fold.readers() == ()


def test_lagging_vm_is_not_current(
    simulation: Simulation, log: FakeLog
) -> None:
    vm, lagging = Vm(simulation, log, "a"), Vm(simulation, log, "cut")
    simulation.run_for(2.0)
    log.outage(simulation.now, nodes=["cut"])
    vm.publish(-1, WEIGHT_ONE)
    lagging.stream.reader.note_newest(vm.stream.reader.newest)
    assert not lagging.stream.current()
    assert lagging.stream.rules.version == NO_VERSION
    tail = vm.stream.reader.recent_entries(
        Offset(lagging.stream.reader.folded + 1)
    )
    lagging.stream.reader.add_from_peer(tail)
    assert lagging.stream.current()
    assert lagging.stream.rules.version == vm.stream.rules.version
