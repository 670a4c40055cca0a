"""Reads answers as a caller does: event streams, documents, errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

__all__ = ["ReadAnswer", "read_answer"]

_DONE = "[DONE]"
_RECEIPT_COMMENT = ": lycheestall-receipt "


@dataclass(frozen=True, slots=True)
class ReadAnswer:
    """What a caller makes of an answer's bytes.

    Attributes:
        text: The answer's text.
        whole: Whether the answer reached its end.
        receipt: The receipt inside the stream, or empty.
        error: The fields of an error, None when there is none.
    """

    text: str = ""
    whole: bool = False
    receipt: str = ""
    error: dict[str, Any] | None = None


def read_answer(body: bytes, content_type: str) -> ReadAnswer:
    """Returns what an answer says.

    Args:
        body: The bytes received so far, from the first on.
        content_type: The answer's media type.
    """
    if content_type.startswith("text/event-stream"):
        return _read_events(body)
    try:
        document = json.loads(body)
    except ValueError:
        return ReadAnswer()
    if not isinstance(document, dict):
        return ReadAnswer(text=body.decode(), whole=True)
    if "error" in document:
        return ReadAnswer(error=_error(document))
    choices = document.get("choices") or [{}]
    message = choices[0].get("message") or {}
    return ReadAnswer(text=message.get("content") or "", whole=True)


def _read_events(body: bytes) -> ReadAnswer:
    text: list[str] = []
    receipt = ""
    whole = False
    error: dict[str, Any] | None = None
    for block in body.decode("utf-8", "replace").split("\n\n"):
        if block.startswith(_RECEIPT_COMMENT):
            receipt = block.removeprefix(_RECEIPT_COMMENT)
            continue
        kind, data = _event(block)
        if data == _DONE:
            whole = True
            continue
        try:
            document = json.loads(data)
        except ValueError:
            continue
        if kind == "error":
            error = _error(document)
        else:
            text.append(_delta(document))
    return ReadAnswer("".join(text), whole and error is None, receipt, error)


def _event(block: str) -> tuple[str, str]:
    kind = ""
    data: list[str] = []
    for line in block.splitlines():
        name, _, value = line.partition(":")
        if name == "event":
            kind = value.strip()
        elif name == "data":
            data.append(value.strip())
    return kind, "\n".join(data)


def _delta(document: Any) -> str:
    choices = document.get("choices") or [{}]
    delta = choices[0].get("delta") or {}
    return delta.get("content") or ""


def _error(document: Any) -> dict[str, Any]:
    error = document.get("error")
    return error if isinstance(error, dict) else {"message": str(error)}
