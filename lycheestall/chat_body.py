"""Parses chat requests and assembles answers from streams."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, TypeAlias

import orjson
import xxhash

__all__ = ["ChatAssembler", "ChatBody", "InvalidBody", "Message", "parse_chat"]

Message: TypeAlias = dict[str, Any]
"""One chat message as JSON: a role, content and tool calls."""

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 1024
MESSAGE_OVERHEAD_TOKENS = 16
DONE_EVENT = b"[DONE]"


@dataclass(frozen=True, slots=True)
class InvalidBody:
    """A body that is not a valid chat request.

    Attributes:
        error: What is wrong with it.
    """

    error: str


@dataclass(frozen=True, slots=True)
class ChatBody:
    """The parts of a chat request that the program owner uses.

    Attributes:
        messages: The history and the new messages, oldest first.
        max_tokens: The most tokens that the answer may have.
        prompt_tokens: Estimated number of prompt tokens.
        engine_body: The request for the engine; always asks for a
            stream.
        parameters_digest: Digest of the request without its messages
            and token limit, which covers for example the tools.
        parameters_bytes: Length of the request without its messages
            and token limit.
    """

    messages: tuple[Message, ...]
    max_tokens: int
    prompt_tokens: int
    engine_body: bytes
    parameters_digest: bytes = b""
    parameters_bytes: int = 0

    def max_prompt_tokens(
        self, known_tokens: int = 0, known_messages: int = 0
    ) -> int:
        """Returns the most tokens that the messages can have.

        Counts one token per byte, since no token is shorter.

        Args:
            known_tokens: Tokens of the first messages, as counted by an
                engine.
            known_messages: Number of these messages.
        """
        added = self.messages[known_messages:]
        size = len(orjson.dumps(added)) if added else 0
        overhead = MESSAGE_OVERHEAD_TOKENS * (len(added) + 1)
        return known_tokens + size + overhead


def parse_chat(body: bytes) -> ChatBody | InvalidBody:
    """Parses the body of a chat request.

    Args:
        body: An OpenAI-style chat completions request as JSON.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return InvalidBody(f"body is no JSON: {error}")
    if not isinstance(document, dict):
        return InvalidBody("body is no JSON object")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return InvalidBody("messages: expected a list with a message in it")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or "role" not in message:
            return InvalidBody(f"messages[{index}]: expected a role")
    limit = document.get("max_completion_tokens")
    if limit is None:
        limit = document.get("max_tokens")
    if limit is None:
        limit = DEFAULT_MAX_TOKENS
    if type(limit) is not int or limit < 1:
        return InvalidBody("max_tokens: expected a whole number over 0")
    if document.get("n") not in (None, 1):
        return InvalidBody("n: expected 1, as a history has one answer a turn")
    document["stream"] = True
    document["max_tokens"] = limit
    engine_body = orjson.dumps(document)
    parameters = orjson.dumps({**document, "messages": [], "max_tokens": 0})
    return ChatBody(
        messages=tuple(messages),
        max_tokens=limit,
        prompt_tokens=len(engine_body) // BYTES_PER_TOKEN + 1,
        engine_body=engine_body,
        parameters_digest=xxhash.xxh3_64_digest(parameters),
        parameters_bytes=len(parameters),
    )


@dataclass(slots=True)
class _ToolCall:
    id: str = ""
    name: str = ""
    arguments: str = ""


@dataclass(slots=True)
class ChatAssembler:
    """Assembles an answer from the chunks of its stream.

    Attributes:
        content: The text so far.
        finish_reason: Why generation stopped; empty if not known yet.
    """

    content: str = ""
    finish_reason: str = ""
    _pending: bytes = b""
    _is_event_stream: bool = False
    _tool_call_by_index: dict[int, _ToolCall] = field(default_factory=dict)

    def feed(self, data: bytes) -> None:
        """Takes the next bytes of the stream, split at any position."""
        self._pending += data
        *events, self._pending = self._pending.split(b"\n\n")
        for event in events:
            self._parse_event(event)

    def close(self) -> None:
        """Parses the remaining bytes when the stream has ended."""
        remainder, self._pending = self._pending, b""
        if self._is_event_stream or remainder.lstrip().startswith(b"data:"):
            self._parse_event(remainder)
            return
        self._merge_document(remainder, "message")

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
        """Returns the answer as the JSON of an unstreamed chat completion.

        Args:
            name: The completion's id.
            model: The model that generated the answer.
            tokens_in: Number of prompt tokens.
            tokens_out: Number of generated tokens.
        """
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

    def _parse_event(self, event: bytes) -> None:
        for line in event.splitlines():
            if not line.startswith(b"data:"):
                continue
            self._is_event_stream = True
            data = line[len(b"data:") :].strip()
            if data == DONE_EVENT:
                continue
            self._merge_document(data, "delta")

    def _merge_document(self, data: bytes, message_key: str) -> None:
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
            self._merge_message(choice.get(message_key) or {})

    def _merge_message(self, delta: Message) -> None:
        content = delta.get("content")
        if isinstance(content, str):
            self.content += content
        for position, fragment in enumerate(delta.get("tool_calls") or ()):
            index = fragment.get("index", position)
            call = self._tool_call_by_index.setdefault(index, _ToolCall())
            function = fragment.get("function") or {}
            call.id = fragment.get("id") or call.id
            call.name = function.get("name") or call.name
            call.arguments += function.get("arguments") or ""
