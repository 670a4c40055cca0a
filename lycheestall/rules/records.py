"""Records of the stream on which operators publish rules."""

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
    """An operator publishes a rule file.

    Valid only while ``base`` is the version in force, the text parses
    and every reader can read ``text_format``.
    """

    base: Offset
    text: str
    text_format: int
    operator: OperatorName
    proposed_ms: int
    nonce: str


@dataclass(frozen=True, slots=True)
class RulesCheckpoint:
    """The accepted rules written again before retention ends.

    Attributes:
        as_of: Every record up to this offset is included.
        version: The version in force: the offset of its proposal.
        text: Its text.
        text_format: Its format.
        data: The rest of the folded state, encoded.
    """

    as_of: Offset
    version: Offset
    text: str
    text_format: int
    data: bytes


@dataclass(frozen=True, slots=True)
class ReaderJoined:
    """A session that reads rules, and the newest format it reads."""

    vm: VmId
    newest_format: int


@dataclass(frozen=True, slots=True)
class ReaderLeft:
    """A session no longer reads rules."""

    session: SessionId


@dataclass(frozen=True, slots=True)
class RulesApplied:
    """The writer has put a version in force."""

    vm: VmId
    version: Offset
    applied_ms: int


RulesRecord: TypeAlias = (
    RulesProposed | RulesCheckpoint | ReaderJoined | ReaderLeft | RulesApplied
)
