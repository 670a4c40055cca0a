"""Measures the CPU time of entry VM daemons per request and per chunk.

Starts a deployment on loopback addresses, sends streamed chat calls of
several lengths to one entry VM and reads the CPU time of all entry VM
processes before and after. The slope of a linear fit over the number of
chunks is the cost of a chunk, the intercept the cost of a request. CPU time
that the idle daemons use is measured first and subtracted.
``--vms 1`` measures calls served by their owner; with ``--vms 3`` the
result is the mean over calls served locally and calls forwarded.
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
from _end_to_end_run import run_on_reactor  # noqa: E402
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

ANSWER_TOKENS = (50, 200, 800)
CONCURRENCY = 8
ROUNDS = 4
IDLE_SAMPLE_S = 3.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def process_cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def run_chat_call(
    client: HttpClient, url: str, program: str, tokens: int
) -> int:
    """Runs a streamed chat call to its end; returns its number of chunks."""
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
        raise RuntimeError(f"chat call failed: {answer}")
    return answer.body.count(b"\n\n")


async def measure(
    cluster: Cluster, client: HttpClient, results: dict[str, Any]
) -> None:
    """Measures the CPU time per request for each answer length."""
    await cluster.start()
    url = cluster.caller_urls()[0]
    pids = [cluster.processes.by_name[vm].popen.pid for vm in cluster.vms]
    idle_start = sum(process_cpu_s(pid) for pid in pids)
    await deferLater(client.clock, IDLE_SAMPLE_S, lambda: None)
    idle_share = (
        sum(process_cpu_s(pid) for pid in pids) - idle_start
    ) / IDLE_SAMPLE_S
    cost_ms: list[float] = []
    chunks: list[float] = []
    call_count = 0
    for length in ANSWER_TOKENS:
        before = sum(process_cpu_s(pid) for pid in pids)
        started = client.clock.seconds()
        received_chunks = 0
        for _ in range(ROUNDS):
            calls: list[Deferred[int]] = []
            for _ in range(CONCURRENCY):
                call_count += 1
                program = f"p{length}-{call_count}"
                calls.append(
                    ensureDeferred(run_chat_call(client, url, program, length))
                )
            received_chunks += sum(await gatherResults(calls))
        took_s = client.clock.seconds() - started
        used_cpu_s = sum(process_cpu_s(pid) for pid in pids) - before
        used_cpu_s -= idle_share * took_s
        cost_ms.append(1000 * used_cpu_s / (ROUNDS * CONCURRENCY))
        chunks.append(received_chunks / (ROUNDS * CONCURRENCY))
    line = fit_line(tuple(chunks), tuple(cost_ms))
    results["idle_core_share"] = idle_share
    results["vms"] = len(pids)
    results["chunks_per_request"] = chunks
    results["ms_per_request"] = cost_ms
    results["us_per_chunk"] = 1000 * line.slope
    results["ms_per_request_at_0_chunks"] = line.intercept
    results["residual"] = line.residual


def main() -> int:
    """Prints the measured costs as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--vms", type=int, default=1)
    options = parser.parse_args()
    reactor: Any = _installed
    results: dict[str, Any] = {}
    plan = ClusterPlan(
        vms=options.vms,
        engines=1,
        runners_by_group={},
        engine_parameters={
            "chunk_tokens": 1,
            "decode_base_s": 0.002,
            "decode_sequence_s": 0.0001,
            "batch_limit": CONCURRENCY,
        },
    )
    client = HttpClient(reactor, HTTPConnectionPool(reactor, persistent=False))
    with tempfile.TemporaryDirectory(prefix="lycheestall-relay-") as name:
        cluster = Cluster(plan, Path(name), client)
        try:
            completed = run_on_reactor(measure(cluster, client, results))
        finally:
            cluster.processes.stop_all()
    print(json.dumps(results, indent=2))
    return 0 if completed else 1


if __name__ == "__main__":
    sys.exit(main())
