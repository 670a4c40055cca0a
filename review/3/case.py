"""A machine that granted turns to itself is killed while the store is down."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

from review.standin_machines import (  # noqa: E402
    Machine,
    Record,
    run_case,
)
from review.standin_programs import (  # noqa: E402
    ENGINE_SERVICE,
    Program,
    configure,
)
from review.standin_runner import Runner  # noqa: E402
from review.standin_store import Mode, Store  # noqa: E402

PROGRAMS = 18
PARALLEL_TURNS = 3
"""Turns of one program at once: its sub-agents."""

OUTAGE_S = 4.5
TURNS_AT_S = 1.5
"""Seconds into the outage at which the programs begin."""

KILL_AT_S = 3.9
RESTART_S = 1.0
MAX_LATER_TURNS = 9


async def _case(folder: Path, record: Record, disturb: bool) -> bool:
    store = Store()
    await store.start()
    configure(store)
    runners = [
        Runner(store, f"i-{n}", ENGINE_SERVICE, record, event_s=0.05)
        for n in range(3)
    ]
    for runner in runners:
        await runner.start()
    machines = [Machine(f"front-{n}", store, folder, record) for n in range(3)]
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        programs = [Program(f"p{n}", record) for n in range(PROGRAMS)]
        await _disturbed(store, machines[0], programs, record, disturb)
        later = [_go_on(program, machines[1]) for program in programs]
        await asyncio.gather(*later)
        for program in programs:
            verdict = "over budget" if program.over_budget else "in budget"
            record(f"{program.name}: {program.tokens} tokens, {verdict}")
        return not any(program.over_budget for program in programs)
    finally:
        for machine in machines:
            machine.end()
        for runner in runners:
            await runner.stop()
        await store.stop()


async def _disturbed(
    store: Store,
    machine: Machine,
    programs: list[Program],
    record: Record,
    disturb: bool,
) -> None:
    if disturb:
        store.set_mode(Mode.BUSY)
        record("the store is down")
    await asyncio.sleep(TURNS_AT_S)
    turns = [
        program.turn(machine, str(line), tries=4)
        for program in programs
        for line in range(PARALLEL_TURNS)
    ]
    running = asyncio.gather(*turns)
    await asyncio.sleep(KILL_AT_S - TURNS_AT_S)
    if disturb:
        machine.signal(signal.SIGKILL)
    await running
    await asyncio.sleep(OUTAGE_S - KILL_AT_S)
    if disturb:
        store.set_mode(Mode.UP)
        record("the store is up again")
        await asyncio.sleep(RESTART_S)
        machine.end()
        machine.start()


async def _go_on(program: Program, machine: Machine) -> None:
    # It is a program without end: it starts turns until it gets a 402.
    for number in range(MAX_LATER_TURNS):
        await program.turn(machine, f"later-{number}", tries=8)
        if program.spent:
            return


run_case(HERE / "record.txt", _case)
