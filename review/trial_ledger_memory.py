"""Trial: memory of a machine that starts with the ledger of some hours.

Programs run to their end through three machines, which are then stopped with
SIGTERM. What they have left in the store is counted, and copied under other
program ids as often as the traffic of some hours would leave it. Then one
machine starts, and its memory is measured until it is ready.

    python3 review/trial_ledger_memory.py HOURS
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from review.standin_machines import Machine, Record  # noqa: E402
from review.standin_programs import (  # noqa: E402
    ENGINE_SERVICE,
    Program,
    configure,
)
from review.standin_runner import Runner  # noqa: E402
from review.standin_store import Partition, Store  # noqa: E402

PROGRAMS = 40
PROGRAMS_PER_S = 12.0
"""As played on kst-poles: 481 programs in 40 s."""

LIMIT_S = 60.0
SEPARATOR = b"\x1f"


def memory_mb(machine: Machine) -> float:
    """Returns the resident memory of a machine's process."""
    assert machine.process is not None
    status = Path(f"/proc/{machine.process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1000


def left_by_programs(ledger: Partition) -> list[tuple[bytes, bytes]]:
    """Returns the newest records that belong to programs."""
    newest = [ledger.records[offset] for offset in ledger.newest.values()]
    return [
        (key, value)
        for key, value in newest
        if value and key.split(SEPARATOR)[0] == b"t"
    ]


def multiply(
    ledger: Partition, records: list[tuple[bytes, bytes]], count: int
) -> None:
    """Copies records under other program ids."""
    for number in range(count):
        key, value = records[number % len(records)]
        kind, _, holder = key.split(SEPARATOR)
        program = f"{number:014x}".encode()
        ledger.put(SEPARATOR.join((kind, program, holder)), value)


async def run(hours: float, folder: Path) -> None:
    """Runs the trial."""
    record = Record(folder / "record.txt")
    store = Store()
    await store.start()
    configure(store)
    runner = Runner(store, "i-0", ENGINE_SERVICE, record, event_s=0.01)
    await runner.start()
    machines = [Machine(f"front-{n}", store, folder, record) for n in range(3)]
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        programs = [Program(f"p{n}", record) for n in range(PROGRAMS)]
        for program in programs:
            machine = machines[int(program.name[1:]) % 3]
            await program.turn(machine)
            await program.turn(machine)
        await asyncio.sleep(5.0)
        for machine in machines:
            machine.signal(signal.SIGTERM)
        for machine in machines:
            assert machine.process is not None
            await asyncio.to_thread(machine.process.wait, 12)
        ledger = store.partition("keyed.lycheestall")
        records = left_by_programs(ledger)
        print(f"{PROGRAMS} ended programs have left {len(records)} records")
        count = int(hours * 3600 * PROGRAMS_PER_S)
        multiply(ledger, records, count)
        machines[0].start()
        begun = time.monotonic()
        while time.monotonic() - begun < LIMIT_S:
            if await machines[0].is_ready():
                break
            await asyncio.sleep(0.2)
        print(
            f"ready {time.monotonic() - begun:.1f} s after the start with"
            f" {count} records more: {memory_mb(machines[0]):.0f} MB"
        )
    finally:
        for machine in machines:
            machine.end()
        await runner.stop()
        await store.stop()


with tempfile.TemporaryDirectory() as temporary:
    asyncio.run(run(float(sys.argv[1]), Path(temporary)))
