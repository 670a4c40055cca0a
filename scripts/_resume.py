"""Aborts a streamed answer and resumes it on another entry VM."""

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

ABORT_AFTER_BYTES = 500
READ_TIMEOUT_S = 10.0
_CHECK_NAME = "aborted answer resumes unchanged on another VM"


async def check_resume(cluster: Cluster, client: HttpClient) -> Check:
    """Checks that an aborted and resumed answer equals the uninterrupted one.

    Args:
        cluster: The deployment; its first two entry VMs are used.
        client: The HTTP client for all requests.
    """
    first_url, second_url = (cluster.url(name) for name in cluster.vms[:2])
    headers = {"authorization": f"Bearer {KEY_BY_ACCOUNT['snowline']}"}
    open_reply = await client.request(
        "POST", f"{first_url}/v1/programs", headers=headers, body=b""
    )
    if not isinstance(open_reply, HttpResponse) or open_reply.status != 201:
        return Check(
            _CHECK_NAME, 1, (f"the program could not be opened: {open_reply}",)
        )
    program = json.loads(open_reply.body)["program"]
    headers["lycheestall-program"] = program
    headers["lycheestall-call"] = "1"
    first_part = await _receive_and_abort(client, first_url, headers)
    answer_url = f"{second_url}/v1/programs/{program}/calls/1"
    remainder = await _resume_answer(
        client, answer_url, headers, len(first_part)
    )
    uninterrupted = await _resume_answer(client, answer_url, headers, 0)
    end_reply = await client.request(
        "POST",
        f"{second_url}/v1/programs/{program}/end",
        headers=headers,
        body=b"",
    )
    violations: list[str] = []
    if not first_part or len(first_part) >= len(uninterrupted):
        violations.append(
            f"aborted after {len(first_part)} of {len(uninterrupted)} bytes"
        )
    if first_part + remainder != uninterrupted:
        violations.append(
            f"{len(first_part)} + {len(remainder)} bytes differ"
            " from the uninterrupted answer"
        )
    if b"data: [DONE]" not in uninterrupted:
        violations.append("the uninterrupted answer has no final event")
    if not isinstance(end_reply, HttpResponse) or end_reply.status != 200:
        violations.append("the program did not end")
    return Check(_CHECK_NAME, len(uninterrupted), (*violations,))


async def _receive_and_abort(
    client: HttpClient, url: str, headers: dict[str, str]
) -> bytes:
    body = {
        "model": "planner",
        "stream": True,
        "max_tokens": 60,
        "messages": [{"role": "user", "content": "how far apart?"}],
    }
    response = await client.open(
        "POST",
        f"{url}/v1/chat/completions",
        headers=headers,
        body=json.dumps(body).encode(),
        new_connection=True,
    )
    if isinstance(response, (NotSent, NoResponse)):
        return b""
    parts: list[bytes] = []

    def receive(data: bytes) -> None:
        parts.append(data)
        if sum(map(len, parts)) >= ABORT_AFTER_BYTES:
            reader.abort("aborted by the resume check")

    reader = BodyReader(client.clock, receive, READ_TIMEOUT_S)
    response.deliverBody(reader)
    await reader.done
    return b"".join(parts)


async def _resume_answer(
    client: HttpClient, url: str, headers: dict[str, str], start: int
) -> bytes:
    result = await client.request(
        "GET",
        url,
        headers={**headers, "lycheestall-from": str(start)},
        timeout_s=READ_TIMEOUT_S,
    )
    if not isinstance(result, HttpResponse) or result.status != 200:
        return b""
    return result.body
