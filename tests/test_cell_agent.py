"""Tests of cell agents under faults, in virtual time."""

from __future__ import annotations

import pytest
from simulated_cell import STREAM, SimulatedCell, tuned

from lycheestall.cell_relay import choose_relay
from lycheestall.ids import PartitionId, VmId
from lycheestall.outcomes import Reason
from lycheestall.records import NO_OFFSET, ProgramEnded

MINUTE_S = 60.0


def seconds_until_all_owned(cell: SimulatedCell, limit_s: float) -> float:
    start = cell.simulation.now
    assert cell.simulation.run_while(lambda: not cell.all_owned(), limit_s)
    return cell.simulation.now - start


def vm_with_most_partitions(cell: SimulatedCell) -> str:
    return max(sorted(cell.node_by_vm), key=lambda vm: len(cell.owned_by(vm)))


def test_members_share_the_partitions() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    owners = cell.owners()
    assert sorted(owners) == list(range(6))
    assert len({vms[0] for vms in owners.values()}) > 1
    assert cell.violations == []


def test_killed_owner_is_replaced_after_its_lease_expires() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    victim = vm_with_most_partitions(cell)
    cell.kill(victim)
    taken_s = seconds_until_all_owned(cell, 20.0)
    lease_s = cell.tuning.lease_s + cell.tuning.lease_margin_s
    assert lease_s < taken_s < 2 * lease_s
    gains = [
        g
        for vm in cell.others(victim)
        for g in cell.node_by_vm[vm].watcher.gains[-6:]
    ]
    assert any(may_miss_programs for _, _, _, may_miss_programs in gains)
    assert cell.violations == []


def test_drain_hands_over_within_a_second() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    draining_vm = vm_with_most_partitions(cell)
    given = cell.owned_by(draining_vm)
    start = cell.simulation.now
    done: list[float] = []
    drained = cell.node_by_vm[draining_vm].agent.drain()
    drained.addCallback(lambda _: done.append(cell.simulation.now))
    cell.simulation.run_for(1.0)
    assert done
    assert sorted(cell.owners()) == list(range(6))
    assert cell.owned_by(draining_vm) == []
    taken = [
        gain
        for vm in cell.others(draining_vm)
        for gain in cell.node_by_vm[vm].watcher.gains
        if gain[0] > start
    ]
    assert sorted(partition for _, partition, _, _ in taken) == given
    for _, partition, program_states, may_miss_programs in taken:
        assert program_states == {f"program-{partition}": b"state"}
        assert not may_miss_programs
    assert cell.violations == []


def test_joining_member_gets_its_share_by_handover() -> None:
    cell = SimulatedCell()
    cell.start_vms(3)
    cell.start_vm("vm99", "z1")
    cell.simulation.run_for(10.0)
    node = cell.node_by_vm["vm99"]
    assert cell.owned_by("vm99")
    assert all(
        program_states for _, _, program_states, _ in node.watcher.gains
    )
    assert cell.violations == []


def test_owners_stay_active_during_ten_minutes_of_log_outage() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    now = cell.simulation.now
    owners = cell.owners()
    cell.log.outage(now, now + 10 * MINUTE_S)
    for _ in range(60):
        cell.simulation.run_for(9.9)
        assert cell.owners() == owners
    assert cell.node_by_vm["vm00"].agent.log_unresponsive()
    cell.simulation.run_for(20.0)
    assert cell.owners() == owners
    assert not cell.node_by_vm["vm00"].agent.log_unresponsive()
    assert cell.violations == []


def test_log_outage_and_a_killed_owner_leave_other_owners_active() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    victim = vm_with_most_partitions(cell)
    kept = {p: vms for p, vms in cell.owners().items() if vms != [victim]}
    now = cell.simulation.now
    cell.log.outage(now, now + 2 * MINUTE_S)
    cell.kill(victim)
    cell.simulation.run_for(2 * MINUTE_S - 1)
    assert cell.owners() == kept
    assert seconds_until_all_owned(cell, 30.0) < 20.0
    assert cell.violations == []


