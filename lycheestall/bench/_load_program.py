"""An HTTP client that makes the calls of one program and retries them."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from .._http_client import HttpClient, HttpResponse, NoResponse, NotSent
from ._load_answer import ParsedAnswer, parse_answer
from ._load_records import CallEnd, CallRecord, Cut

__all__ = ["EntryPool", "ProgramCaller"]

NO_RESPONSE_RETRY_S = 0.2
MAX_RETRY_DELAY_S = 2.0
MAX_CALLS = 6
NEEDS_NEW_KEY = "a new idempotency key"
_JSON_TYPE = "application/json"


@dataclass(slots=True)
class EntryPool:
    """Chooses an entry VM for each request, as a load balancer does.

    Attributes:
        base_urls: Base URLs of the entry VMs.
        random: Source of the random choice.
    """

    base_urls: Sequence[str]
    random: Random

    def pick(self, exclude: str = "") -> str:
        """Returns a random base URL, not ``exclude`` if there is another."""
        candidates = [url for url in self.base_urls if url != exclude]
        return self.random.choice(candidates or list(self.base_urls))


@dataclass(slots=True)
class _ResponseState:
    body: bytes = b""
    content_type: str = ""
    receipt: str = ""
    incomplete: bool = False
    status: int = 0
    outcome: str = ""

    def is_target_response(self) -> bool:
        """Whether this is a complete, unstreamed response of the target."""
        events = self.content_type.startswith("text/event-stream")
        done = self.outcome == CallEnd.COMPLETED.value
        return done and not events and not self.incomplete

    def parsed_answer(self) -> ParsedAnswer:
        return parse_answer(self.body, self.content_type)


@dataclass(slots=True)
class ProgramCaller:
    """Makes the calls of one program sequentially.

    A refused call was not run, so the next call reuses its number.

    Attributes:
        client: Sends the requests.
        entry_pool: Chooses the entry VM for each request.
        key: The account's bearer key.
        program: The program's id.
        program_class: The class sent with each call.
        deadline_s: Time limit of a call, including its retries.
        on_call_ended: Called with the record of each ended call.
        messages: The chat history so far.
        repeat_delay_s: Base delay before a call is repeated with a new
            key; multiplied by the number of the attempt.
    """

    client: HttpClient
    entry_pool: EntryPool
    key: str
    program: str
    program_class: str
    deadline_s: float
    on_call_ended: Callable[[CallRecord], None]
    messages: list[dict[str, str]] = field(default_factory=list)
    repeat_delay_s: float = 0.5
    _number: int = 0
    _receipt: str = ""

    async def chat(
        self, prompt: str, *, model: str, max_tokens: int, streamed: bool
    ) -> CallRecord:
        """Makes a chat call and adds prompt and answer to the history.

        A call that failed but may have run is repeated as a new call:
        the only side effect of a chat call is the program's spend.
        """
        self.messages.append({"role": "user", "content": prompt})
        fields = {
            "model": model,
            "messages": self.messages,
            "max_tokens": max_tokens,
            "stream": streamed,
        }
        body = json.dumps(fields).encode()
        for _ in range(MAX_CALLS):
            record = await self._call("chat", "", body, self._send_chat)
            if record.end is not CallEnd.UNKNOWN:
                break
        if record.end is CallEnd.COMPLETED:
            answer = {"role": "assistant", "content": record.text}
            self.messages.append(answer)
        return record

    async def call_application(
        self, group: str, operation: str, body: bytes, key: str
    ) -> CallRecord:
        """Makes an application call; every retry sends the same key.

        If the target has closed the key without running the call, the
        call is repeated with a new key.
        """
        method, _, path = operation.partition(" ")

        async def send_request(
            record: CallRecord, state: _ResponseState
        ) -> None:
            url = f"/v1/applications/{group}{path}"
            await self._send(method, url, record, state)

        record = await self._call(operation, key, body, send_request)
        for repeat in range(2, MAX_CALLS + 1):
            if (
                record.end is not CallEnd.REFUSED
                or record.needs != NEEDS_NEW_KEY
            ):
                break
            await self._sleep(self.repeat_delay_s * repeat)
            new_key = f"{key}.{repeat}"
            record = await self._call(operation, new_key, body, send_request)
        return record

    async def end_program(self, *, cancel: bool = False) -> bool:
        """Ends or cancels the program; returns whether that was confirmed."""
        action = "cancel" if cancel else "end"
        for _ in range(10):
            url = (
                f"{self.entry_pool.pick()}/v1/programs/{self.program}/{action}"
            )
            result = await self.client.request(
                "POST", url, headers=self._headers(), body=b""
            )
            if isinstance(result, HttpResponse) and result.status == 200:
                return True
            await self._sleep(NO_RESPONSE_RETRY_S)
        return False

    async def _call(
        self,
        kind: str,
        key: str,
        body: bytes,
        send_request: Callable[[CallRecord, _ResponseState], Any],
    ) -> CallRecord:
        self._number += 1
        record = CallRecord(self.program, self._number, kind, key, body)
        clock = self.client.clock
        started = clock.seconds()
        state = _ResponseState()
        while True:
            await send_request(record, state)
            delay_s = self._update_record(record, state)
            record.duration_s = clock.seconds() - started
            if delay_s is None or record.duration_s > self.deadline_s:
                break
            await self._sleep(min(delay_s, MAX_RETRY_DELAY_S))
        if state.receipt:
            self._receipt = state.receipt
        if record.end is CallEnd.REFUSED:
            self._number -= 1
        self.on_call_ended(record)
        return record

    def _update_record(
        self, record: CallRecord, state: _ResponseState
    ) -> float | None:
        """Sets the call's outcome; returns the delay until a retry, if any."""
        answer = state.parsed_answer()
        if record.kind != "chat" and state.is_target_response():
            record.end, record.reason = CallEnd.COMPLETED, ""
            return None
        if answer.error is not None:
            return self._record_error(record, state, answer.error)
        if state.incomplete or not answer.complete:
            record.end, record.reason = CallEnd.UNKNOWN, "connection lost"
            return NO_RESPONSE_RETRY_S
        if state.status != 200:
            record.end = CallEnd.UNKNOWN
            record.reason = f"status {state.status}"
            return None
        record.end, record.reason = CallEnd.COMPLETED, ""
        record.text = answer.text
        state.receipt = answer.receipt or state.receipt
        return None

    @staticmethod
    def _record_error(
        record: CallRecord, state: _ResponseState, error: dict[str, Any]
    ) -> float | None:
        refused = error.get("outcome") == CallEnd.REFUSED.value
        record.end = CallEnd.REFUSED if refused else CallEnd.UNKNOWN
        record.reason = str(error.get("reason") or error.get("message"))
        record.needs = str(error.get("needs") or "")
        state.body = b""
        delay_s = float(error.get("retry_after_s") or 0.0)
        return delay_s if delay_s > 0 else None

    async def _send_chat(
        self, record: CallRecord, state: _ResponseState
    ) -> None:
        if state.body and state.incomplete:
            await self._resume(record, state)
            if state.status == 200:
                return
            state.body = b""
        await self._send("POST", "/v1/chat/completions", record, state)

    async def _resume(self, record: CallRecord, state: _ResponseState) -> None:
        record.resumes += 1
        earlier_body = state.body
        path = f"/v1/programs/{record.program}/calls/{record.number}"
        headers = {"lycheestall-from": str(len(earlier_body))}
        kind = state.content_type
        await self._send_request("GET", path, headers, None, record, state)
        if state.status == 200:
            state.body = earlier_body + state.body
            state.content_type = kind

    async def _send(
        self, method: str, path: str, record: CallRecord, state: _ResponseState
    ) -> None:
        headers = {"lycheestall-call": str(record.number)}
        if record.key:
            headers["idempotency-key"] = record.key
        if self._receipt:
            headers["lycheestall-receipt"] = self._receipt
        body = record.body
        await self._send_request(method, path, headers, body, record, state)

    async def _send_request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes | None,
        record: CallRecord,
        state: _ResponseState,
    ) -> None:
        record.tries += 1
        state.body, state.status, state.incomplete = b"", 0, False
        base_url = self.entry_pool.pick()
        response = await self.client.open(
            method,
            f"{base_url}{path}",
            headers={**self._headers(), **headers},
            body=body,
            timeout_s=self.deadline_s,
            new_connection=True,
        )
        if isinstance(response, (NotSent, NoResponse)):
            state.incomplete = True
            if isinstance(response, NoResponse):
                record.cuts.append(Cut(self.client.clock.seconds(), base_url))
            return
        parts: list[bytes] = []
        failure = await self.client.read(
            response, parts.append, self.deadline_s
        )
        state.status = response.code
        state.body = b"".join(parts)
        state.incomplete = bool(failure)
        if failure:
            record.cuts.append(Cut(self.client.clock.seconds(), base_url))
        state.content_type = _header(response, "content-type")
        state.outcome = _header(response, "lycheestall-outcome")
        receipt = _header(response, "lycheestall-receipt")
        state.receipt = receipt or state.receipt

    def _headers(self) -> dict[str, str]:
        return {
            "authorization": f"Bearer {self.key}",
            "content-type": _JSON_TYPE,
            "lycheestall-program": self.program,
            "lycheestall-class": self.program_class,
            "lycheestall-deadline": str(self.deadline_s),
        }

    def _sleep(self, delay_s: float) -> Deferred[None]:
        return deferLater(self.client.clock, delay_s, lambda: None)


def _header(response: Any, name: str) -> str:
    values = response.headers.getRawHeaders(name) or [""]
    return str(values[0])
