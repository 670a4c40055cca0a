"""Parses response bodies: event streams, JSON documents and errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

__all__ = ["ParsedAnswer", "parse_answer"]

_DONE_MARKER = "[DONE]"
_RECEIPT_COMMENT = ": lycheestall-receipt "


@dataclass(frozen=True, slots=True)
class ParsedAnswer:
    """The parsed body of a response.

    Attributes:
        text: The text of the answer.
        complete: Whether the end of the answer was received.
        receipt: The receipt in the event stream, or empty.
        error: The fields of the error object, or None if there is none.
    """

    text: str = ""
    complete: bool = False
    receipt: str = ""
    error: dict[str, Any] | None = None


def parse_answer(body: bytes, content_type: str) -> ParsedAnswer:
    """Parses a response body that may be incomplete.

    Args:
        body: The bytes received so far, from the start of the body.
        content_type: The media type of the response.
    """
    if content_type.startswith("text/event-stream"):
        return _parse_stream(body)
    try:
        document = json.loads(body)
    except ValueError:
        return ParsedAnswer()
    if not isinstance(document, dict):
        return ParsedAnswer(text=body.decode(), complete=True)
    if "error" in document:
        return ParsedAnswer(error=_error_fields(document))
    choices = document.get("choices") or [{}]
    message = choices[0].get("message") or {}
    return ParsedAnswer(text=message.get("content") or "", complete=True)


def _parse_stream(body: bytes) -> ParsedAnswer:
    text: list[str] = []
    receipt = ""
    complete = False
    error: dict[str, Any] | None = None
    for block in body.decode("utf-8", "replace").split("\n\n"):
        if block.startswith(_RECEIPT_COMMENT):
            receipt = block.removeprefix(_RECEIPT_COMMENT)
            continue
        kind, data = _parse_event(block)
        if data == _DONE_MARKER:
            complete = True
            continue
        try:
            document = json.loads(data)
        except ValueError:
            continue
        if kind == "error":
            error = _error_fields(document)
        else:
            text.append(_content_delta(document))
    return ParsedAnswer(
        "".join(text), complete and error is None, receipt, error
    )


def _parse_event(block: str) -> tuple[str, str]:
    kind = ""
    data: list[str] = []
    for line in block.splitlines():
        name, _, value = line.partition(":")
        if name == "event":
            kind = value.strip()
        elif name == "data":
            data.append(value.strip())
    return kind, "\n".join(data)


def _content_delta(document: Any) -> str:
    choices = document.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return delta.get("content") or ""


def _error_fields(document: Any) -> dict[str, Any]:
    error = document.get("error")
    return error if isinstance(error, dict) else {"message": str(error)}
