"""Runs a case and turns its result into the exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .fleet import CannotRunError

LIMIT_S = 115.0
"""Longest time of a case, in seconds."""

BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """What was sent, answered and run, in ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.write(f"TROUBLE={int(self.trouble)}")

    def write(self, text: str) -> None:
        """Adds a line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()


def main(script: str, play: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Plays a case; its result are the breaches of the rule.

    Args:
        script: Path of the case's script.
        play: Plays it.
    """
    record = Record(Path(script).resolve().parent)
    try:
        breaches = asyncio.run(_limited(play, record))
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        sys.exit(NOT_RUN)
    except BaseException:
        record.write("could not run: " + traceback.format_exc())
        sys.exit(NOT_RUN)
    for breach in breaches:
        record.write(f"BROKEN: {breach}")
        print("broken:", breach)
    if not breaches:
        record.write("held")
        print("held")
    sys.exit(BROKEN if breaches else HELD)


async def _limited(
    play: Callable[[Record], Awaitable[list[str]]], record: Record
) -> list[str]:
    try:
        async with asyncio.timeout(LIMIT_S):
            return await play(record)
    except TimeoutError:
        raise CannotRunError("it took too long") from None
