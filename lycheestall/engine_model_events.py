"""Requests to an engine model, and what it says happened."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from .ids import ProgramId, RequestId

__all__ = [
    "CacheChanged",
    "ModelEvent",
    "ModelRequest",
    "RequestFinished",
    "RequestStarted",
    "TokensStarted",
]


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """One request, with the length its answer will have.

    Attributes:
        request: Its id.
        program: Whose prefix it extends.
        prompt_tokens: Prompt length.
        output_tokens: Answer length.
        priority: Lower leaves the queue first.
        parent: A program whose prefix this one starts with, or None.
        parent_tokens: How much of the parent's prefix it starts with.
    """

    request: RequestId
    program: ProgramId
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    parent: ProgramId | None = None
    parent_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A request left the queue for the batch."""

    at: float
    request: RequestId
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class TokensStarted:
    """A request's prompt is computed; its first token follows."""

    at: float
    request: RequestId


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request's answer is whole."""

    at: float
    request: RequestId
    tokens_in: int
    tokens_out: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """The tokens held of a program's prefix changed; 0 means evicted."""

    at: float
    program: ProgramId
    tokens: int


ModelEvent: TypeAlias = (
    RequestStarted | TokensStarted | RequestFinished | CacheChanged
)
