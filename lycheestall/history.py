"""The digest chain over a program's messages.

What is checked: the messages of a call start with a history that this
program has, up to and with the newest answer it got, and go on with
messages of the agent's own. The agent's own are tool results, user,
system and developer messages; an assistant message that the program was
never answered is foreign. The first call of a program may bring any
history along. An answer becomes part of the history once it is whole,
so after a failed call the caller goes on from the answer before.

Calls that are under way at the same time may start from the same point;
each answer is then a point that a later call may start from. A point is
gone as soon as an answer that started from it is whole: a call from it
would shorten the history. Where the answer to a point is not known,
after an owner's loss or a handover, a call may send the same messages
again or go on with any answer. To drop or rewrite history on purpose, as
agents do that summarise, a call says that it starts a new branch.
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

__all__ = ["ChainPoint", "Extension", "Fault", "History", "Mismatch"]

MAX_POINTS = 16
ASSISTANT = "assistant"


@dataclass(frozen=True, slots=True)
class ChainPoint:
    """A point of the history that a call may start from.

    Attributes:
        number: The call that was answered.
        messages: How many messages the digest covers.
        digest: Digest of these messages.
        answered: Whether the answer is among them; if not, it is the
            next message and not known here.
        tokens: Prompt and answer tokens of the call, 0 when unknown.
        model: The model that counted them.
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
        base: The point they start from, None for a first call.
        messages: How many messages there are.
        digest: Digest of all of them.
        new_branch: Whether they begin a new branch.
    """

    base: ChainPoint | None
    messages: int
    digest: bytes
    new_branch: bool = False


class Fault(Enum):
    """What is wrong with a history."""

    SHORTENED = "shortened"
    DIFFERENT = "different"
    FOREIGN_ANSWER = "foreign_answer"


@dataclass(frozen=True, slots=True)
class Mismatch:
    """A call's messages do not extend the history.

    Attributes:
        fault: What is wrong.
        messages: How many messages the history has.
    """

    fault: Fault
    messages: int


class History:
    """One program's history, as digests.

    Args:
        account: Who pays.
        program: The program, with its parents' path.
    """

    def __init__(self, account: AccountId, program: ProgramId) -> None:
        seed = f"history\0{account}\0{program}".encode()
        self._seed = sha256(seed).digest()
        self._points: list[ChainPoint] = []

    @property
    def points(self) -> tuple[ChainPoint, ...]:
        """Returns the points a call may start from, oldest first."""
        return tuple(self._points)

    @property
    def newest(self) -> ChainPoint:
        """Returns the newest point; one of no messages at the start."""
        if self._points:
            return self._points[-1]
        return ChainPoint(CallNumber(0), 0, self._seed)

    def check(
        self, messages: Sequence[Message], *, new_branch: bool = False
    ) -> Extension | Mismatch:
        """Returns whether a call's messages extend the history.

        Args:
            messages: All messages of the call, oldest first.
            new_branch: Whether the call says it starts a new branch.
        """
        digests = self._digests(messages)
        extension = Extension(None, len(messages), digests[-1], new_branch)
        if new_branch or not self._points:
            return extension
        mismatch = Mismatch(Fault.DIFFERENT, self._points[-1].messages)
        for point in reversed(self._points):
            fault = _fault(point, messages, digests)
            if fault is None:
                return Extension(point, len(messages), digests[-1])
            if point is self._points[-1]:
                mismatch = Mismatch(fault, point.messages)
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
        """Takes a whole answer into the history.

        Args:
            extension: What ``check`` returned for the call.
            answer: The answer as a message.
            number: The call's number.
            tokens: Prompt and answer tokens of the call.
            model: The model that counted them.

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
        """Takes a point that an answer under way will complete."""
        self._points.append(point)

    def adopt(self, point: ChainPoint) -> None:
        """Takes the only point that is known, from a receipt."""
        self._points = [point]

    def dump(self) -> object:
        """Returns the points as lists, numbers, strings and bytes."""
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
        """Replaces the points by those that ``dump`` made."""
        items = cast(list[Any], state)
        self._points = [ChainPoint(*item) for item in items]

    def _digests(self, messages: Sequence[Message]) -> list[bytes]:
        digests = [self._seed]
        for message in messages:
            digests.append(_extend(digests[-1], message))
        return digests


def _fault(
    point: ChainPoint, messages: Sequence[Message], digests: list[bytes]
) -> Fault | None:
    if len(messages) < point.messages:
        return Fault.SHORTENED
    if digests[point.messages] != point.digest:
        return Fault.DIFFERENT
    added = messages[point.messages :]
    if not point.answered and not added:
        return None
    if not point.answered:
        if added[0].get("role") != ASSISTANT:
            return Fault.DIFFERENT
        added = added[1:]
    for message in added:
        if message.get("role") == ASSISTANT:
            return Fault.FOREIGN_ANSWER
    return None


def _extend(digest: bytes, message: Message) -> bytes:
    return sha256(digest + _canonical(message)).digest()


def _canonical(message: Message) -> bytes:
    if message.get("role") == ASSISTANT:
        message = _canonical_answer(message)
    present = {key: value for key, value in message.items() if value}
    return orjson.dumps(present, option=orjson.OPT_SORT_KEYS)


def _canonical_answer(message: Message) -> Message:
    """Keeps what clients send back unchanged of an answer."""
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
