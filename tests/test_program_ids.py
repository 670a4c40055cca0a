"""Tests of program ids and of the partition hash."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheestall.ids import AccountId, ProgramId
from lycheestall.partitions import partition_of
from lycheestall.program_ids import (
    IdOrigin,
    issue_program_id,
    issued_ms_of,
    ledger_id,
    origin_of,
    root_of_ledger_id,
)

ACCOUNT = AccountId("snowline")
names = st.text(min_size=1, max_size=12).map(ProgramId)
accounts = st.text(min_size=1, max_size=12).map(AccountId)


@given(
    account=accounts,
    issued_ms=st.integers(0, 2**47),
    nonce=st.binary(min_size=8, max_size=8),
)
def test_issued_id_proves_its_time_of_issue(
    account: AccountId, issued_ms: int, nonce: bytes
) -> None:
    program = issue_program_id(
        account=account, issued_ms=issued_ms, nonce=nonce, key=b"old"
    )
    agent = ProgramId(f"{program}/helper")
    assert issued_ms_of(agent) == issued_ms
    assert (
        issued_ms_of(root_of_ledger_id(ledger_id(account, agent))) == issued_ms
    )
    assert origin_of(account, agent, [b"new", b"old"]) is IdOrigin.ISSUED
    assert origin_of(account, agent, [b"new"]) is IdOrigin.FORGED
    other = AccountId(f"{account}x")
    assert origin_of(other, agent, [b"old"]) is IdOrigin.FORGED


def test_chosen_id_may_contain_an_issued_id() -> None:
    program = issue_program_id(
        account=ACCOUNT, issued_ms=16, nonce=bytes(8), key=b"k"
    )
    chosen = ProgramId(f"x:{program}")
    assert origin_of(ACCOUNT, chosen, [b"k"]) is IdOrigin.CHOSEN
    assert issued_ms_of(chosen) is None


def test_changed_time_invalidates_the_signature() -> None:
    program = issue_program_id(
        account=ACCOUNT, issued_ms=16, nonce=bytes(8), key=b"k"
    )
    changed = ProgramId(program.replace("000000000010", "000000000011"))
    assert changed != program
    assert origin_of(ACCOUNT, changed, [b"k"]) is IdOrigin.FORGED


@given(name=names)
def test_chosen_id_has_no_time_of_issue(name: ProgramId) -> None:
    if origin_of(ACCOUNT, name, [b"k"]) is IdOrigin.CHOSEN:
        assert issued_ms_of(name) is None
        in_ledger = root_of_ledger_id(ledger_id(ACCOUNT, name))
        assert issued_ms_of(in_ledger) is None


@given(left=accounts, right=accounts, first=names, second=names)
def test_ledger_ids_differ_between_accounts(
    left: AccountId, right: AccountId, first: ProgramId, second: ProgramId
) -> None:
    same = ledger_id(left, first) == ledger_id(right, second)
    roots = (first.split("/")[0], second.split("/")[0])
    assert same == (left == right and roots[0] == roots[1])
    assert root_of_ledger_id(ledger_id(left, first)) == roots[0]


@given(account=accounts, name=names, count=st.integers(1, 500))
def test_sub_agents_share_the_partition_of_their_program(
    account: AccountId, name: ProgramId, count: int
) -> None:
    agent = ProgramId(f"{name.split('/')[0]}/helper/deep")
    partition = partition_of(account, name, count)
    assert partition == partition_of(account, agent, count)
    assert 0 <= partition < count


def test_partition_hash_is_stable_across_releases() -> None:
    found = [
        partition_of(ACCOUNT, ProgramId(name), 64) for name in ("p", "q", "r")
    ]
    assert found == [40, 19, 22]


def test_programs_spread_evenly_over_partitions() -> None:
    counts = [0] * 16
    for index in range(16_000):
        counts[partition_of(ACCOUNT, ProgramId(f"p{index}"), 16)] += 1
    assert min(counts) > 850 and max(counts) < 1150