def test_isolated_vm_loses_authority_within_its_lease() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    victim = vm_with_most_partitions(cell)
    cell.log.outage(cell.simulation.now, nodes=[victim])
    cell.isolate([victim])
    cell.simulation.run_for(cell.tuning.lease_s)
    assert cell.owned_by(victim) == []
    refused = cell.node_by_vm[victim].agent.refusal(PartitionId(0))
    assert refused is not None
    assert refused.reason in (Reason.NO_AUTHORITY, Reason.NOT_OWNER)
    seconds_until_all_owned(cell, 30.0)
    cell.rejoin([victim])
    cell.simulation.run_for(30.0)
    assert cell.all_owned()
    assert cell.violations == []


def test_vm_without_the_log_stays_active_through_its_peers() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    cut_off = vm_with_most_partitions(cell)
    owned = cell.owned_by(cut_off)
    cell.log.outage(cell.simulation.now, nodes=[cut_off])
    cell.simulation.run_for(MINUTE_S)
    assert cell.owned_by(cut_off) == owned
    folded = cell.node_by_vm[cut_off].agent.reader.folded
    assert cell.log.end("cell") - folded < 5
    assert cell.violations == []


def test_paused_owner_resumes_without_authority() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    victim = vm_with_most_partitions(cell)
    cell.simulation.pause(victim)
    cell.simulation.run_for(30.0)
    assert cell.all_owned()
    cell.simulation.resume(victim)
    cell.simulation.run_for(30.0)
    assert cell.all_owned()
    node = cell.node_by_vm[victim]
    assert sorted(node.watcher.owned) == cell.owned_by(victim)
    assert cell.violations == []


def test_partitions_of_a_lost_availability_zone_are_taken_over() -> None:
    cell = SimulatedCell()
    cell.start_vms(6)
    for vm in ("vm00", "vm03"):
        cell.kill(vm)
    assert seconds_until_all_owned(cell, 30.0) < 16.0
    assert cell.violations == []


def test_losing_two_of_three_zones_waits_for_the_vm_list() -> None:
    cell = SimulatedCell()
    cell.start_vms(6)
    for vm in ("vm00", "vm03", "vm01", "vm04"):
        cell.kill(vm)
    cell.simulation.run_for(MINUTE_S)
    assert not cell.all_owned()
    for vm in ("vm00", "vm03", "vm01", "vm04"):
        cell.vm_list.drop(vm)
    assert seconds_until_all_owned(cell, 30.0) < 16.0
    assert cell.violations == []


def test_cell_restarted_at_once_owns_all_partitions_again() -> None:
    cell = SimulatedCell()
    cell.start_vms(5)
    for vm in list(cell.node_by_vm):
        cell.kill(vm)
    cell.simulation.run_for(1.0)
    cell.start_vms(5)
    assert cell.violations == []


def test_rolling_replacement_never_waits_for_a_lease() -> None:
    cell = SimulatedCell()
    cell.start_vms(5)
    longest_gap_s = 0.0
    for number in range(5):
        cell.start_vm(f"vm{number + 10}", f"z{number % 3}")
        cell.simulation.run_for(12.0)
        cell.node_by_vm[f"vm{number:02}"].agent.drain()
        start = cell.simulation.now
        cell.simulation.run_while(cell.all_owned, 0.5)
        seconds_until_all_owned(cell, 10.0)
        longest_gap_s = max(longest_gap_s, cell.simulation.now - start)
        cell.kill(f"vm{number:02}", drop=True)
    assert longest_gap_s < 1.0
    assert cell.violations == []


def test_all_vms_drained_at_once_end_all_sessions() -> None:
    cell = SimulatedCell()
    cell.start_vms(3)
    done: list[str] = []
    for vm, node in cell.node_by_vm.items():
        node.agent.drain().addCallback(lambda _, vm=vm: done.append(vm))
    cell.simulation.run_for(3.0)
    assert sorted(done) == ["vm00", "vm01", "vm02"]
    assert cell.folded_log().sessions.by_id == {}


