"""Cuts an answer's connection and takes it up on another entry VM."""

from __future__ import annotations

import json

from _checks import Check
from _cluster import KEY_BY_ACCOUNT, Cluster

from lycheestall._http_body import BodyReader
from lycheestall._http_client import (
    HttpClient,
    HttpResponse,
    NoResponse,
    NotSent,
)

__all__ = ["check_resume"]

CUT_AFTER_BYTES = 500
STALL_S = 10.0
_NAME = "a cut answer resumed on another VM is the same"


async def check_resume(cluster: Cluster, client: HttpClient) -> Check:
    """Compares a cut and resumed answer with the uncut one.

    Args:
        cluster: Where to ask; its first two entry VMs are used.
        client: Sends the requests.
    """
    first, second = (cluster.url(name) for name in cluster.vms[:2])
    headers = {"authorization": f"Bearer {KEY_BY_ACCOUNT['snowline']}"}
    opened = await client.request(
        "POST", f"{first}/v1/programs", headers=headers, body=b""
    )
    if not isinstance(opened, HttpResponse) or opened.status != 201:
        return Check(_NAME, 1, (f"no program: {opened}",))
    program = json.loads(opened.body)["program"]
    headers["lycheestall-program"] = program
    headers["lycheestall-call"] = "1"
    head = await _cut(client, first, headers)
    where = f"{second}/v1/programs/{program}/calls/1"
    rest = await _fetch(client, where, headers, len(head))
    whole = await _fetch(client, where, headers, 0)
    ended = await client.request(
        "POST",
        f"{second}/v1/programs/{program}/end",
        headers=headers,
        body=b"",
    )
    faults: list[str] = []
    if not head or len(head) >= len(whole):
        faults.append(f"cut after {len(head)} of {len(whole)} bytes")
    if head + rest != whole:
        faults.append(f"{len(head)} + {len(rest)} bytes differ from the whole")
    if b"data: [DONE]" not in whole:
        faults.append("the whole has no end")
    if not isinstance(ended, HttpResponse) or ended.status != 200:
        faults.append("the program did not end")
    return Check(_NAME, len(whole), (*faults,))


async def _cut(client: HttpClient, url: str, headers: dict[str, str]) -> bytes:
    question = {
        "model": "planner",
        "stream": True,
        "max_tokens": 60,
        "messages": [{"role": "user", "content": "how far apart?"}],
    }
    response = await client.open(
        "POST",
        f"{url}/v1/chat/completions",
        headers=headers,
        body=json.dumps(question).encode(),
        new_connection=True,
    )
    if isinstance(response, (NotSent, NoResponse)):
        return b""
    parts: list[bytes] = []

    def take(data: bytes) -> None:
        parts.append(data)
        if sum(map(len, parts)) >= CUT_AFTER_BYTES:
            reader.abort("cut on purpose")

    reader = BodyReader(client.clock, take, STALL_S)
    response.deliverBody(reader)
    await reader.done
    return b"".join(parts)


async def _fetch(
    client: HttpClient, url: str, headers: dict[str, str], start: int
) -> bytes:
    result = await client.request(
        "GET",
        url,
        headers={**headers, "lycheestall-from": str(start)},
        timeout_s=STALL_S,
    )
    if not isinstance(result, HttpResponse) or result.status != 200:
        return b""
    return result.body
