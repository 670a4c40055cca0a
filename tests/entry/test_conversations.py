"""Conversations kept over failures of VMs, links and the store."""

from __future__ import annotations

import cbor2
import pytest
from twisted.internet.defer import succeed

from lycheestall.conversations import record_key_prefix
from lycheestall.conversations.expired_records import (
    EXPIRY_SLACK_S,
    MAX_DELAY_S,
)
from lycheestall.entry.conversation_lookup import (
    FoundConversation,
    TurnNotFound,
    TurnSource,
)
from lycheestall.entry.store import KeyedWrite, Topic
from lycheestall.entry.turn_recorder import TurnRecorder
from tests.entry.conversation_simulation import (
    PATIENCE_S,
    RETENTION_S,
    Answer,
    ConversationSimulation,
)
from tests.entry.memory_store import Fault

SEEDS = range(25)


@pytest.fixture
def simulation() -> ConversationSimulation:
    """Six VMs in three zones."""
    return ConversationSimulation()


def answered(answer: Answer | TurnNotFound) -> Answer:
    assert isinstance(answer, Answer)
    assert answer.kept
    return answer


def test_a_conversation_goes_on_at_the_vm_that_began_it(
    simulation: ConversationSimulation,
) -> None:
    vm = simulation.vms[0]
    answer = None
    for _ in range(5):
        answer = answered(simulation.ask(vm, answer))
    assert answer is not None
    assert answer.prompt.count(b"ask") == 5
    assert vm.store.calls == 5


def test_a_conversation_goes_on_elsewhere_without_reading_the_store(
    simulation: ConversationSimulation,
) -> None:
    first = answered(simulation.ask(simulation.vms[0]))
    for vm in simulation.vms[1:]:
        calls = vm.store.calls
        result = simulation.check(vm, first)
        assert isinstance(result, FoundConversation)
        assert result.source in (TurnSource.COPIES, TurnSource.MEMORY)
        assert vm.store.calls == calls


def test_a_conversation_outlives_the_restart_of_all_vms(
    simulation: ConversationSimulation,
) -> None:
    answer = None
    for number in range(4):
        answer = answered(simulation.ask(simulation.vms[number], answer))
    assert answer is not None
    for vm in simulation.vms:
        simulation.restart(vm)
    result = simulation.check(simulation.vms[2], answer)
    assert isinstance(result, FoundConversation)
    assert result.source is TurnSource.STORE
    # The second turn of another program finds it as well.
    other = simulation.find(
        simulation.vms[3], answer.turn.turn_id, "another program"
    )
    assert isinstance(other, FoundConversation)


def test_the_end_of_a_response_waits_for_its_record(
    simulation: ConversationSimulation,
) -> None:
    vm = simulation.vms[0]
    vm.store.held_appends = []
    answer = simulation.ask(vm)
    assert isinstance(answer, Answer)
    assert answer.kept is None
    vm.store.release_held_appends()
    assert answer.kept


def test_without_the_store_no_response_ends_until_it_is_back(
    simulation: ConversationSimulation,
) -> None:
    simulation.set_store_fault(Fault.REFUSES)
    answer = simulation.ask(simulation.vms[0])
    simulation.advance(2.0)
    assert isinstance(answer, Answer)
    assert answer.kept is None
    simulation.set_store_fault(Fault.NONE)
    simulation.advance(1.5)
    assert answered(answer)
    assert len(simulation.log.by_topic[Topic.TURNS]) == 1


def test_a_response_that_cannot_be_kept_in_time_is_no_turn(
    simulation: ConversationSimulation,
) -> None:
    simulation.set_store_fault(Fault.REFUSES)
    vm = simulation.vms[0]
    answer = simulation.ask(vm)
    simulation.advance(PATIENCE_S + 1.0)
    assert isinstance(answer, Answer)
    assert answer.kept is False
    assert vm.service.recorder.pending_count == 0
    assert len(vm.service.cache) == 0


def test_answered_turns_outlive_the_loss_of_all_vms_in_an_outage(
    simulation: ConversationSimulation,
) -> None:
    answer = simulation.ask(simulation.vms[0])
    simulation.set_store_fault(Fault.REFUSES)
    for vm in simulation.vms:
        simulation.restart(vm)
    result = simulation.check(simulation.vms[1], answered(answer))
    assert isinstance(result, TurnNotFound)
    simulation.set_store_fault(Fault.NONE)
    result = simulation.check(simulation.vms[2], answered(answer))
    assert isinstance(result, FoundConversation)


