"""Interface for decoding records that operators and targets write."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..ids import TargetId
from .configuration import Configuration
from .target_table import TargetRegistration

__all__ = ["RecordDecoder", "UnreadableRecord"]


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that can't be decoded; ``reason`` describes the error."""

    reason: str


class RecordDecoder(ABC):
    """Decodes the platform's records into the entry VM's types."""

    @abstractmethod
    def is_configuration(self, key: bytes) -> bool:
        """Returns whether the record with this key is the configuration."""

    @abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> Configuration | UnreadableRecord:
        """Decodes a configuration."""

    @abstractmethod
    def conceal_keys(self, value: bytes) -> bytes:
        """Returns a configuration without the API keys in it.

        It is decoded with the same result. One without accounts is returned
        unchanged.

        Args:
            value: The record's value, possibly unreadable.
        """

    @abstractmethod
    def decode_registration(
        self, target: TargetId, value: bytes
    ) -> TargetRegistration | UnreadableRecord:
        """Decodes a target's registration.

        Any process can write to the topic, so a record is accepted only if
        all required fields are present and have the right type.

        Args:
            target: Target ID, from the record's key.
            value: The record's value.
        """
