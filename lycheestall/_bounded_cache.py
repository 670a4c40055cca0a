"""A cache with a bound on its number of entries."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["BoundedCache"]

MAX_ENTRIES = 16_384

KeyT = TypeVar("KeyT")
ValueT = TypeVar("ValueT")


class BoundedCache(Generic[KeyT, ValueT]):
    """Caches computed values; a full cache is cleared completely."""

    def __init__(self) -> None:
        self._value_by_key: dict[KeyT, ValueT] = {}

    def get(self, key: KeyT, compute: Callable[[], ValueT]) -> ValueT:
        """Returns the cached value, computing it on the first call.

        Args:
            key: Identifies the value.
            compute: Returns the value, which must not be None.
        """
        value = self._value_by_key.get(key)
        if value is not None:
            return value
        if len(self._value_by_key) >= MAX_ENTRIES:
            self._value_by_key.clear()
        value = self._value_by_key[key] = compute()
        return value