def test_a_vm_cut_off_from_all_does_not_end_its_responses(
    simulation: ConversationSimulation,
) -> None:
    vm = simulation.vms[0]
    simulation.set_store_fault(Fault.REFUSES, vm)
    simulation.isolated.add(vm.address)
    answer = simulation.ask(vm)
    assert isinstance(answer, Answer)
    simulation.advance(3.0)
    assert answer.kept is None
    simulation.set_store_fault(Fault.NONE, vm)
    simulation.advance(1.0)
    assert answered(answer)


def test_an_append_whose_reply_is_lost_leaves_one_record(
    simulation: ConversationSimulation,
) -> None:
    vm = simulation.vms[0]
    simulation.set_store_fault(Fault.LOSES_RESPONSES, vm)
    answer = simulation.ask(vm)
    simulation.advance(0.4)
    simulation.set_store_fault(Fault.NONE)
    simulation.advance(4.0)
    assert answered(answer)
    assert len(simulation.record_keys()) == 1


def test_a_turn_that_nobody_knows_is_denied(
    simulation: ConversationSimulation,
) -> None:
    result = simulation.find(simulation.vms[0], "forged")
    assert isinstance(result, TurnNotFound)
    assert result.certain


@pytest.mark.parametrize("cause", ["store", "peer", "members"])
def test_a_turn_is_not_denied_while_somebody_may_know_it(
    simulation: ConversationSimulation, cause: str
) -> None:
    vm = simulation.vms[0]
    if cause == "store":
        simulation.set_store_fault(Fault.REFUSES, vm)
    elif cause == "peer":
        simulation.isolated.add(simulation.vms[3].address)
    else:
        vm.members_complete = False
    result = simulation.find(vm, "forged")
    assert isinstance(result, TurnNotFound)
    assert not result.certain


def test_a_turn_without_its_ancestors_is_not_denied(
    simulation: ConversationSimulation,
) -> None:
    first = answered(simulation.ask(simulation.vms[0]))
    second = answered(simulation.ask(simulation.vms[0], first))
    for vm in simulation.vms:
        simulation.restart(vm)
    topic = simulation.log.by_topic[Topic.TURNS]
    topic[:] = [r for r in topic if b"ask 1;" not in (r.value or b"")[:60]]
    result = simulation.find(simulation.vms[0], second.turn.turn_id)
    assert isinstance(result, TurnNotFound)
    assert not result.certain


# Guards against a record with a number too large that fails the search.
@pytest.mark.parametrize(
    "odd",
    [b"?", b"\x81" * 200_000, cbor2.dumps([1, "a", [], b"", b"", 2**2000])],
    ids=["bytes", "nested", "number too large"],
)
def test_an_unreadable_record_does_not_hide_others(
    simulation: ConversationSimulation, odd: bytes
) -> None:
    answer = answered(simulation.ask(simulation.vms[0]))
    for vm in simulation.vms:
        simulation.restart(vm)
    good = simulation.log.by_topic[Topic.TURNS][0]
    prefix = record_key_prefix(answer.turn.turn_id)
    simulation.log.put(Topic.TURNS, KeyedWrite(f"{prefix}0".encode(), odd))
    assert good.key in simulation.record_keys()
    result = simulation.check(simulation.vms[0], answer)
    assert isinstance(result, FoundConversation)


def test_two_turns_that_continue_from_one_are_not_mixed(
    simulation: ConversationSimulation,
) -> None:
    first = answered(simulation.ask(simulation.vms[0]))
    left = answered(simulation.ask(simulation.vms[1], first))
    right = answered(simulation.ask(simulation.vms[2], first))
    again = answered(simulation.ask(simulation.vms[1], first))
    for answer in (left, right, again):
        assert answer.prompt.count(b"ask") == 2
        for vm in simulation.vms:
            simulation.check(vm, answer)


