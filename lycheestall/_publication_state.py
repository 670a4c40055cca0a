"""The state of the rules fold as stored in checkpoints."""

from __future__ import annotations

from dataclasses import dataclass

from cattrs.preconf.cbor2 import make_converter

from .ids import Offset, OperatorName, SessionId, VmId
from .publication_history import HistoryEntry

__all__ = [
    "PublicationState",
    "Reader",
    "StaleStateError",
    "decode_state",
    "encode_state",
]

_converter = make_converter()


class StaleStateError(ValueError):
    """Raised when a loaded state is older than the current one."""


@dataclass(frozen=True, slots=True)
class Reader:
    """A session that reads rules.

    Attributes:
        session: The session.
        vm: The VM it runs on.
        newest_format: The newest text format its release can parse.
    """

    session: SessionId
    vm: VmId
    newest_format: int


@dataclass(frozen=True, slots=True)
class PublicationState:
    """The stored state of a ``RulesFold``; the rest is derived from it."""

    as_of: Offset
    version: Offset
    text: str
    text_format: int
    base: Offset
    operator: OperatorName
    readable: bool
    readers: tuple[Reader, ...]
    writers: tuple[tuple[SessionId, int], ...]
    history: tuple[HistoryEntry, ...]


def encode_state(state: PublicationState) -> bytes:
    """Returns a state's CBOR encoding.

    Args:
        state: The state.
    """
    return _converter.dumps(state)


def decode_state(data: bytes) -> PublicationState:
    """Decodes a state from CBOR.

    Args:
        data: The result of ``encode_state``.
    """
    return _converter.loads(data, PublicationState)
