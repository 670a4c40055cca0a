"""What a caller's request and a target's answer say of themselves."""

from __future__ import annotations

from dataclasses import dataclass

from ..ids import ProgramId

__all__ = ["AnswerFacts", "PromptPart", "RequestFacts"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a request's headers say.

    Attributes:
        attempt: The id of this attempt of the caller.
        host: The host it is sent to.
        deadline_s: Seconds that the caller will wait; None if unsaid.
        program: The program it belongs to, if any.
        line: The line of turns inside the program.
        finish_s: Seconds until the program should end.
        token_budget: Tokens that the whole program may generate.
        max_output_tokens: Most tokens that this turn generates.
        prompt_parts: The prompt's parts, in order.
        resume_after: Id of the last event that the caller has.
    """

    attempt: bytes
    host: str
    deadline_s: float | None = None
    program: ProgramId | None = None
    line: str = ""
    finish_s: float | None = None
    token_budget: int | None = None
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    resume_after: int | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an answer's headers say.

    Attributes:
        attempt: The request's id, as echoed; None if there is none.
        sealed: Whether the target has signed it.
        not_run: Whether the target states that it did not run it.
        encoded: Whether the body has a content encoding.
        idle_timeout_s: How long the target keeps the connection idle.
    """

    attempt: bytes | None
    sealed: bool
    not_run: bool
    encoded: bool
    idle_timeout_s: float | None
