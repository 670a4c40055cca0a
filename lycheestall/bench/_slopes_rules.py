"""Costs of rules: parsing, matching and publication."""

from __future__ import annotations

from ..codec import decode_record, encode_record
from ..ids import AccountId, Offset, OperatorName, SessionId, TargetId, VmId
from ..records import (
    ReaderJoined,
    Record,
    RecordBody,
    RulesApplied,
    RulesProposed,
)
from ..rules.compare import compare_files
from ..rules.match import IndexedRuleSet
from ..rules.parser import parse_rules
from ..rules.syntax import RuleFile
from ..rules_fold import RulesFold
from ._slopes_probe import CostSample, measure_cpu_us, measure_resident_bytes

__all__ = [
    "measure_lookup",
    "measure_publication",
    "measure_rule_change",
    "measure_rules",
    "measure_rules_by_accounts",
]

ACCOUNT_COUNT = 310
ACCOUNT_RULES = 3_000
LOOKUPS = 2_000
PUBLICATIONS = 3
_PATTERNS = (
    "budget of account account-{a:04} class class-{c} is {n}k tokens",
    "weight of account account-{a:04} is {n}",
    "rate of account account-{a:04} is {n} calls per 1m",
    "turn limit of account account-{a:04} class class-{c} is 57 turns",
    "operation POST /orders-{c} of application app-{a:04} is non-idempotent",
    "retry limit of account account-{a:04} application app-{c} is 3 attempts",
    "leave target engine-{a:04} alone from 01:00 to 02:00 Asia/Kolkata",
    "concurrency of group group-{c} is {n} calls",
)


def _rules_text(
    lines: int, *, seed: int, accounts: int = ACCOUNT_COUNT
) -> str:
    rule_lines: list[str] = []
    for number in range(lines):
        pattern = _PATTERNS[number % len(_PATTERNS)]
        line = pattern.format(
            a=number % accounts, c=number // accounts, n=number + seed + 1
        )
        rule_lines.append(f"{line} # member {number % 97}\n")
    return "".join(rule_lines)


def _parse(text: str) -> RuleFile:
    file = parse_rules(text, file="bench")
    assert isinstance(file, RuleFile), file[0]
    return file


def measure_rules(lines: int) -> CostSample:
    """Measures parsing and indexing a new rule file.

    Args:
        lines: Number of rules in the file, all of them new to the VM.
    """
    texts = [_rules_text(lines, seed=10_000 * n) for n in range(1, 4)]
    files: list[RuleFile] = []

    def run() -> None:
        files.append(_parse(texts.pop()))
        IndexedRuleSet(files[-1])

    cost = measure_cpu_us(run, repeats=len(texts))
    size = len(_rules_text(lines, seed=10_000))
    return CostSample(
        cpu_us=cost,
        wire_bytes=size,
        resident_bytes=measure_resident_bytes(
            lambda: _parsed_and_indexed(lines)
        ),
    )


def measure_rule_change(lines: int) -> CostSample:
    """Measures a change of one line of a rule file.

    The whole file is parsed and indexed, but only one line is new.

    Args:
        lines: Number of rules in the file.
    """
    text = _rules_text(lines, seed=0)
    old = _parse(text)
    IndexedRuleSet(old)
    weights = iter(range(1, 10))

    def run() -> None:
        changed = _parse(f"{text}weight of everyone is {next(weights)} # m")
        compare_files(old, changed)
        IndexedRuleSet(changed)

    return CostSample(cpu_us=measure_cpu_us(run))


def _parsed_and_indexed(lines: int) -> object:
    file = _parse(_rules_text(lines, seed=0))
    return file, IndexedRuleSet(file)


def _run_lookups(
    rules: IndexedRuleSet, accounts: int, round_number: int
) -> None:
    """Makes all rule lookups of a call, ``LOOKUPS`` times."""
    for number in range(LOOKUPS):
        account = AccountId(f"account-{number % accounts:04}")
        rules.program_limits(account, "class-0")
        rules.share(account, "class-0")
        rules.account_limits(account)
        rules.action(
            TargetId("app-0001"), f"POST /orders/{number}-{round_number}"
        )
        rules.retries(account, "app-0")
        rules.exclusion_line(
            TargetId(f"engine-{number % accounts:04}"),
            "group-0",
            at_ms=1_700_000_000_000,
            load=0.5,
            error_share=0.0,
        )


def measure_lookup(lines: int) -> CostSample:
    """Measures all rule lookups of one call, by size of the file.

    Args:
        lines: Number of rules in the file, for 310 accounts.
    """
    rules = IndexedRuleSet(_parse(_rules_text(lines, seed=0)))
    round_numbers = iter(range(10))
    return CostSample(
        cpu_us=measure_cpu_us(
            lambda: _run_lookups(rules, ACCOUNT_COUNT, next(round_numbers)),
            count=LOOKUPS,
        )
    )


def measure_rules_by_accounts(accounts: int) -> CostSample:
    """Measures all rule lookups of one call, by number of accounts.

    Args:
        accounts: Number of accounts that the rules refer to.
    """
    rules = IndexedRuleSet(
        _parse(_rules_text(ACCOUNT_RULES, seed=0, accounts=accounts))
    )
    round_numbers = iter(range(10))
    return CostSample(
        cpu_us=measure_cpu_us(
            lambda: _run_lookups(rules, accounts, next(round_numbers)),
            count=LOOKUPS,
        )
    )


def measure_publication(vms: int) -> CostSample:
    """Measures one accepted publication of 300 rules at one VM.

    One line of the file changes. The cost includes reading every VM's
    confirmation that it has applied the rules.

    Args:
        vms: Number of VMs that read the rules stream.
    """
    records = [_join_record(number) for number in range(vms)]
    for number in range(PUBLICATIONS):
        records.extend(_publication_records(number, vms))
    payloads = [encode_record(record) for record in records]
    per_publication = vms + 1
    wire = sum(len(payload) for payload in payloads[-per_publication:])

    def fold_records(count: int) -> RulesFold:
        publication = RulesFold()
        for offset, payload in enumerate(payloads[:count]):
            record = decode_record(payload)
            assert isinstance(record, Record)
            assert publication.apply(Offset(offset), record).accepted
        return publication

    end = len(payloads)
    fold_records(end)
    with_last_us = measure_cpu_us(lambda: fold_records(end), repeats=3)
    without_last_us = measure_cpu_us(
        lambda: fold_records(end - per_publication), repeats=3
    )
    return CostSample(
        cpu_us=with_last_us - without_last_us,
        wire_bytes=wire,
        resident_bytes=measure_resident_bytes(lambda: fold_records(end)),
    )


def _join_record(number: int) -> Record:
    body = ReaderJoined(VmId(f"vm-{number:05}"), 1)
    return Record(SessionId(f"vm-{number:05}.1.abcd"), 1, body)


def _publication_records(number: int, vms: int) -> list[Record]:
    start = vms + number * (vms + 1)
    base = -1 if number == 0 else start - vms - 1
    text = (
        _rules_text(300, seed=0) + f"weight of everyone is {number + 1} # m\n"
    )
    proposal: RecordBody = RulesProposed(
        Offset(base), text, 1, OperatorName("op"), 1, str(number)
    )
    records = [Record(SessionId("publisher"), number + 1, proposal)]
    for vm in range(vms):
        applied = RulesApplied(VmId(f"vm-{vm:05}"), Offset(start), 1)
        session = SessionId(f"vm-{vm:05}.1.abcd")
        records.append(Record(session, number + 2, applied))
    return records
