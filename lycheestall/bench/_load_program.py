"""One program as its caller drives it over HTTP, with typed retries."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .._http_client import HttpClient, HttpResponse, NoResponse, NotSent
from ._load_answer import ReadAnswer, read_answer
from ._load_records import CallEnd, CallRecord, Cut

__all__ = ["Entry", "ProgramCaller"]

SILENT_RETRY_S = 0.2
LONGEST_WAIT_S = 2.0
REPEATS_AFTER_FAILURE = 6
NEW_KEY = "a new idempotency key"
_JSON = "application/json"


@dataclass(slots=True)
class Entry:
    """The balancer's side of a caller: entry VMs by base URL.

    Attributes:
        base_urls: Where callers may go.
        random: Chooses among them.
    """

    base_urls: Sequence[str]
    random: Random

    def pick(self, avoid: str = "") -> str:
        """Returns a base URL, another than ``avoid`` if there is one."""
        others = [url for url in self.base_urls if url != avoid]
        return self.random.choice(others or list(self.base_urls))


@dataclass(slots=True)
class _Received:
    body: bytes = b""
    content_type: str = ""
    receipt: str = ""
    silent: bool = False
    status: int = 0
    outcome: str = ""

    def answered(self) -> bool:
        """Whether the target itself answered a plain call."""
        events = self.content_type.startswith("text/event-stream")
        done = self.outcome == CallEnd.COMPLETED.value
        return done and not events and not self.silent

    def answer(self) -> ReadAnswer:
        return read_answer(self.body, self.content_type)


@dataclass(slots=True)
class ProgramCaller:
    """Makes the calls of one program, one after the other.

    A call that was refused was not run, so its number goes to the next.

    Attributes:
        client: Sends the requests.
        entry: Chooses the entry VM for each request.
        key: The account's bearer key.
        program: The program's id.
        program_class: The class declared with each call.
        deadline_s: How long a call may take with all its retries.
        note: Called with each call that has ended.
        messages: The history so far.
        repeat_wait_s: What a repeat under a new key waits, times its
            number.
    """

    client: HttpClient
    entry: Entry
    key: str
    program: str
    program_class: str
    deadline_s: float
    note: Callable[[CallRecord], None]
    messages: list[dict[str, str]] = field(default_factory=list)
    repeat_wait_s: float = 0.5
    _number: int = 0
    _receipt: str = ""

    async def chat(
        self, prompt: str, *, model: str, max_tokens: int, streamed: bool
    ) -> CallRecord:
        """Asks the model and adds question and answer to the history.

        A failure that may have run is repeated as a new call, since a
        chat call changes nothing but its program's spend.
        """
        self.messages.append({"role": "user", "content": prompt})
        fields = {
            "model": model,
            "messages": self.messages,
            "max_tokens": max_tokens,
            "stream": streamed,
        }
        body = json.dumps(fields).encode()
        for _ in range(REPEATS_AFTER_FAILURE):
            record = await self._call("chat", "", body, self._chat_once)
            if record.end is not CallEnd.UNKNOWN:
                break
        if record.end is CallEnd.COMPLETED:
            answer = {"role": "assistant", "content": record.text}
            self.messages.append(answer)
        return record

    async def act(
        self, group: str, operation: str, body: bytes, key: str
    ) -> CallRecord:
        """Makes a plain call; the same key goes with each retry.

        A target that has closed the key without running the call needs
        a new one.
        """
        method, _, path = operation.partition(" ")

        async def once(record: CallRecord, received: _Received) -> None:
            url = f"/v1/applications/{group}{path}"
            await self._send(method, url, record, received)

        record = await self._call(operation, key, body, once)
        for repeat in range(2, REPEATS_AFTER_FAILURE + 1):
            if record.end is not CallEnd.REFUSED or record.needs != NEW_KEY:
                break
            await self._sleep(self.repeat_wait_s * repeat)
            new_key = f"{key}.{repeat}"
            record = await self._call(operation, new_key, body, once)
        return record

    async def finish(self, *, cancel: bool = False) -> bool:
        """Ends the program; True when the system confirmed."""
        what = "cancel" if cancel else "end"
        for _ in range(10):
            url = f"{self.entry.pick()}/v1/programs/{self.program}/{what}"
            result = await self.client.request(
                "POST", url, headers=self._headers(), body=b""
            )
            if isinstance(result, HttpResponse) and result.status == 200:
                return True
            await self._sleep(SILENT_RETRY_S)
        return False

    async def _call(
        self,
        kind: str,
        key: str,
        body: bytes,
        once: Callable[[CallRecord, _Received], Any],
    ) -> CallRecord:
        self._number += 1
        record = CallRecord(self.program, self._number, kind, key, body)
        clock = self.client.clock
        started = clock.seconds()
        received = _Received()
        while True:
            await once(record, received)
            wait_s = self._judge(record, received)
            record.duration_s = clock.seconds() - started
            if wait_s is None or record.duration_s > self.deadline_s:
                break
            await self._sleep(min(wait_s, LONGEST_WAIT_S))
        if received.receipt:
            self._receipt = received.receipt
        if record.end is CallEnd.REFUSED:
            self._number -= 1
        self.note(record)
        return record

    def _judge(self, record: CallRecord, received: _Received) -> float | None:
        """Sets the record's end; returns the wait before another try."""
        answer = received.answer()
        if record.kind != "chat" and received.answered():
            record.end, record.reason = CallEnd.COMPLETED, ""
            return None
        if answer.error is not None:
            return self._judge_error(record, received, answer.error)
        if received.silent or not answer.whole:
            record.end, record.reason = CallEnd.UNKNOWN, "connection lost"
            return SILENT_RETRY_S
        if received.status != 200:
            record.end = CallEnd.UNKNOWN
            record.reason = f"status {received.status}"
            return None
        record.end, record.reason = CallEnd.COMPLETED, ""
        record.text = answer.text
        received.receipt = answer.receipt or received.receipt
        return None

    @staticmethod
    def _judge_error(
        record: CallRecord, received: _Received, error: dict[str, Any]
    ) -> float | None:
        refused = error.get("outcome") == CallEnd.REFUSED.value
        record.end = CallEnd.REFUSED if refused else CallEnd.UNKNOWN
        record.reason = str(error.get("reason") or error.get("message"))
        record.needs = str(error.get("needs") or "")
        received.body = b""
        wait_s = float(error.get("retry_after_s") or 0.0)
        return wait_s if wait_s > 0 else None

    async def _chat_once(
        self, record: CallRecord, received: _Received
    ) -> None:
        if received.body and received.silent:
            await self._resume(record, received)
            if received.status == 200:
                return
            received.body = b""
        await self._send("POST", "/v1/chat/completions", record, received)

    async def _resume(self, record: CallRecord, received: _Received) -> None:
        record.resumes += 1
        have = received.body
        path = f"/v1/programs/{record.program}/calls/{record.number}"
        headers = {"lycheestall-from": str(len(have))}
        kind = received.content_type
        await self._exchange("GET", path, headers, None, record, received)
        if received.status == 200:
            received.body = have + received.body
            received.content_type = kind

    async def _send(
        self, method: str, path: str, record: CallRecord, received: _Received
    ) -> None:
        headers = {"lycheestall-call": str(record.number)}
        if record.key:
            headers["idempotency-key"] = record.key
        if self._receipt:
            headers["lycheestall-receipt"] = self._receipt
        body = record.body
        await self._exchange(method, path, headers, body, record, received)

    async def _exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        record: CallRecord,
        received: _Received,
    ) -> None:
        record.tries += 1
        received.body, received.status, received.silent = b"", 0, False
        base_url = self.entry.pick()
        response = await self.client.open(
            method,
            f"{base_url}{path}",
            headers={**self._headers(), **headers},
            body=body,
            timeout_s=self.deadline_s,
            new_connection=True,
        )
        if isinstance(response, (NotSent, NoResponse)):
            received.silent = True
            if isinstance(response, NoResponse):
                record.cuts.append(Cut(self.client.clock.seconds(), base_url))
            return
        parts: list[bytes] = []
        failure = await self.client.read(
            response, parts.append, self.deadline_s
        )
        received.status = response.code
        received.body = b"".join(parts)
        received.silent = bool(failure)
        if failure:
            record.cuts.append(Cut(self.client.clock.seconds(), base_url))
        received.content_type = _header(response, "content-type")
        received.outcome = _header(response, "lycheestall-outcome")
        receipt = _header(response, "lycheestall-receipt")
        received.receipt = receipt or received.receipt

    def _headers(self) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self.key}",
            "content-type": _JSON,
            "lycheestall-program": self.program,
            "lycheestall-class": self.program_class,
            "lycheestall-deadline": str(self.deadline_s),
        }

    def _sleep(self, delay_s: float) -> Deferred[None]:
        return deferLater(self.client.clock, delay_s, lambda: None)


def _header(response: Any, name: str) -> str:
    values = response.headers.getRawHeaders(name) or [""]
    return str(values[0])
