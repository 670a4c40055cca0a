"""Which VMs hold copies of a program's turns."""

from __future__ import annotations

from lycheestall.conversations import CopyCandidate, choose_copy_holders
from lycheestall.ids import ProgramId, ZoneId

VMS = [
    CopyCandidate(f"vm-{number}", ZoneId(f"zone-{number % 3}"))
    for number in range(12)
]
ZONE_BY_NAME = {vm.name: vm.zone for vm in VMS}


def test_copies_are_in_different_zones() -> None:
    for number in range(50):
        holders = choose_copy_holders(ProgramId(f"p{number}"), VMS, 3)
        assert len({ZONE_BY_NAME[name] for name in holders}) == 3


def test_all_vms_choose_alike_whatever_order_they_know_each_other_in() -> None:
    for number in range(20):
        program = ProgramId(f"p{number}")
        assert choose_copy_holders(program, VMS, 4) == choose_copy_holders(
            program, reversed(VMS), 4
        )


def test_who_asks_finds_the_vm_that_ran_a_turn_or_its_first_copy() -> None:
    for number in range(50):
        program = ProgramId(f"p{number}")
        ran = VMS[number % len(VMS)]
        others = [vm for vm in VMS if vm != ran]
        copy = choose_copy_holders(program, others, 1)[0]
        for asking in VMS:
            if asking.name in (ran.name, copy):
                continue
            asked = choose_copy_holders(
                program, [vm for vm in VMS if vm != asking], 1
            )
            assert asked[0] in (ran.name, copy)


def test_one_zone_is_used_again_where_there_is_no_other() -> None:
    one_zone = [CopyCandidate(f"vm-{n}", ZoneId("zone")) for n in range(4)]
    holders = choose_copy_holders(ProgramId("p"), one_zone, 3)
    assert len(set(holders)) == 3


def test_programs_spread_over_all_vms() -> None:
    first = {
        choose_copy_holders(ProgramId(f"p{n}"), VMS, 1)[0] for n in range(400)
    }
    assert len(first) == len(VMS)
