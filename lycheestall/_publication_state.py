"""The publication's state as checkpoints hold it."""

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
    """A state older than the one already held was offered."""


@dataclass(frozen=True, slots=True)
class Reader:
    """A session that reads rules.

    Attributes:
        session: Which.
        vm: The VM it runs on.
        newest_format: The newest text format its release reads.
    """

    session: SessionId
    vm: VmId
    newest_format: int


@dataclass(frozen=True, slots=True)
class PublicationState:
    """All of a publication that cannot be computed from the rest."""

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
        state: Any state.
    """
    return _converter.dumps(state)


def decode_state(data: bytes) -> PublicationState:
    """Returns the state of a CBOR encoding.

    Args:
        data: What ``encode_state`` returned.
    """
    return _converter.loads(data, PublicationState)
