"""Time zones from the packaged database alone.

The operating system's database is not used: every VM of one release
must judge a rule file alike.
"""

from __future__ import annotations

from functools import lru_cache
from importlib import resources
from zoneinfo import ZoneInfo

__all__ = ["load_zone"]


@lru_cache(maxsize=64)
def load_zone(name: str) -> ZoneInfo | None:
    """Returns a time zone, None when there is none of that name.

    Args:
        name: A name such as ``Asia/Kolkata``; no ``..`` parts.
    """
    source = resources.files("tzdata").joinpath("zoneinfo", *name.split("/"))
    try:
        with source.open("rb") as file:
            return ZoneInfo.from_file(file, key=name)
    except (OSError, ValueError):
        return None
