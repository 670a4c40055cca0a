"""Records of the stream that publishes rules."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..ids import Offset, OperatorName, SessionId, VmId

__all__ = [
    "ReaderJoined",
    "ReaderLeft",
    "RulesApplied",
    "RulesCheckpoint",
    "RulesProposed",
    "RulesRecord",
]


@dataclass(frozen=True, slots=True)
class RulesProposed:
    """An operator's proposal of a new rule file.

    Accepted only if ``base`` is the version in force, the text parses
    and every reader supports ``text_format``.
    """

    base: Offset
    text: str
    text_format: int
    operator: OperatorName
    proposed_ms: int
    nonce: str


@dataclass(frozen=True, slots=True)
class RulesCheckpoint:
    """The accepted rules, rewritten before the log deletes old records.

    Attributes:
        as_of: Every record up to this offset is included.
        version: The version in force: the offset of its proposal.
        text: The text of that version.
        text_format: The format of the text.
        data: The rest of the folded state, encoded as CBOR.
    """

    as_of: Offset
    version: Offset
    text: str
    text_format: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReaderJoined:
    """A session starts reading rules; names the newest format it supports."""

    vm: VmId
    newest_format: int


@dataclass(frozen=True, slots=True)
class ReaderLeft:
    """A session stops reading rules."""

    session: SessionId


@dataclass(frozen=True, slots=True)
class RulesApplied:
    """The writing VM has applied a version."""

    vm: VmId
    version: Offset
    applied_ms: int


RulesRecord: TypeAlias = (
    RulesProposed | RulesCheckpoint | ReaderJoined | ReaderLeft | RulesApplied
)