def test_isolated_first_vm_grants_itself_no_peer_lease() -> None:
    cell = SimulatedCell()
    cell.start_vm("vm00", "z0")
    cell.settle()
    cell.log.outage(cell.simulation.now, nodes=["vm00"])
    cell.start_vm("vm01", "z1")
    cell.start_vm("vm02", "z2")
    cell.isolate(["vm00"])
    cell.simulation.run_for(cell.tuning.lease_s)
    assert cell.owned_by("vm00") == []
    cell.simulation.run_for(MINUTE_S)
    cell.vm_list.drop("vm00")
    assert seconds_until_all_owned(cell, 30.0) < 16.0
    assert cell.violations == []


@pytest.mark.parametrize("reverse", [False, True])
def test_one_way_connection_loss_has_no_second_owner(reverse: bool) -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    victim = vm_with_most_partitions(cell)
    for other in cell.others(victim):
        pair = (other, victim) if reverse else (victim, other)
        cell.network.block(*pair)
    cell.simulation.run_for(MINUTE_S)
    assert cell.all_owned()
    cell.rejoin([victim])
    cell.simulation.run_for(20.0)
    assert cell.all_owned()
    assert cell.violations == []


def test_stalled_connection_is_replaced_without_losing_partitions() -> None:
    cell = SimulatedCell()
    cell.start_vms(3)
    owners = cell.owners()
    cell.network.stall_connection("vm00", "vm01")
    for _ in range(10):
        cell.simulation.run_for(1.0)
        assert cell.owners() == owners


def test_lost_append_responses_give_no_second_owner() -> None:
    cell = SimulatedCell()
    cell.log.lose_responses(0.0, 60.0)
    cell.log.duplicate_late(0.0, 60.0, 3.0)
    cell.start_vms(3)
    assert cell.simulation.now < 60.0
    assert cell.violations == []


def test_checkpoint_lets_a_new_vm_start_after_retention() -> None:
    cell = SimulatedCell(retention_s=60.0)
    cell.start_vms(3)
    cell.simulation.run_for(200.0)
    assert cell.log.entries("cell")[0].offset > 100
    cell.start_vm("vm09", "z0")
    cell.simulation.run_for(15.0)
    assert cell.owned_by("vm09")
    agents = [node.agent for node in cell.node_by_vm.values()]
    assert cell.simulation.run_while(
        lambda: len({agent.reader.folded for agent in agents}) > 1, 5.0
    )
    assert len({agent.fold.dump() for agent in agents}) == 1
    assert cell.violations == []


def test_vm_without_a_complete_state_owns_nothing() -> None:
    cell = SimulatedCell()
    cell.start_vms(3)
    for vm in list(cell.node_by_vm):
        cell.kill(vm)
    cell.log.retain_from("cell", 5)
    cell.start_vm("vm09", "z0")
    cell.simulation.run_for(20.0)
    status = cell.node_by_vm["vm09"].agent.status()
    assert (status.state, status.folded) == ("reading", NO_OFFSET)
    assert cell.owned_by("vm09") == []


def test_submitted_record_is_read_back_with_its_verdict() -> None:
    cell = SimulatedCell()
    cell.start_vms(3)
    agent = cell.node_by_vm["vm00"].agent
    found: list[bool] = []
    for _ in range(50):
        body = ProgramEnded("p", PartitionId(0), agent.epoch_of(0), "x")
        agent.submit(body).addCallback(
            lambda folded: found.append(folded.verdict.accepted)
        )
    before = cell.log.appends["cell"]
    cell.simulation.run_for(0.1)
    assert found == [True] * 50
    assert cell.log.appends["cell"] - before <= 3


def test_one_member_appends_and_reads_for_all() -> None:
    cell = SimulatedCell()
    cell.start_vms(8)
    cell.simulation.run_for(10.0)
    appends = cell.log.appends["cell"]
    records = cell.log.payload_count["cell"]
    reads = cell.log.reads["cell"]
    cell.simulation.run_for(20.0)
    assert cell.log.reads["cell"] - reads <= 44
    assert cell.log.appends["cell"] - appends <= 22
    assert cell.log.payload_count["cell"] - records >= 8 * 16