def test_records_are_deleted_in_time(
    simulation: ConversationSimulation,
) -> None:
    simulation.ask(simulation.vms[0])
    assert len(simulation.record_keys()) == 1
    simulation.clock.advance(3 * RETENTION_S + EXPIRY_SLACK_S + MAX_DELAY_S)
    simulation.advance(2.0)
    assert simulation.record_keys() == set()
    assert all(len(vm.service.cache) == 0 for vm in simulation.vms)


def test_records_of_lost_vms_are_deleted_too(
    simulation: ConversationSimulation,
) -> None:
    simulation.ask(simulation.vms[0])
    for vm in simulation.vms:
        simulation.restart(vm)
    simulation.clock.advance(3 * RETENTION_S + EXPIRY_SLACK_S + MAX_DELAY_S)
    simulation.advance(1.0)
    assert len(simulation.record_keys()) == 1
    simulation.sweep_all()
    simulation.clock.advance(EXPIRY_SLACK_S + MAX_DELAY_S)
    simulation.advance(1.0)
    assert simulation.record_keys() == set()


def test_a_long_conversation_keeps_its_first_turns(
    simulation: ConversationSimulation,
) -> None:
    answer = None
    for _ in range(12):
        answer = answered(simulation.ask(simulation.vms[0], answer))
        simulation.clock.advance(RETENTION_S * 0.8)
        simulation.advance(1.0)
    assert answer is not None
    for vm in simulation.vms:
        simulation.restart(vm)
    result = simulation.check(simulation.vms[0], answer)
    assert isinstance(result, FoundConversation)
    assert len(result.chain.turns) == 12


def test_memory_for_turns_is_bounded_without_the_store() -> None:
    simulation = ConversationSimulation(max_bytes=20_000)
    simulation.set_store_fault(Fault.REFUSES)
    vm = simulation.vms[0]
    for number in range(200):
        if not vm.service.cache.has_room(1_000):
            break
        simulation.ask(vm, program=f"p{number}")
        simulation.advance(0.1)
    assert not vm.service.cache.has_room(1_000)
    for one in simulation.vms:
        assert one.service.cache.size <= 20_000


def play(simulation: ConversationSimulation) -> None:
    """Turns at random VMs under random faults, then calm.

    Any VM, and all of them at once, may be lost at any moment.
    """
    chances = simulation.random
    for _ in range(60):
        event = chances.random()
        vm = chances.choice(simulation.vms)
        if event < 0.08:
            fault = chances.choice([Fault.REFUSES, Fault.LOSES_RESPONSES])
            count = chances.choice([1, 3, len(simulation.vms)])
            some = chances.sample(simulation.vms, count)
            simulation.set_store_fault(fault, *some)
        elif event < 0.12:
            simulation.isolated.add(vm.address)
        elif event < 0.20:
            simulation.restart(vm)
        elif event < 0.24:
            for one in simulation.vms:
                simulation.restart(one)
        elif event < 0.32:
            simulation.set_store_fault(Fault.NONE)
            simulation.isolated.clear()
            simulation.advance(6.0)
        else:
            done = [a for a in simulation.answers if a.kept]
            previous = chances.choice([None, *done[-4:]])
            simulation.ask(vm, previous)
            simulation.advance(chances.choice([0.05, 0.4]))
        for answer in simulation.answers:
            if answer.kept and chances.random() < 0.3:
                simulation.check(chances.choice(simulation.vms), answer)
    simulation.set_store_fault(Fault.NONE)
    simulation.isolated.clear()
    simulation.advance(6.0)
    for vm in simulation.vms:
        simulation.restart(vm)
    for answer in simulation.answers:
        if not answer.kept:
            continue
        if simulation.clock.seconds() - answer.answered_at > RETENTION_S:
            continue
        result = simulation.check(chances.choice(simulation.vms), answer)
        assert isinstance(result, FoundConversation), answer.turn.turn_id


@pytest.mark.parametrize("seed", SEEDS)
def test_no_answered_turn_is_lost_denied_or_changed(seed: int) -> None:
    play(ConversationSimulation(seed=seed))


def test_the_checks_notice_turns_that_are_not_recorded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        TurnRecorder, "wait", lambda *args, **options: succeed(True)
    )
    with pytest.raises(AssertionError):
        for seed in SEEDS:
            play(ConversationSimulation(seed=seed))
