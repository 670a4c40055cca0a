"""Allocates the shared limits of client accounts to sessions.

A portion is the part of an account's limit that the log has granted to
one VM's session, which then admits calls against it locally.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias, cast

from .cell_parts import PortionsPart
from .fold import Verdict
from .ids import AccountId, Offset, SessionId
from .records import CellRecord, PortionReturned, PortionTaken

__all__ = ["Portions", "SharedLimit"]

ACCEPTED = Verdict(True)
NO_WINDOW = 0
MAX_WINDOWS = 8


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """Identifies an account's limit in one time window.

    Attributes:
        account: The client account.
        name: The limit's name in the log.
        window: The number of the time window since 1970; 0 for a limit
            on concurrency, which has no window.
    """

    account: AccountId
    name: str
    window: int


_AmountBySession: TypeAlias = dict[SessionId, int]


class Portions(PortionsPart):
    """The part of the cell's fold that keeps shared limits.

    A portion of a time window stays allocated until its session returns
    it or the window is no longer among the newest ``MAX_WINDOWS``. It
    stays allocated even if the session ends, since it is not known how
    much of it that session has used.
    """

    def __init__(self) -> None:
        self._allocated_by_limit: dict[
            tuple[AccountId, str], dict[int, _AmountBySession]
        ] = {}

    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Applies a record; rejects records that are not about limits.

        Args:
            offset: The record's offset.
            writer: The session that wrote it.
            body: The record.
        """
        if isinstance(body, PortionTaken):
            return self._take(writer, body)
        if isinstance(body, PortionReturned):
            return self._return(writer, body)
        return Verdict(False, "the record is not about shared limits")

    def session_ended(self, session: SessionId) -> None:
        """Frees a session's portions of limits without a time window.

        Args:
            session: The session that left or was deposed; it dispatches
                no more calls.
        """
        for by_window in self._allocated_by_limit.values():
            by_window.get(NO_WINDOW, {}).pop(session, None)

    def allocated(self, limit: SharedLimit) -> int:
        """Returns the sum of all allocated portions of a limit."""
        return sum(self._by_session(limit).values())

    def allocated_to(self, limit: SharedLimit, session: SessionId) -> int:
        """Returns the amount allocated to one session."""
        return self._by_session(limit).get(session, 0)

    def dump(self) -> object:
        """Returns the state as serializable values."""
        return [
            [account, name, window, list(map(list, by_session.items()))]
            for (account, name), by_window in self._allocated_by_limit.items()
            for window, by_session in by_window.items()
        ]

    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` returned."""
        self._allocated_by_limit = {}
        for account, name, window, pairs in cast(list[Any], state):
            by_window = self._allocated_by_limit.setdefault(
                (account, name), {}
            )
            by_window[window] = dict(pairs)

    def _by_session(self, limit: SharedLimit) -> _AmountBySession:
        by_window = self._allocated_by_limit.get(
            (limit.account, limit.name), {}
        )
        return by_window.get(limit.window, {})

    def _take(self, writer: SessionId, body: PortionTaken) -> Verdict:
        if body.amount <= 0:
            return Verdict(False, "a portion is over zero")
        limit = SharedLimit(body.account, body.limit_name, body.window)
        by_window = self._allocated_by_limit.setdefault(
            (body.account, body.limit_name), {}
        )
        if _has_expired(body.window, by_window):
            return Verdict(False, "the window is over")
        if self.allocated(limit) + body.amount > body.limit:
            return Verdict(False, "the limit is used up")
        by_session = by_window.setdefault(body.window, {})
        by_session[writer] = by_session.get(writer, 0) + body.amount
        timed_windows = sorted(by_window.keys() - {NO_WINDOW})
        for window in timed_windows[:-MAX_WINDOWS]:
            del by_window[window]
        return ACCEPTED

    def _return(self, writer: SessionId, body: PortionReturned) -> Verdict:
        limit = SharedLimit(body.account, body.limit_name, body.window)
        by_session = self._by_session(limit)
        left = by_session.get(writer, 0) - body.amount
        if body.amount <= 0 or left < 0:
            return Verdict(False, "more than the writer has out")
        by_session[writer] = left
        if left == 0:
            del by_session[writer]
        return ACCEPTED


def _has_expired(window: int, by_window: dict[int, _AmountBySession]) -> bool:
    timed_windows = by_window.keys() - {NO_WINDOW}
    if window == NO_WINDOW or len(timed_windows) < MAX_WINDOWS:
        return False
    return window < min(timed_windows)
