"""Reads that several callers share."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..logs import Logger

__all__ = ["SharedRead"]


class SharedRead:
    """Reads something for all who ask at the same time.

    Whoever asks gets the outcome of a read that starts afterwards, so that
    what it brings is newer than the question.

    Args:
        read: Reads; returns whether it succeeded.
        logger: Receives reads that end with an exception.
    """

    def __init__(
        self,
        read: Callable[[], Coroutine[Deferred[Any], Any, bool]],
        logger: Logger,
    ) -> None:
        self._read = read
        self._logger = logger
        self._waiting: list[Deferred[bool]] = []
        self._reading = False

    def ask(self) -> Deferred[bool]:
        """Returns whether a read that starts from now on succeeds."""
        waiting: Deferred[bool] = Deferred()
        self._waiting.append(waiting)
        if not self._reading:
            self._start()
        return waiting

    def _start(self) -> None:
        self._reading = True
        waiting, self._waiting = self._waiting, []
        reading = ensureDeferred(self._read())
        reading.addErrback(self._failed)
        reading.addCallback(self._finish, waiting)

    def _failed(self, failure: Failure) -> bool:
        self._logger.error("shared read failed", error=failure.getTraceback())
        return False

    def _finish(self, succeeded: bool, waiting: list[Deferred[bool]]) -> None:
        self._reading = False
        if self._waiting:
            self._start()
        for one in waiting:
            one.callback(succeeded)
