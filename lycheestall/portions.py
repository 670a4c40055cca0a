"""What the log says of limits that an account's programs share."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, TypeAlias, cast

from .cell_parts import PortionsPart
from .fold import Verdict
from .ids import AccountId, Offset, SessionId
from .records import CellRecord, PortionReturned, PortionTaken

__all__ = ["Portions", "SharedLimit"]

ACCEPTED = Verdict(True)
LASTING_WINDOW = 0
KEPT_WINDOWS = 8


@dataclass(frozen=True, slots=True)
class SharedLimit:
    """Names an account's limit in one time window.

    Attributes:
        account: Whose limit.
        name: The limit's name in the rules.
        window: The time window's number since 1970; 0 for a limit on
            concurrency, which has none.
    """

    account: AccountId
    name: str
    window: int


_BySession: TypeAlias = dict[SessionId, int]


class Portions(PortionsPart):
    """The part of the cell's fold that concerns shared limits.

    A portion stays out until its taker returns it or its window is no
    longer among the newest ``KEPT_WINDOWS``, also when the taker's
    session has ended: what an ended session used of it is not known.
    """

    def __init__(self) -> None:
        self._out_by_limit: dict[
            tuple[AccountId, str], dict[int, _BySession]
        ] = {}

    def apply(
        self, offset: Offset, writer: SessionId, body: CellRecord
    ) -> Verdict:
        """Takes a record; one of another kind is not accepted.

        Args:
            offset: Where the record is.
            writer: The session that wrote it.
            body: The record.
        """
        if isinstance(body, PortionTaken):
            return self._take(writer, body)
        if isinstance(body, PortionReturned):
            return self._give_back(writer, body)
        return Verdict(False, "no record of shared limits")

    def session_ended(self, session: SessionId) -> None:
        """Takes back what a left or deposed session held without window.

        Args:
            session: The session; it dispatches nothing any more.
        """
        for by_window in self._out_by_limit.values():
            by_window.get(LASTING_WINDOW, {}).pop(session, None)

    def out(self, limit: SharedLimit) -> int:
        """Returns the sum of the portions out."""
        return sum(self._by_session(limit).values())

    def held(self, limit: SharedLimit, session: SessionId) -> int:
        """Returns what one session has out."""
        return self._by_session(limit).get(session, 0)

    def dump(self) -> object:
        """Returns the state as lists, strings and numbers."""
        return [
            [account, name, window, list(map(list, by_session.items()))]
            for (account, name), by_window in self._out_by_limit.items()
            for window, by_session in by_window.items()
        ]

    def load(self, state: object) -> None:
        """Replaces the state by one that ``dump`` made."""
        self._out_by_limit = {}
        for account, name, window, pairs in cast(list[Any], state):
            by_window = self._out_by_limit.setdefault((account, name), {})
            by_window[window] = dict(pairs)

    def _by_session(self, limit: SharedLimit) -> _BySession:
        by_window = self._out_by_limit.get((limit.account, limit.name), {})
        return by_window.get(limit.window, {})

    def _take(self, writer: SessionId, body: PortionTaken) -> Verdict:
        if body.amount <= 0:
            return Verdict(False, "a portion is over zero")
        limit = SharedLimit(body.account, body.limit_name, body.window)
        by_window = self._out_by_limit.setdefault(
            (body.account, body.limit_name), {}
        )
        if _is_over(body.window, by_window):
            return Verdict(False, "the window is over")
        if self.out(limit) + body.amount > body.limit:
            return Verdict(False, "the limit is used up")
        by_session = by_window.setdefault(body.window, {})
        by_session[writer] = by_session.get(writer, 0) + body.amount
        timed = sorted(by_window.keys() - {LASTING_WINDOW})
        for window in timed[:-KEPT_WINDOWS]:
            del by_window[window]
        return ACCEPTED

    def _give_back(self, writer: SessionId, body: PortionReturned) -> Verdict:
        limit = SharedLimit(body.account, body.limit_name, body.window)
        by_session = self._by_session(limit)
        left = by_session.get(writer, 0) - body.amount
        if body.amount <= 0 or left < 0:
            return Verdict(False, "more than the writer has out")
        by_session[writer] = left
        if left == 0:
            del by_session[writer]
        return ACCEPTED


def _is_over(window: int, by_window: dict[int, _BySession]) -> bool:
    timed = by_window.keys() - {LASTING_WINDOW}
    if window == LASTING_WINDOW or len(timed) < KEPT_WINDOWS:
        return False
    return window < min(timed)
