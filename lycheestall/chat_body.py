"""Chat request bodies, and the answers assembled from their streams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

import orjson
import xxhash

__all__ = ["BadBody", "ChatAssembler", "ChatBody", "Message", "parse_chat"]

Message: TypeAlias = dict[str, Any]
"""One chat message as JSON: a role, content and tool calls."""

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 1024
MESSAGE_OVERHEAD_TOKENS = 16
DONE_EVENT = b"[DONE]"


@dataclass(frozen=True, slots=True)
class BadBody:
    """A body that is no chat request.

    Attributes:
        found: What was wrong, for people.
    """

    found: str


@dataclass(frozen=True, slots=True)
class ChatBody:
    """A chat request as far as its program's owner reads it.

    Attributes:
        messages: The history and the new messages, oldest first.
        max_tokens: Most tokens the answer may have.
        prompt_tokens: Estimate of the prompt's length.
        engine_body: The request for the engine, always streamed.
        frame: Digest of what is round the messages, such as tools.
        frame_bytes: Length of what is round the messages.
    """

    messages: tuple[Message, ...]
    max_tokens: int
    prompt_tokens: int
    engine_body: bytes
    frame: bytes = b""
    frame_bytes: int = 0

    def prompt_bound(self, known: int = 0, start: int = 0) -> int:
        """Returns the most tokens that the prompt can have.

        A token stands for at least one byte.

        Args:
            known: Tokens of the first messages, as an engine counted.
            start: How many messages these are.
        """
        added = self.messages[start:]
        size = len(orjson.dumps(added)) if added else 0
        overhead = MESSAGE_OVERHEAD_TOKENS * (len(added) + 1)
        return known + size + overhead


def parse_chat(body: bytes) -> ChatBody | BadBody:
    """Returns the chat request in a body.

    Args:
        body: An OpenAI-style chat completions request as JSON.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return BadBody(f"body is no JSON: {error}")
    if not isinstance(document, dict):
        return BadBody("body is no JSON object")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return BadBody("messages: expected a list with a message in it")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or "role" not in message:
            return BadBody(f"messages[{index}]: expected a role")
    limit = document.get("max_completion_tokens")
    if limit is None:
        limit = document.get("max_tokens")
    if limit is None:
        limit = DEFAULT_MAX_TOKENS
    if type(limit) is not int or limit < 1:
        return BadBody("max_tokens: expected a whole number over 0")
    if document.get("n") not in (None, 1):
        return BadBody("n: expected 1, as a history has one answer a turn")
    document["stream"] = True
    document["max_tokens"] = limit
    engine_body = orjson.dumps(document)
    frame = orjson.dumps({**document, "messages": [], "max_tokens": 0})
    return ChatBody(
        messages=tuple(messages),
        max_tokens=limit,
        prompt_tokens=len(engine_body) // BYTES_PER_TOKEN + 1,
        engine_body=engine_body,
        frame=xxhash.xxh3_64_digest(frame),
        frame_bytes=len(frame),
    )


@dataclass(slots=True)
class _ToolCall:
    id: str = ""
    name: str = ""
    arguments: str = ""


@dataclass(slots=True)
class ChatAssembler:
    """Puts an answer's message together from its stream.

    Attributes:
        content: The text so far.
        finish_reason: Why the engine stopped, once it said so.
    """

    content: str = ""
    finish_reason: str = ""
    _pending: bytes = b""
    _saw_event: bool = False
    _tool_call_by_index: dict[int, _ToolCall] = field(default_factory=dict)

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the stream, cut anywhere."""
        self._pending += data
        *events, self._pending = self._pending.split(b"\n\n")
        for event in events:
            self._take_event(event)

    def close(self) -> None:
        """Takes what is left when the stream ends."""
        rest, self._pending = self._pending, b""
        if self._saw_event or rest.lstrip().startswith(b"data:"):
            self._take_event(rest)
            return
        self._take_document(rest, "message")

    def message(self) -> Message:
        """Returns the answer as a message of the history."""
        message: Message = {"role": "assistant", "content": self.content}
        if self._tool_call_by_index:
            message["tool_calls"] = [
                {
                    "id": call.id,
                    "type": "function",
                    "function": {
                        "name": call.name,
                        "arguments": call.arguments,
                    },
                }
                for _, call in sorted(self._tool_call_by_index.items())
            ]
        return message

    def document(
        self, *, name: str, model: str, tokens_in: int, tokens_out: int
    ) -> bytes:
        """Returns the whole answer as one chat completion document."""
        choice = {
            "index": 0,
            "message": self.message(),
            "finish_reason": self.finish_reason or "stop",
        }
        usage = {
            "prompt_tokens": tokens_in,
            "completion_tokens": tokens_out,
            "total_tokens": tokens_in + tokens_out,
        }
        return orjson.dumps(
            {
                "id": name,
                "object": "chat.completion",
                "model": model,
                "choices": [choice],
                "usage": usage,
            }
        )

    def _take_event(self, event: bytes) -> None:
        for line in event.splitlines():
            if not line.startswith(b"data:"):
                continue
            self._saw_event = True
            data = line[len(b"data:") :].strip()
            if data == DONE_EVENT:
                continue
            self._take_document(data, "delta")

    def _take_document(self, data: bytes, part: str) -> None:
        try:
            document = orjson.loads(data)
            choices = document.get("choices", ())
        except (orjson.JSONDecodeError, AttributeError):
            return
        for choice in choices:
            if choice.get("index", 0) != 0:
                continue
            self.finish_reason = (
                choice.get("finish_reason") or self.finish_reason
            )
            self._take_delta(choice.get(part) or {})

    def _take_delta(self, delta: Message) -> None:
        content = delta.get("content")
        if isinstance(content, str):
            self.content += content
        for position, piece in enumerate(delta.get("tool_calls") or ()):
            index = piece.get("index", position)
            call = self._tool_call_by_index.setdefault(index, _ToolCall())
            function = piece.get("function") or {}
            call.id = piece.get("id") or call.id
            call.name = function.get("name") or call.name
            call.arguments += function.get("arguments") or ""