@pytest.mark.parametrize("fault", ["kill", "pause", "silent log"])
def test_failed_relay_ends_no_lease_of_others(fault: str) -> None:
    cell = SimulatedCell()
    cell.start_vms(5)
    relay = choose_relay(STREAM, [VmId(vm) for vm in cell.node_by_vm])
    assert relay is not None
    kept = {p: vms for p, vms in cell.owners().items() if vms != [relay]}
    if fault == "kill":
        cell.kill(relay)
    elif fault == "pause":
        cell.simulation.pause(relay)
    else:
        cell.log.outage(cell.simulation.now, nodes=[relay])
    for _ in range(60):
        cell.simulation.run_for(0.1)
        owners = cell.owners()
        assert kept == {p: owners.get(p) for p in kept}
    assert cell.violations == []


def test_vm_paused_past_retention_starts_from_a_checkpoint() -> None:
    cell = SimulatedCell(retention_s=60.0)
    cell.start_vms(4)
    cell.simulation.run_for(80.0)
    victim = vm_with_most_partitions(cell)
    cell.simulation.pause(victim)
    cell.simulation.run_for(200.0)
    cell.simulation.resume(victim)
    cell.simulation.run_for(20.0)
    node = cell.node_by_vm[victim]
    assert cell.owned_by(victim)
    assert sorted(node.watcher.owned) == cell.owned_by(victim)
    assert cell.all_owned()
    assert cell.violations == []


def test_short_log_recoveries_depose_no_live_member() -> None:
    cell = SimulatedCell()
    cell.start_vms(4)
    owners = cell.owners()
    for _ in range(5):
        now = cell.simulation.now
        cell.log.outage(now, now + 20.0)
        cell.simulation.run_for(22.0)
    cell.simulation.run_for(10.0)
    assert cell.owners() == owners
    assert len(cell.folded_log().sessions.by_id) == 4
    assert {s.joined for s in cell.folded_log().sessions.by_id.values()} == {
        0,
        1,
        2,
        3,
    }


def test_zones_cut_off_from_each_other_keep_their_log_leases() -> None:
    cell = SimulatedCell()
    cell.start_vms(6)
    owners = cell.owners()
    cell.isolate(["vm00", "vm03"])
    for _ in range(30):
        cell.simulation.run_for(1.0)
        assert cell.owners() == owners
    cell.rejoin(["vm00", "vm03"])
    cell.simulation.run_for(10.0)
    assert cell.owners() == owners
    assert cell.violations == []


def test_zone_without_log_and_peers_is_taken_over_by_others() -> None:
    cell = SimulatedCell()
    cell.start_vms(6)
    cut = ["vm00", "vm03"]
    cell.log.outage(cell.simulation.now, cell.simulation.now + 40.0, nodes=cut)
    cell.isolate(cut)
    cell.simulation.run_for(cell.tuning.lease_s)
    assert [cell.owned_by(vm) for vm in cut] == [[], []]
    cell.simulation.run_for(16.0)
    assert cell.all_owned()
    cell.rejoin(cut)
    cell.simulation.run_for(40.0)
    assert cell.all_owned()
    assert any(cell.owned_by(vm) for vm in cut)
    assert cell.violations == []


def test_busy_cell_respects_its_append_rate_limit() -> None:
    cell = SimulatedCell(tuning=tuned(log_flush_s=0.4))
    cell.start_vms(6)
    cell.simulation.run_for(10.0)
    found: list[bool] = []
    before = cell.log.appends["cell"]
    for _ in range(100):
        for node in cell.node_by_vm.values():
            body = ProgramEnded("p", PartitionId(0), NO_OFFSET, "x")
            node.agent.submit(body).addCallback(
                lambda folded: found.append(folded.verdict.accepted)
            )
        cell.simulation.run_for(0.1)
    assert cell.log.appends["cell"] - before <= 26
    cell.simulation.run_for(2.0)
    assert found == [True] * 600
