"""Measures a daemon's processor time for each request and each chunk.

Starts a deployment on loopback addresses, sends streamed chat calls of
several lengths to one entry VM and reads that process's processor time
before and after. The slope over chunks is the cost of a chunk, the rest
the cost of a request. ``--vms 1`` measures a call served by its owner,
``--vms 3`` the mean over calls served and forwarded.
"""

from __future__ import annotations

import argparse
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any

from lycheestall._reactor import install_reactor

install_reactor()

from _cluster import KEY_BY_ACCOUNT, Cluster, ClusterPlan  # noqa: E402
from _trial import run_on_reactor  # noqa: E402
from twisted.internet import reactor as _installed  # noqa: E402
from twisted.internet.defer import (  # noqa: E402
    Deferred,
    ensureDeferred,
    gatherResults,
)
from twisted.internet.task import deferLater  # noqa: E402
from twisted.web.client import HTTPConnectionPool  # noqa: E402

from lycheestall._http_client import HttpClient, HttpResponse  # noqa: E402
from lycheestall.bench._slopes_fit import fit_line  # noqa: E402

LENGTHS = (50, 200, 800)
AT_ONCE = 8
ROUNDS = 4
IDLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Returns the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def one_call(
    client: HttpClient, url: str, program: str, tokens: int
) -> int:
    """Runs one streamed chat call to its end; returns its chunks."""
    body = {
        "model": "planner",
        "messages": [{"role": "user", "content": f"plan {program}"}],
        "max_tokens": tokens,
        "stream": True,
    }
    key = KEY_BY_ACCOUNT["snowline"]
    answer = await client.request(
        "POST",
        f"{url}/v1/chat/completions",
        headers={
            "authorization": f"Bearer {key}",
            "content-type": "application/json",
            "lycheestall-program": program,
        },
        body=json.dumps(body).encode(),
        timeout_s=60.0,
    )
    if not isinstance(answer, HttpResponse) or answer.status != 200:
        raise RuntimeError(f"call failed: {answer}")
    return answer.body.count(b"\n\n")


async def measure(
    cluster: Cluster, client: HttpClient, found: dict[str, Any]
) -> None:
    """Finds the cost at each length, in milliseconds a request."""
    await cluster.start()
    url = cluster.callers_urls()[0]
    pids = [cluster.processes.by_name[vm].popen.pid for vm in cluster.vms]
    idle = sum(cpu_s(pid) for pid in pids)
    await deferLater(client.clock, IDLE_S, lambda: None)
    idle_share = (sum(cpu_s(pid) for pid in pids) - idle) / IDLE_S
    cost_ms: list[float] = []
    chunks: list[float] = []
    number = 0
    for length in LENGTHS:
        before = sum(cpu_s(pid) for pid in pids)
        began = client.clock.seconds()
        seen = 0
        for _ in range(ROUNDS):
            calls: list[Deferred[int]] = []
            for _ in range(AT_ONCE):
                number += 1
                program = f"p{length}-{number}"
                calls.append(
                    ensureDeferred(one_call(client, url, program, length))
                )
            seen += sum(await gatherResults(calls))
        took_s = client.clock.seconds() - began
        spent = sum(cpu_s(pid) for pid in pids) - before
        spent -= idle_share * took_s
        cost_ms.append(1000 * spent / (ROUNDS * AT_ONCE))
        chunks.append(seen / (ROUNDS * AT_ONCE))
    line = fit_line(tuple(chunks), tuple(cost_ms))
    found["idle_core_share"] = idle_share
    found["vms"] = len(pids)
    found["chunks_per_request"] = chunks
    found["ms_per_request"] = cost_ms
    found["us_per_chunk"] = 1000 * line.slope
    found["ms_per_request_at_0_chunks"] = line.intercept
    found["residual"] = line.residual


def main() -> int:
    """Prints the costs as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=1)
    options = parser.parse_args()
    reactor: Any = _installed
    found: dict[str, Any] = {}
    plan = ClusterPlan(
        vms=options.vms,
        engines=1,
        runners_by_group={},
        engine={
            "chunk_tokens": 1,
            "decode_base_s": 0.002,
            "decode_sequence_s": 0.0001,
            "batch_limit": AT_ONCE,
        },
    )
    client = HttpClient(reactor, HTTPConnectionPool(reactor, persistent=False))
    with tempfile.TemporaryDirectory(prefix="lycheestall-relay-") as name:
        cluster = Cluster(plan, Path(name), client)
        try:
            whole = run_on_reactor(measure(cluster, client, found))
        finally:
            cluster.processes.stop_all()
    print(json.dumps(found, indent=2))
    return 0 if whole else 1


if __name__ == "__main__":
    sys.exit(main())
