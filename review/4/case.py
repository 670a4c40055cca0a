"""A deciding VM grants turns by a ledger that it has not read for a while."""

from __future__ import annotations

import asyncio
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

ROUNDS = 5
"""Outages; how old a machine's ledger is at their start is left to chance."""

PROGRAMS = 6
"""New programs in each round."""

EVENT_S = 0.05
FIRST_TURNS = 7
"""Turns of a program before the outage, all at once: its sub-agents."""

TURN_S = 1.1
"""Seconds that a turn takes at most."""

LEAD_S = 0.25
"""Seconds from those turns to the start of the outage."""

OUTAGE_S = 4.5
LATER_AT_S = 1.6
"""Seconds into the outage at which the next turns come, through another
zone."""

LATER_TURNS = 3
CALM_S = 4.3
"""Seconds between two rounds."""


async def _case(folder: Path, record: Record, disturb: bool) -> bool:
    store = Store()
    await store.start()
    configure(store)
    runners = [
        Runner(store, f"i-{n}", ENGINE_SERVICE, record, event_s=EVENT_S)
        for n in range(3)
    ]
    for runner in runners:
        await runner.start()
    machines = [Machine(f"front-{n}", store, folder, record) for n in range(3)]
    programs: list[Program] = []
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        for number in range(ROUNDS):
            await asyncio.sleep(CALM_S)
            new = [
                Program(f"p{number}-{count}", record)
                for count in range(PROGRAMS)
            ]
            programs += new
            await _round(store, machines, new, record, disturb)
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


async def _round(
    store: Store,
    machines: list[Machine],
    programs: list[Program],
    record: Record,
    disturb: bool,
) -> None:
    first = [_turns(p, machines[0], FIRST_TURNS) for p in programs]
    running = asyncio.gather(*first)
    await asyncio.sleep(LEAD_S)
    if disturb:
        store.set_mode(Mode.BUSY)
        record("the store is down")
    await asyncio.sleep(LATER_AT_S)
    later = [_turns(p, machines[1], LATER_TURNS) for p in programs]
    await asyncio.gather(*later, running)
    await asyncio.sleep(OUTAGE_S - LATER_AT_S - TURN_S)
    store.set_mode(Mode.UP)
    record("the store is up")


async def _turns(program: Program, machine: Machine, count: int) -> None:
    lines = [f"{machine.name}-{number}" for number in range(count)]
    await asyncio.gather(*(program.turn(machine, line) for line in lines))


run_case(HERE / "record.txt", _case)
