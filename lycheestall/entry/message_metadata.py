"""Metadata that headers carry about requests and responses."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import ProgramId
from .accounts import Credentials, NoCredentials

__all__ = [
    "PromptPart",
    "RequestLimit",
    "RequestMetadata",
    "ResponseMetadata",
    "UnreadableLimit",
]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share.

    Attributes:
        part_id: Equal for equal parts of different prompts.
        tokens: Length in tokens.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a caller's request say.

    Attributes:
        request_id: ID of this attempt by the caller; targets echo it.
        host: Value of the ``Host`` header.
        deadline_s: Seconds that the caller will wait, if given.
        program: The program that the request belongs to, if any.
        session_id: Session of the request within its program; empty
            if there is none.
        program_deadline_s: Seconds until the program should end, if
            given.
        token_budget: Tokens that the whole program may generate, if
            limited.
        max_output_tokens: Maximum tokens that this turn generates.
        prompt_parts: The prompt's parts, in order.
        resume_after: ID of the last event that the caller received.
        resumed_request: ID of the caller's attempt that received the first
            event of the stream that this one resumes, if given.
        previous_turn: ID of the turn that this one continues from, if any.
        credentials: What proves the request's account.
        object_key: Equal for requests about the same object, if given.
    """

    request_id: bytes
    host: str
    deadline_s: float | None = None
    program: ProgramId | None = None
    session_id: str = ""
    program_deadline_s: float | None = None
    token_budget: int | None = None
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None
    resumed_request: bytes | None = None
    previous_turn: str | None = None
    credentials: Credentials = NoCredentials()
    object_key: str | None = None

    @property
    def affinity(self) -> str:
        """Key of the requests that share more than a common first part."""
        if len(self.prompt_parts) > 1:
            return self.prompt_parts[1].part_id
        return self.session_id

    @property
    def affinity_tokens(self) -> int:
        """Prompt tokens that only requests of the same affinity share."""
        return sum(part.tokens for part in self.prompt_parts[1:])


@dataclass(frozen=True, slots=True)
class RequestLimit:
    """The rate of requests that a target takes from all VMs together.

    Attributes:
        rate_per_s: Requests per second, not negative.
    """

    rate_per_s: float


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """A limit that is not a number.

    Attributes:
        text: What the target sent.
    """

    text: str


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of a target's response say.

    Attributes:
        request_id: The echoed ID of the request; None if absent.
        sealed: Whether the response carries the target's seal.
        not_run: Whether the target states that it did not run the
            request.
        encoded: Whether the body has a content encoding.
        idle_timeout_s: How long the target keeps an idle connection
            open, if given.
        target_leaving: Whether the target is about to shut down.
        limit: The limit that the target names; None if it names none.
    """

    request_id: bytes | None
    sealed: bool
    not_run: bool
    encoded: bool
    idle_timeout_s: float | None
    target_leaving: bool = False
    limit: RequestLimit | UnreadableLimit | None = None
