"""A scheduler for agent programs."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
