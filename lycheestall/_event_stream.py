"""Passes a stream of server-sent events on in whole events.

Events are not parsed one by one; only the last that carries token counts
is, at the end. A body that is no event stream is passed on in one piece.
"""

from __future__ import annotations

import json

from .targets import EngineBroken, EngineDone, EngineResult, EngineSink

__all__ = ["EventStream"]

_END_OF_EVENT = b"\n\n"
_LAST_EVENT = b"data: [DONE]\n\n"
_USAGE = b'"usage"'


class EventStream:
    """Cuts the bytes of an answer at the ends of its events.

    Args:
        sink: Gets the events.
        events: Whether the body is an event stream; any other body is
            passed on in one piece.
        resumed: Whether the stream may start inside an event.
        prompt_bytes: The request body's length; it bounds the prompt's
            tokens for an engine that does not count them.
    """

    def __init__(
        self,
        sink: EngineSink,
        *,
        events: bool = True,
        resumed: bool = False,
        prompt_bytes: int = 0,
    ) -> None:
        self._sink = sink
        self._events = events
        self._resumed = resumed
        self._prompt_bytes = prompt_bytes
        self._pending = b""
        self._usage_event = b""
        self._whole = False
        self._chunks = 0
        self._bytes = 0

    def feed(self, data: bytes) -> None:
        """Takes the next bytes as they came.

        Args:
            data: Any part of the body.
        """
        self._pending += data
        end = self._pending.rfind(_END_OF_EVENT)
        if end < 0 or not self._events:
            return
        end += len(_END_OF_EVENT)
        block, self._pending = self._pending[:end], self._pending[end:]
        self._note(block)
        self._hand_on(block)

    def result(self, failure: str) -> EngineResult:
        """Returns what became of the stream.

        Args:
            failure: What broke the connection, empty when nothing did.
        """
        if not self._events and not failure:
            self._usage_event = self._pending
            self._whole = True
            self._hand_on(self._pending)
        if self._whole:
            return self._done()
        return EngineBroken(True, self._chunks, failure or "stream ended")

    @property
    def counted(self) -> bool:
        """Whether the engine's own token counts were in what came."""
        return _usage(self._usage_event) is not None

    def _note(self, block: bytes) -> None:
        if self._ends(block):
            self._whole = True
        at = block.rfind(_USAGE)
        if at < 0:
            return
        start = block.rfind(_END_OF_EVENT, 0, at)
        start = 0 if start < 0 else start + len(_END_OF_EVENT)
        self._usage_event = block[start : block.index(_END_OF_EVENT, at)]

    def _ends(self, block: bytes) -> bool:
        if self._resumed and self._bytes == 0 and _LAST_EVENT.endswith(block):
            return True
        return block.endswith(_LAST_EVENT)

    def _hand_on(self, block: bytes) -> None:
        self._chunks += 1
        self._bytes += len(block)
        self._sink.chunk(block)

    def _done(self) -> EngineDone:
        usage = _usage(self._usage_event)
        if usage is None:
            return EngineDone(self._prompt_bytes, self._bytes, 0)
        return usage


def _usage(event: bytes) -> EngineDone | None:
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
