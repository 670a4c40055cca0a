"""A bounded cache of answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["AnswerCache"]

CACHE_ENTRIES = 16_384

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


class AnswerCache(Generic[KeyT, ValueT]):
    """Answers by question; emptied when it has grown too large."""

    def __init__(self) -> None:
        self._value_by_key: dict[KeyT, ValueT] = {}

    def get(self, key: KeyT, make: Callable[[], ValueT]) -> ValueT:
        """Returns the kept answer, or makes one and keeps it.

        Args:
            key: The question.
            make: Makes the answer; never None.
        """
        value = self._value_by_key.get(key)
        if value is not None:
            return value
        if len(self._value_by_key) >= CACHE_ENTRIES:
            self._value_by_key.clear()
        value = self._value_by_key[key] = make()
        return value
