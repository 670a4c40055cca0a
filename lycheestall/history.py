"""The hash chain over a program's messages.

A call's messages must start with a history of this program, up to and
including its newest answer, followed by messages of the agent's own:
tool results and user, system and developer messages. An assistant
message that the program never received as an answer is rejected. The
first call of a program may bring any history. An answer joins the
history once it is complete, so after a failed call the caller continues
from the answer before it.

Concurrent calls may start from the same point; each of their answers
becomes a point that a later call may start from. A point is removed once
an answer that started from it is complete, since a call from it would
shorten the history. Where the answer to a point is not known, because
the owner failed or handed the program over, a call may send the same
messages again or continue with any answer. A call that drops or rewrites
history on purpose, as agents do when they summarize, declares a new
branch.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from typing import Any, cast

import orjson

from .chat_body import Message
from .ids import AccountId, CallNumber, ProgramId

__all__ = [
    "ChainPoint",
    "Extension",
    "History",
    "Mismatch",
    "MismatchKind",
]

MAX_POINTS = 16
ASSISTANT = "assistant"


@dataclass(frozen=True, slots=True)
class ChainPoint:
    """A prefix of the history that a call may continue from.

    Attributes:
        number: The number of the call that the prefix ends with.
        messages: Number of messages covered by the digest.
        digest: Digest of these messages.
        answered: Whether they include the call's answer; if not, the
            answer is the next message, and its content is not known.
        tokens: Prompt and answer tokens of the call, 0 if unknown.
        model: The model that the tokens were counted for.
    """

    number: CallNumber
    messages: int
    digest: bytes
    answered: bool = True
    tokens: int = 0
    model: str = ""


@dataclass(frozen=True, slots=True)
class Extension:
    """A call's messages extend the history.

    Attributes:
        base: The point they start from; None for a first call.
        messages: Number of messages of the call.
        digest: Digest of all of them.
        new_branch: Whether they start a new branch.
    """

    base: ChainPoint | None
    messages: int
    digest: bytes
    new_branch: bool = False


class MismatchKind(Enum):
    """How a call's messages differ from the program's history."""

    SHORTENED = "shortened"
    DIFFERENT = "different"
    FOREIGN_ANSWER = "foreign_answer"


@dataclass(frozen=True, slots=True)
class Mismatch:
    """A call's messages do not extend the history.

    Attributes:
        kind: How the messages differ from the history.
        messages: Number of messages in the history.
    """

    kind: MismatchKind
    messages: int


class History:
    """Digests of one program path's messages.

    Args:
        account: The program's client account.
        program: The program's id, including the path of a sub-agent.
    """

    def __init__(self, account: AccountId, program: ProgramId) -> None:
        seed = f"history\0{account}\0{program}".encode()
        self._seed = sha256(seed).digest()
        self._points: list[ChainPoint] = []

    @property
    def points(self) -> tuple[ChainPoint, ...]:
        """Returns the points that a call may start from, oldest first."""
        return tuple(self._points)

    @property
    def newest(self) -> ChainPoint:
        """Returns the newest point, or an empty one if there is none."""
        if self._points:
            return self._points[-1]
        return ChainPoint(CallNumber(0), 0, self._seed)

    def check(
        self, messages: Sequence[Message], *, new_branch: bool = False
    ) -> Extension | Mismatch:
        """Returns whether a call's messages extend the history.

        Args:
            messages: All messages of the call, oldest first.
            new_branch: Whether the call declares a new branch.
        """
        digests = self._digests(messages)
        extension = Extension(None, len(messages), digests[-1], new_branch)
        if new_branch or not self._points:
            return extension
        mismatch = Mismatch(MismatchKind.DIFFERENT, self._points[-1].messages)
        for point in reversed(self._points):
            kind = _mismatch_kind(point, messages, digests)
            if kind is None:
                return Extension(point, len(messages), digests[-1])
            if point is self._points[-1]:
                mismatch = Mismatch(kind, point.messages)
        return mismatch

    def commit(
        self,
        extension: Extension,
        answer: Message,
        *,
        number: CallNumber,
        tokens: int = 0,
        model: str = "",
    ) -> ChainPoint:
        """Adds a complete answer to the history.

        Args:
            extension: What ``check`` returned for the call.
            answer: The answer as a message.
            number: The call's number.
            tokens: Prompt and answer tokens of the call.
            model: The model that the tokens were counted for.

        Returns:
            The new point.
        """
        point = ChainPoint(
            number=number,
            messages=extension.messages + 1,
            digest=_extend(extension.digest, answer),
            tokens=tokens,
            model=model,
        )
        if extension.new_branch:
            self._points.clear()
        if extension.base in self._points:
            self._points.remove(extension.base)
        self._points.append(point)
        del self._points[:-MAX_POINTS]
        return point

    def add(self, point: ChainPoint) -> None:
        """Adds a point whose answer is still pending."""
        self._points.append(point)

    def adopt(self, point: ChainPoint) -> None:
        """Replaces all points by one that a receipt proves."""
        self._points = [point]

    def dump(self) -> object:
        """Returns the points as serializable values."""
        return [
            [
                point.number,
                point.messages,
                point.digest,
                point.answered,
                point.tokens,
                point.model,
            ]
            for point in self._points
        ]

    def load(self, state: object) -> None:
        """Replaces the points by those that ``dump`` returned."""
        items = cast(list[Any], state)
        self._points = [ChainPoint(*item) for item in items]

    def _digests(self, messages: Sequence[Message]) -> list[bytes]:
        digests = [self._seed]
        for message in messages:
            digests.append(_extend(digests[-1], message))
        return digests


def _mismatch_kind(
    point: ChainPoint, messages: Sequence[Message], digests: list[bytes]
) -> MismatchKind | None:
    if len(messages) < point.messages:
        return MismatchKind.SHORTENED
    if digests[point.messages] != point.digest:
        return MismatchKind.DIFFERENT
    added = messages[point.messages :]
    if not point.answered and not added:
        return None
    if not point.answered:
        if added[0].get("role") != ASSISTANT:
            return MismatchKind.DIFFERENT
        added = added[1:]
    for message in added:
        if message.get("role") == ASSISTANT:
            return MismatchKind.FOREIGN_ANSWER
    return None


def _extend(digest: bytes, message: Message) -> bytes:
    return sha256(digest + _canonical(message)).digest()


def _canonical(message: Message) -> bytes:
    if message.get("role") == ASSISTANT:
        message = _canonical_answer(message)
    present = {key: value for key, value in message.items() if value}
    return orjson.dumps(present, option=orjson.OPT_SORT_KEYS)


def _canonical_answer(message: Message) -> Message:
    """Returns the parts of an answer that clients send back unchanged."""
    content = message.get("content")
    if isinstance(content, list):
        parts = [part for part in content if isinstance(part, dict)]
        content = "".join(str(part.get("text", "")) for part in parts)
    calls: list[Any] = []
    for call in message.get("tool_calls") or ():
        function = call.get("function") or {}
        calls.append(
            [call.get("id"), function.get("name"), function.get("arguments")]
        )
    return {"role": ASSISTANT, "content": content, "tool_calls": calls}
