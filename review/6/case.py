"""Two processes that know of grants are killed in an outage of the store."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.lab.deployment import STRIDE, TURN_TOKENS, Deployment, run_case
from review.lab.machines import Machine

BUDGET = 20 * TURN_TOKENS
MACHINES = 6
OUTAGE_S = 4.5
AGREED_S = 1.5
DOWN_S = 1.0


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether the budget was kept."""
    loop = asyncio.get_running_loop()
    await deployment.start(MACHINES)
    await asyncio.sleep(4.0)
    first = deployment.machines[0]
    programs = [f"{number:02d}fa81c" for number in range(12)]
    for program in programs:
        answer = await deployment.turn(first, program, BUDGET)
        if answer.status != 200:
            raise RuntimeError("no turn is served")
    await asyncio.sleep(1.0)
    begun = loop.time()
    deployment.silence_store()
    await asyncio.sleep(AGREED_S)
    program, asker, decider = await _find_program(deployment, programs)
    # Its first turn, and the one by which it was found.
    tokens = 2 * TURN_TOKENS
    tokens += await _spend(deployment, asker, program, wait_s=0.0)
    deployment.note(f"{program} has {tokens} tokens")
    killed = [asker, decider] if deployment.trouble else []
    for machine in killed:
        machine.kill()
        deployment.note(f"{machine.name} is killed")
    await asyncio.sleep(max(0.0, begun + OUTAGE_S - loop.time()))
    deployment.restore_store()
    await asyncio.sleep(DOWN_S)
    for machine in killed:
        machine.start()
        deployment.note(f"{machine.name} is started again")
    for machine in deployment.machines:
        await machine.wait_until_ready()
    await asyncio.sleep(3.0)
    deployment.note(f"{program} goes on at {first.name}")
    tokens += await _spend(deployment, first, program, wait_s=3.0)
    most = BUDGET + TURN_TOKENS
    deployment.note(f"{program} has {tokens} tokens in all, at most {most}")
    return tokens <= most


async def _find_program(
    deployment: Deployment, programs: list[str]
) -> tuple[str, Machine, Machine]:
    """Finds a program and two machines, neither of which is the first one.

    Returns:
        The program, the machine that is asked for its turns and the one that
        decides on them.
    """
    others = deployment.machines[1:]
    for number, program in enumerate(programs):
        asker = others[number % len(others)]
        answer = await deployment.turn(asker, program, BUDGET)
        asked = [
            line
            for line in asker.events("asked a deciding VM")
            if line["program"] == program and line["granted"]
        ]
        if answer.status != 200 or not asked:
            continue
        name = str(asked[-1]["decider"]).partition(".")[0]
        decider = next(m for m in deployment.machines if m.name == name)
        if decider not in (asker, deployment.machines[0]):
            deployment.note(f"{decider.name} decides on {program}")
            return program, asker, decider
    raise RuntimeError("no program with three machines")


async def _spend(
    deployment: Deployment, machine: Machine, program: str, *, wait_s: float
) -> int:
    """Sends turns until one is refused; returns the tokens received."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    tokens = 0
    while True:
        answer = await deployment.turn(machine, program, BUDGET)
        while answer.status == 503 and loop.time() < deadline:
            await asyncio.sleep(0.3)
            answer = await deployment.turn(machine, program, BUDGET)
        if answer.status != 200:
            return tokens
        tokens += answer.events * STRIDE
        # The program's pause between two turns.
        await asyncio.sleep(0.15)


if __name__ == "__main__":
    run_case(
        play,
        Path(__file__).with_name("record.txt").open("w"),
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
