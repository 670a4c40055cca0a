"""Time zones from the ``tzdata`` package only.

The operating system's database is not used: all VMs of one release must
evaluate a rule file with the same result.
"""

from __future__ import annotations

from functools import lru_cache
from importlib import resources
from zoneinfo import ZoneInfo

__all__ = ["load_time_zone"]


@lru_cache(maxsize=64)
def load_time_zone(name: str) -> ZoneInfo | None:
    """Returns a time zone by name, or None if the name is unknown.

    Args:
        name: A name such as ``Asia/Kolkata``; must have no ``..`` parts.
    """
    source = resources.files("tzdata").joinpath("zoneinfo", *name.split("/"))
    try:
        with source.open("rb") as file:
            return ZoneInfo.from_file(file, key=name)
    except (OSError, ValueError):
        return None
