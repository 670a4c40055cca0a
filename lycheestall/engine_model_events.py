"""Requests to an engine model and the events that it reports."""

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
    """A request and the length of its answer.

    Attributes:
        request: Its id.
        program: The program whose prefix it extends.
        prompt_tokens: Prompt length.
        output_tokens: Answer length.
        priority: Lower values leave the queue first.
        parent: A program with which it shares a prefix, or None.
        parent_tokens: Length of that shared prefix.
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
    """A request moved from the queue into the batch."""

    at: float
    request: RequestId
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class TokensStarted:
    """A request's prefill is complete; its first token follows."""

    at: float
    request: RequestId


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request's answer is complete."""

    at: float
    request: RequestId
    tokens_in: int
    tokens_out: int
    cached_tokens: int


@dataclass(frozen=True, slots=True)
class CacheChanged:
    """A program's cached prefix changed its length; 0 means evicted."""

    at: float
    program: ProgramId
    tokens: int


ModelEvent: TypeAlias = (
    RequestStarted | TokensStarted | RequestFinished | CacheChanged
)
