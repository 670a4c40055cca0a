"""Costs of rules: reading, matching, publishing."""

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
from ._slopes_probe import Reading, cpu_us, resident_bytes

__all__ = [
    "measure_lookup",
    "measure_publication",
    "measure_rule_change",
    "measure_rules",
    "measure_rules_by_accounts",
]

ACCOUNTS = 310
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


def _text(lines: int, *, seed: int, accounts: int = ACCOUNTS) -> str:
    found: list[str] = []
    for number in range(lines):
        pattern = _PATTERNS[number % len(_PATTERNS)]
        line = pattern.format(
            a=number % accounts, c=number // accounts, n=number + seed + 1
        )
        found.append(f"{line} # member {number % 97}\n")
    return "".join(found)


def _parsed(text: str) -> RuleFile:
    file = parse_rules(text, file="bench")
    assert isinstance(file, RuleFile), file[0]
    return file


def measure_rules(lines: int) -> Reading:
    """Returns what a new file costs a VM: read whole and indexed.

    Args:
        lines: Rules in the file, all of them new to the VM.
    """
    texts = [_text(lines, seed=10_000 * n) for n in range(1, 4)]
    files: list[RuleFile] = []

    def run() -> None:
        files.append(_parsed(texts.pop()))
        IndexedRuleSet(files[-1])

    cost = cpu_us(run, repeats=len(texts))
    size = len(_text(lines, seed=10_000))
    return Reading(
        cpu_us=cost,
        wire_bytes=size,
        resident_bytes=resident_bytes(lambda: _both(lines)),
    )


def measure_rule_change(lines: int) -> Reading:
    """Returns what a change of one line costs a VM.

    The file is read and indexed whole; only the changed line is new.

    Args:
        lines: Rules in the file.
    """
    text = _text(lines, seed=0)
    old = _parsed(text)
    IndexedRuleSet(old)
    weights = iter(range(1, 10))

    def run() -> None:
        changed = _parsed(f"{text}weight of everyone is {next(weights)} # m")
        compare_files(old, changed)
        IndexedRuleSet(changed)

    return Reading(cpu_us=cpu_us(run))


def _both(lines: int) -> object:
    file = _parsed(_text(lines, seed=0))
    return file, IndexedRuleSet(file)


def _lookups(rules: IndexedRuleSet, accounts: int, serial: int) -> None:
    """Asks everything that one call of a program needs."""
    for number in range(LOOKUPS):
        account = AccountId(f"account-{number % accounts:04}")
        rules.program_limits(account, "class-0")
        rules.share(account, "class-0")
        rules.account_limits(account)
        rules.action(TargetId("app-0001"), f"POST /orders/{number}-{serial}")
        rules.retries(account, "app-0")
        rules.exclusion_line(
            TargetId(f"engine-{number % accounts:04}"),
            "group-0",
            at_ms=1_700_000_000_000,
            load=0.5,
            error_share=0.0,
        )


def measure_lookup(lines: int) -> Reading:
    """Returns what all lookups of one call cost.

    Args:
        lines: Rules in the file, over 310 accounts.
    """
    rules = IndexedRuleSet(_parsed(_text(lines, seed=0)))
    serials = iter(range(10))
    return Reading(
        cpu_us=cpu_us(
            lambda: _lookups(rules, ACCOUNTS, next(serials)), count=LOOKUPS
        )
    )


def measure_rules_by_accounts(accounts: int) -> Reading:
    """Returns what all lookups of one call cost.

    Args:
        accounts: Accounts that the file's rules are about.
    """
    rules = IndexedRuleSet(
        _parsed(_text(ACCOUNT_RULES, seed=0, accounts=accounts))
    )
    serials = iter(range(10))
    return Reading(
        cpu_us=cpu_us(
            lambda: _lookups(rules, accounts, next(serials)), count=LOOKUPS
        )
    )


def measure_publication(vms: int) -> Reading:
    """Returns what one accepted publication of 300 rules costs a VM.

    One line of the file changes; then every VM's word that it is in
    force is read.

    Args:
        vms: VMs that follow the stream.
    """
    records = [_joined(number) for number in range(vms)]
    for number in range(PUBLICATIONS):
        records.extend(_publication(number, vms))
    payloads = [encode_record(record) for record in records]
    per_publication = vms + 1
    wire = sum(len(payload) for payload in payloads[-per_publication:])

    def fold(until: int) -> RulesFold:
        publication = RulesFold()
        for offset, payload in enumerate(payloads[:until]):
            record = decode_record(payload)
            assert isinstance(record, Record)
            assert publication.apply(Offset(offset), record).accepted
        return publication

    end = len(payloads)
    fold(end)
    whole = cpu_us(lambda: fold(end), repeats=3)
    before = cpu_us(lambda: fold(end - per_publication), repeats=3)
    return Reading(
        cpu_us=whole - before,
        wire_bytes=wire,
        resident_bytes=resident_bytes(lambda: fold(end)),
    )


def _joined(number: int) -> Record:
    body = ReaderJoined(VmId(f"vm-{number:05}"), 1)
    return Record(SessionId(f"vm-{number:05}.1.abcd"), 1, body)


def _publication(number: int, vms: int) -> list[Record]:
    start = vms + number * (vms + 1)
    base = -1 if number == 0 else start - vms - 1
    text = _text(300, seed=0) + f"weight of everyone is {number + 1} # m\n"
    proposal: RecordBody = RulesProposed(
        Offset(base), text, 1, OperatorName("op"), 1, str(number)
    )
    records = [Record(SessionId("publisher"), number + 1, proposal)]
    for vm in range(vms):
        applied = RulesApplied(VmId(f"vm-{vm:05}"), Offset(start), 1)
        session = SessionId(f"vm-{vm:05}.1.abcd")
        records.append(Record(session, number + 2, applied))
    return records
