"""Decodes numbers in records and headers, which any process may write."""

from __future__ import annotations

__all__ = ["decode_number"]

MAX_DIGITS = 300
"""Most digits of a number; ``int`` and ``float`` take as many."""


def decode_number(digits: bytes) -> int | None:
    """Returns a non-negative decimal number; None if it isn't a sound one."""
    if not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
