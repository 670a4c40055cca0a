"""Built-in defaults for values that no rule sets."""

from __future__ import annotations

from .rule_set import RuleLine

__all__ = [
    "DEFAULT_ATTEMPTS",
    "DEFAULT_PRIORITY",
    "DEFAULT_WEIGHT",
    "SAFE_METHODS",
    "default_line",
]

DEFAULT_WEIGHT = 1.0
DEFAULT_PRIORITY = 100
DEFAULT_ATTEMPTS = 2
SAFE_METHODS = frozenset({"GET", "HEAD"})


def default_line(text: str) -> RuleLine:
    """Returns the line that represents a built-in default.

    Args:
        text: The default, written in the rules language.
    """
    return RuleLine(0, text, "built in")
