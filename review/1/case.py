"""Turns that began while the store was down still run when it is back."""

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

PROGRAMS = 15
PARALLEL_TURNS = 3
"""Turns of one program at once: its sub-agents."""

EVENT_S = 0.14
"""Seconds between two events; the sheet allows pauses of 150 ms."""

OUTAGE_S = 4.5
TURNS_AT_S = 4.3
"""Seconds into the outage at which the programs begin."""

OTHER_ZONE_AT_S = 1.6
"""Seconds after the outage at which their next turns come, through another
zone."""

LATER_TURNS = 8


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
    try:
        for machine in machines:
            machine.start()
        for machine in machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        programs = [Program(f"p{n}", record) for n in range(PROGRAMS)]
        if disturb:
            store.set_mode(Mode.BUSY)
            record("the store is down")
        await asyncio.sleep(TURNS_AT_S)
        turns = [
            asyncio.create_task(_sub_agents(p, machines[0], PARALLEL_TURNS))
            for p in programs
        ]
        await asyncio.sleep(OUTAGE_S - TURNS_AT_S)
        store.set_mode(Mode.UP)
        record("the store is up")
        await asyncio.sleep(OTHER_ZONE_AT_S)
        later = [_sub_agents(p, machines[1], LATER_TURNS) for p in programs]
        await asyncio.gather(*later, *turns)
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


async def _sub_agents(program: Program, machine: Machine, count: int) -> None:
    lines = [f"{machine.name}-{number}" for number in range(count)]
    await asyncio.gather(
        *(program.turn(machine, line, tries=4) for line in lines)
    )


run_case(HERE / "record.txt", _case)
