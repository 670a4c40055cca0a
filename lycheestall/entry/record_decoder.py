"""Decoding what operators and targets write to the store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..ids import TargetId
from .configuration import Configuration
from .target_table import TargetRegistration

__all__ = ["RecordDecoder", "UnreadableRecord"]


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that says nothing usable; ``reason`` says why."""

    reason: str


class RecordDecoder(ABC):
    """Turns records into the product's types."""

    @abstractmethod
    def is_configuration(self, key: bytes) -> bool:
        """Returns whether a key holds the configuration."""

    @abstractmethod
    def configuration(self, value: bytes) -> Configuration | UnreadableRecord:
        """Decodes a configuration."""

    @abstractmethod
    def target(
        self, target: TargetId, value: bytes
    ) -> TargetRegistration | UnreadableRecord:
        """Decodes a target's registration.

        Anything can be written under a target's key: a record is used
        only if every field that the product needs is there and of its
        type.

        Args:
            target: The target that the record is about.
            value: The record's value.
        """
