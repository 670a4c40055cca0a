"""All machines are killed at the end of each of two outages of the store."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.lab.deployment import STRIDE, TURN_TOKENS, Deployment, run_case
from review.lab.machines import Machine

BUDGET = 2240
MACHINES = 4
OUTAGE_S = 4.5
AGREED_S = 1.5
DOWN_S = 1.0
PROGRAM = "3fa81c"


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether the budget was kept."""
    await deployment.start(MACHINES)
    await asyncio.sleep(4.0)
    warm = await deployment.turn(deployment.machines[0], "warm", BUDGET)
    if warm.status != 200:
        raise RuntimeError("no turn is served")
    tokens = 0
    for _ in range(2):
        granted = await _outage(deployment)
        if granted == 0:
            raise RuntimeError("no turn was granted without the store")
        tokens += granted
        # The machines settle what they can before the next disruption.
        await asyncio.sleep(6.0)
    deployment.note(f"{PROGRAM} returns")
    for machine in deployment.machines[:2]:
        tokens += await _spend(deployment, machine, turns=16, wait_s=3.0)
    most = BUDGET + TURN_TOKENS
    deployment.note(f"{PROGRAM} has {tokens} tokens in all, at most {most}")
    return tokens <= most


async def _outage(deployment: Deployment) -> int:
    """Plays one outage; returns the tokens that the program received."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    deployment.silence_store()
    await asyncio.sleep(AGREED_S)
    machine = deployment.machines[1]
    tokens = await _spend(deployment, machine, turns=8, wait_s=1.2)
    deployment.note(f"{PROGRAM} has received {tokens} tokens; it is stopped")
    await asyncio.sleep(max(0.0, begun + OUTAGE_S - DOWN_S - loop.time()))
    if deployment.trouble:
        for killed in deployment.machines:
            killed.kill()
        deployment.note("all machines are killed")
    await asyncio.sleep(max(0.0, begun + OUTAGE_S - loop.time()))
    deployment.restore_store()
    if deployment.trouble:
        for killed in deployment.machines:
            killed.start()
        deployment.note("all machines are started")
    for started in deployment.machines:
        await started.wait_until_ready()
    return tokens


async def _spend(
    deployment: Deployment, machine: Machine, *, turns: int, wait_s: float
) -> int:
    """Sends turns until one is refused; returns the tokens received."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + wait_s
    tokens = 0
    for _ in range(turns):
        answer = await deployment.turn(machine, PROGRAM, BUDGET)
        while answer.status == 503 and loop.time() < deadline:
            await asyncio.sleep(0.3)
            answer = await deployment.turn(machine, PROGRAM, BUDGET)
        if answer.status != 200:
            break
        tokens += answer.events * STRIDE
    return tokens


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
