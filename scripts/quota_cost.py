"""Measures what quotas cost: messages, memory and processor time.

Runs the quota services of all VMs in one process, without a network, on a
virtual clock. Prints messages per request and per VM and second, the processor
time of a request with its message encoded and decoded, the memory that a VM
uses, and the time to rank the accounts among ``--members``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
import tracemalloc
from pathlib import Path

from twisted.internet.defer import ensureDeferred

sys.path.insert(0, str(Path(__file__).parent.parent))

from lycheestall.entry.accounts import Account, AccountId  # noqa: E402
from lycheestall.entry.membership import (  # noqa: E402
    Member,
    Members,
    join_record,
)
from lycheestall.entry.quotas.account_ranking import (  # noqa: E402
    DECIDERS,
    AccountRanking,
)
from lycheestall.entry.store import KeyedRecord  # noqa: E402
from lycheestall.entry.token_ledger import HolderId  # noqa: E402
from lycheestall.entry.vm_settings import Address  # noqa: E402
from lycheestall.ids import Offset, ZoneId  # noqa: E402
from tests.entry.quota_simulation import QuotaSystem  # noqa: E402

PROGRAM_REQUESTS = 8


def main() -> None:
    """Runs the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=80)
    parser.add_argument("--accounts", type=int, default=84)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--members", type=int, default=1700)
    parser.add_argument("--ranked-accounts", type=int, default=310)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    rate_per_s = 2.0 * options.rate / options.accounts
    accounts = [
        Account(
            AccountId(f"account-{number}"),
            rate_per_s=rate_per_s,
            burst=rate_per_s,
        )
        for number in range(options.accounts)
    ]
    tracemalloc.start()
    system = QuotaSystem(vms=options.vms, accounts=accounts)
    empty_bytes = tracemalloc.get_traced_memory()[0]
    system.run(8.0)
    used_bytes = tracemalloc.get_traced_memory()[0] - empty_bytes
    tracemalloc.stop()
    print(f"memory of a VM without requests: {used_bytes / options.vms:.0f} B")
    _measure_idle(system, options.seconds)
    _measure_requests(system, accounts, options.rate, options.seconds)
    _measure_member_change(options.ranked_accounts, options.members)


def _measure_idle(system: QuotaSystem, seconds: float) -> None:
    before = system.messages
    started = time.process_time()
    system.run(seconds)
    vm_seconds = len(system.vms) * seconds
    messages = (system.messages - before) / vm_seconds
    cpu_s = (time.process_time() - started) / vm_seconds
    print(f"without requests: {messages:.2f} messages a second from a VM")
    print(f"without requests: {cpu_s * 1e6:.0f} us of a core in a second")


def _measure_requests(
    system: QuotaSystem,
    accounts: list[Account],
    rate: float,
    seconds: float,
) -> None:
    chance = random.Random(1)
    requests = round(rate * seconds)
    before = system.messages
    started = time.process_time()
    for number in range(requests):
        account = chance.choice(accounts)
        program = f"{account.account}-{number // PROGRAM_REQUESTS}"
        ensureDeferred(system.send(account, program))
        system.run(1.0 / rate)
    cpu_s = (time.process_time() - started) / requests
    run = sum(len(times) for times in system.run_at_by_account.values())
    messages = (system.messages - before) / requests
    print(f"requests: {requests}, granted: {run}")
    print(f"messages per request, confirmations included: {messages:.2f}")
    print(f"processor time per request, all VMs: {cpu_s * 1e6:.0f} us")


def _measure_member_change(accounts: int, vms: int) -> None:
    members = Members()
    for number in range(vms):
        _join(members, number, incarnation=1)
    ranking = AccountRanking(members, size=DECIDERS + 2)
    for change in ("first", "restart", "added"):
        if change == "restart":
            _join(members, 1, incarnation=2)
        elif change == "added":
            _join(members, vms, incarnation=1)
        ranking.digest  # noqa: B018
        started = time.process_time()
        for number in range(accounts):
            ranking.ranked(AccountId(f"account-{number}"))
        cpu_ms = (time.process_time() - started) * 1000
        print(f"ranking {accounts} accounts ({change}): {cpu_ms:.1f} ms")


def _join(members: Members, number: int, *, incarnation: int) -> None:
    holder = HolderId(f"vm-{number}.{incarnation}")
    address = Address(f"10.1.{number // 200}.{number % 200}", 4)
    write = join_record(Member(holder, address, ZoneId("z")))
    offset = Offset(incarnation * 10_000 + number)
    members.apply(KeyedRecord(offset, write.key, write.value))


if __name__ == "__main__":
    main()
