"""Interfaces of folds, deterministic state machines over a log stream."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from .ids import Offset
from .records import Record

__all__ = ["Fold", "FoldPart", "Verdict"]


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of applying a record; the same on every VM.

    Attributes:
        accepted: Whether the record took effect.
        reason: Why it was rejected, empty if it was accepted.
    """

    accepted: bool
    reason: str = ""


class Fold(ABC):
    """State computed from nothing but a stream's records.

    A fold uses no clock and no random numbers. Records are applied in
    offset order without gaps.
    """

    @abstractmethod
    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Applies the next record of the stream."""

    @abstractmethod
    def dump(self) -> bytes:
        """Returns the complete state, for a checkpoint."""

    @abstractmethod
    def load(self, data: bytes) -> None:
        """Replaces the state with one that ``dump`` returned."""


class FoldPart(ABC):
    """A part of a fold's state with its own dump and load."""

    @abstractmethod
    def dump(self) -> object:
        """Returns the state as numbers, strings, bytes, lists and maps."""

    @abstractmethod
    def load(self, state: object) -> None:
        """Replaces the state with one that ``dump`` returned."""
