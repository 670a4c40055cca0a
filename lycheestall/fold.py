"""The interface of folds: pure functions of a log stream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .ids import Offset
from .records import Record

__all__ = ["Fold", "FoldPart", "Verdict"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a fold made of a record; the same on every VM.

    Attributes:
        accepted: Whether the record took effect.
        why: Why not, empty when accepted.
    """

    accepted: bool
    why: str = ""


class Fold(ABC):
    """State computed from a stream's records alone.

    A fold reads no clock and draws no random number. Records come in
    offset order without gaps.
    """

    @abstractmethod
    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Takes the next record into the state."""

    @abstractmethod
    def dump(self) -> bytes:
        """Returns the whole state, for a checkpoint."""

    @abstractmethod
    def load(self, data: bytes) -> None:
        """Replaces the state by one that ``dump`` made."""


class FoldPart(ABC):
    """A part of a fold's state that is kept and restored by itself."""

    @abstractmethod
    def dump(self) -> object:
        """Returns the state as numbers, strings, bytes, lists and maps."""

    @abstractmethod
    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` made."""
