"""Responses to callers: one for each request, written once."""

from __future__ import annotations

from .exchange import (
    PLAIN_TEXT_HEADERS,
    Exchange,
    RequestHandler,
    ResponseChannel,
)
from .response_progress import ResponseProgress, ResponseState, ResponseStep

__all__ = [
    "PLAIN_TEXT_HEADERS",
    "Exchange",
    "RequestHandler",
    "ResponseChannel",
    "ResponseProgress",
    "ResponseState",
    "ResponseStep",
]
