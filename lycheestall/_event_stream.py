"""Splits a stream of server-sent events at event boundaries.

The events are not parsed, except for the last one that has token counts,
at the end. A body that is not an event stream is emitted as one chunk.
"""

from __future__ import annotations

import json

from .targets import EngineBroken, EngineDone, EngineResult, EngineSink

__all__ = ["EventStreamSplitter"]

_EVENT_SEPARATOR = b"\n\n"
_DONE_EVENT = b"data: [DONE]\n\n"
_USAGE_KEY = b'"usage"'


class EventStreamSplitter:
    """Emits the bytes of a response body in chunks of complete events.

    Args:
        sink: Receives the chunks.
        is_event_stream: Whether the body is an event stream; any other
            body is emitted as one chunk.
        resumed: Whether the stream may start inside an event.
        prompt_bytes: The request body's length, which is an upper bound
            of the prompt's tokens if the engine does not report them.
    """

    def __init__(
        self,
        sink: EngineSink,
        *,
        is_event_stream: bool = True,
        resumed: bool = False,
        prompt_bytes: int = 0,
    ) -> None:
        self._sink = sink
        self._is_event_stream = is_event_stream
        self._resumed = resumed
        self._prompt_bytes = prompt_bytes
        self._buffer = b""
        self._usage_event = b""
        self._complete = False
        self._emitted_chunks = 0
        self._emitted_bytes = 0

    def feed(self, data: bytes) -> None:
        """Processes the next bytes of the body.

        Args:
            data: The bytes; they may end anywhere in an event.
        """
        self._buffer += data
        end = self._buffer.rfind(_EVENT_SEPARATOR)
        if end < 0 or not self._is_event_stream:
            return
        end += len(_EVENT_SEPARATOR)
        block, self._buffer = self._buffer[:end], self._buffer[end:]
        self._scan_block(block)
        self._emit(block)

    def result(self, failure: str) -> EngineResult:
        """Returns the result of the stream.

        Args:
            failure: Why the connection broke; empty if it did not.
        """
        if not self._is_event_stream and not failure:
            self._usage_event = self._buffer
            self._complete = True
            self._emit(self._buffer)
        if self._complete:
            return self._completed_result()
        return EngineBroken(
            True, self._emitted_chunks, failure or "stream ended"
        )

    @property
    def has_usage(self) -> bool:
        """Whether the engine reported token counts in the received body."""
        return _parse_usage(self._usage_event) is not None

    def _scan_block(self, block: bytes) -> None:
        if self._is_end(block):
            self._complete = True
        key_index = block.rfind(_USAGE_KEY)
        if key_index < 0:
            return
        start = block.rfind(_EVENT_SEPARATOR, 0, key_index)
        start = 0 if start < 0 else start + len(_EVENT_SEPARATOR)
        self._usage_event = block[
            start : block.index(_EVENT_SEPARATOR, key_index)
        ]

    def _is_end(self, block: bytes) -> bool:
        """Returns whether a block ends with the final event.

        A resumed stream may start inside the final event.
        """
        if (
            self._resumed
            and self._emitted_bytes == 0
            and _DONE_EVENT.endswith(block)
        ):
            return True
        return block.endswith(_DONE_EVENT)

    def _emit(self, block: bytes) -> None:
        self._emitted_chunks += 1
        self._emitted_bytes += len(block)
        self._sink.chunk(block)

    def _completed_result(self) -> EngineDone:
        usage = _parse_usage(self._usage_event)
        if usage is None:
            return EngineDone(self._prompt_bytes, self._emitted_bytes, 0)
        return usage


def _parse_usage(event: bytes) -> EngineDone | None:
    data = event
    if not event.startswith(b"{"):
        data = b"".join(
            line.removeprefix(b"data:")
            for line in event.split(b"\n")
            if line.startswith(b"data:")
        )
    try:
        usage = json.loads(data)["usage"]
        details = usage.get("prompt_tokens_details") or {}
        return EngineDone(
            int(usage["prompt_tokens"]),
            int(usage["completion_tokens"]),
            int(details.get("cached_tokens", 0)),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
