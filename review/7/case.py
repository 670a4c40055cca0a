"""Some answers to a safe request are lost; then all processes are killed."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from review.lab.callers import Answer
from review.lab.deployment import APP_SERVICE, Deployment, run_case

MACHINES = 4
PATH = "/pule252/2f"
RATE_PER_S = 60.0
LOST_FOR_S = 4.0
LOSE_EACH = 20
"""One answer in twenty, as the site's ``x = 0.05``."""

DOWN_S = 1.4
RECOVER_S = 12.0
LEAST_SHARE = 0.25


async def play(deployment: Deployment) -> bool:
    """Plays the case; returns whether requests are served afterwards."""
    await deployment.start(MACHINES)
    await asyncio.sleep(3.0)
    before = await _traffic(deployment, 4.0)
    losing = [s for s in deployment.servers if s.service == APP_SERVICE][:1]
    if deployment.trouble:
        for server in losing:
            server.lose_each = LOSE_EACH
        deployment.note("a third of the servers lose 1 in 20 answers")
    before += await _traffic(deployment, LOST_FOR_S)
    for server in losing:
        server.lose_each = None
    deployment.note("no more answers are lost")
    before += await _traffic(deployment, 2.0)
    for machine in deployment.machines:
        machine.kill()
    deployment.note("final fault: all processes are killed")
    await asyncio.sleep(DOWN_S)
    for machine in deployment.machines:
        machine.start()
    for machine in deployment.machines:
        await machine.wait_until_ready()
    deployment.note("the machines are back")
    await asyncio.sleep(RECOVER_S)
    after = await _traffic(deployment, 4.0)
    served_before, served_after = _served(before), _served(after)
    deployment.note(
        f"served before the final fault: {served_before:.2f} of"
        f" {len(before)}; from {RECOVER_S:.0f} s after it: {served_after:.2f}"
        f" of {len(after)}"
    )
    if served_before < LEAST_SHARE:
        raise RuntimeError("too few requests were served before")
    return served_after >= LEAST_SHARE


async def _traffic(deployment: Deployment, for_s: float) -> list[Answer]:
    """Sends requests at an even rate to all machines in turn."""
    pending: list[asyncio.Task[Answer]] = []
    for number in range(int(for_s * RATE_PER_S)):
        machine = deployment.machines[number % MACHINES]
        request = deployment.fetch(machine, PATH)
        pending.append(asyncio.create_task(request))
        await asyncio.sleep(1.0 / RATE_PER_S)
    return list(await asyncio.gather(*pending))


def _served(answers: list[Answer]) -> float:
    served = sum(a.status == 200 and a.whole for a in answers)
    return served / len(answers)


if __name__ == "__main__":
    run_case(
        play,
        Path(__file__).with_name("record.txt").open("w"),
        trouble=os.environ.get("TROUBLE", "1") != "0",
    )
