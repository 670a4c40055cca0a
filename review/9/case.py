"""Two machines that know of grants are lost for good after an outage."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.lab.deployment import TURN_TOKENS, Deployment, run_case
from review.lab.machines import Machine

BUDGET = 2240
MACHINES = 6
OUTAGE_S = 4.5
AGREED_S = 1.5
RETURN_LIMIT_S = 58.0
"""Programs that were stopped return within ``retention_s``, 60 s."""


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether the budget was kept."""
    loop = asyncio.get_running_loop()
    await deployment.start(MACHINES, ports_for=2)
    await asyncio.sleep(4.0)
    warm = await deployment.turn(deployment.machines[0], "warm", BUDGET)
    if warm.status != 200:
        raise RuntimeError("no turn is served")
    begun = loop.time()
    deployment.silence_store()
    await asyncio.sleep(AGREED_S)
    program, asker, decider = await _find_program(deployment)
    # The turn by which the program was found is the first one.
    tokens = TURN_TOKENS
    tokens += await _spend(deployment, asker, program, turns=8, wait_s=1.2)
    stopped_at = loop.time()
    deployment.note(f"{program} has {tokens} tokens; it is stopped")
    if tokens == 0:
        raise RuntimeError("no turn was granted without the store")
    lost = [asker, decider] if deployment.trouble else []
    for machine in lost:
        machine.kill()
        deployment.note(f"{machine.name} is lost for good")
    await asyncio.sleep(max(0.0, begun + OUTAGE_S - loop.time()))
    deployment.restore_store()
    added = [
        await deployment.add_machine("bhuj-a"),
        await deployment.add_machine("bhuj-b"),
    ]
    for machine in added:
        await machine.wait_until_ready()
    others = [m for m in deployment.machines if m not in lost]
    while loop.time() < stopped_at + RETURN_LIMIT_S - 6.0:
        if lost and any(m.events("member gone") for m in others):
            break
        if not lost and loop.time() > stopped_at + 15.0:
            break
        await asyncio.sleep(0.5)
    await asyncio.sleep(2.5)
    deployment.note(f"{program} returns after {loop.time() - stopped_at:.1f}")
    tokens += await _spend(deployment, added[0], program, turns=16, wait_s=2.0)
    most = BUDGET + TURN_TOKENS
    deployment.note(f"{program} has {tokens} tokens in all, at most {most}")
    return tokens <= most


async def _find_program(
    deployment: Deployment,
) -> tuple[str, Machine, Machine]:
    """Finds a program whose turns two machines decide on."""
    for number in range(20):
        program = f"{number:02d}fa81c"
        asker = deployment.machines[number % MACHINES]
        await deployment.turn(asker, program, BUDGET)
        asked = [
            line
            for line in asker.events("asked a deciding VM")
            if line["program"] == program
        ]
        if not asked:
            continue
        name = str(asked[-1]["decider"]).partition(".")[0]
        decider = _named(deployment, name)
        if decider is not asker:
            deployment.note(f"{decider.name} decides on {program}")
            return program, asker, decider
    raise RuntimeError("no program with another deciding machine")


def _named(deployment: Deployment, name: str) -> Machine:
    for machine in deployment.machines:
        if machine.name == name:
            return machine
    raise RuntimeError(f"no machine {name}")


async def _spend(
    deployment: Deployment,
    machine: Machine,
    program: str,
    *,
    turns: int,
    wait_s: float,
) -> int:
    """Sends turns until one is refused; returns the tokens received."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    tokens = 0
    for _ in range(turns):
        answer = await deployment.turn(machine, program, BUDGET)
        tokens += answer.events * 14 if answer.status == 200 else 0
        while answer.status == 503 and loop.time() < deadline:
            await asyncio.sleep(0.3)
            answer = await deployment.turn(machine, program, BUDGET)
            tokens += answer.events * 14 if answer.status == 200 else 0
        if answer.status != 200:
            break
    return tokens


if __name__ == "__main__":
    run_case(
        play,
        Path(__file__).with_name("record.txt").open("w"),
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
