"""Sessions and configurations of a cell, computed from the log."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any, cast

from .fold import FoldPart, Verdict
from .ids import Offset, SessionId, VmId, ZoneId
from .records import (
    NO_OFFSET,
    SessionDeposed,
    SessionJoined,
    SessionRenewed,
)

__all__ = [
    "MAX_JOIN_AGE_RECORDS",
    "Configuration",
    "EndedSession",
    "Session",
    "SessionEnd",
    "Sessions",
]

MAX_JOIN_AGE_RECORDS = 100_000

_ACCEPTED = Verdict(True)


@dataclass(frozen=True, slots=True)
class Session:
    """A live session.

    Attributes:
        session: Its id.
        vm: The VM it runs on.
        zone: The VM's availability zone.
        host: Mesh address.
        port: Mesh port.
        release: The daemon's version.
        joined: Offset of its join record.
        last_seen: Offset of its newest join or renewal record.
        acknowledged: Newest offset it has reported as folded.
    """

    session: SessionId
    vm: VmId
    zone: ZoneId
    host: str
    port: int
    release: str
    joined: Offset
    last_seen: Offset
    acknowledged: Offset


class SessionEnd(Enum):
    """How a session ended.

    ``LEFT`` and ``SUPERSEDED`` sessions answer no more heartbeats: the
    process of a superseded session has exited, since a newer session uses
    its address and port. A ``DEPOSED`` session may still be running
    without knowing that it has ended.
    """

    LEFT = "left"
    DEPOSED = "deposed"
    SUPERSEDED = "superseded"


@dataclass(frozen=True, slots=True)
class EndedSession:
    """A session after its end.

    Attributes:
        last: The session when it ended.
        ended: Offset of the record that ended it.
        cause: How it ended.
    """

    last: Session
    ended: Offset
    cause: SessionEnd


@dataclass(frozen=True, slots=True)
class Configuration:
    """The members of the cell from one offset on.

    Attributes:
        start: Offset of the record that changed the members.
        members: The live sessions.
    """

    start: Offset
    members: frozenset[SessionId]


class Sessions(FoldPart):
    """Live sessions, and the ended ones that still matter.

    A configuration stays open until the log shows that a majority of its
    members has folded the start of the next one. Only members of an open
    configuration can still grant a peer lease, so a takeover needs an
    acknowledgement from a majority of each open configuration.
    """

    def __init__(self) -> None:
        self._by_id: dict[SessionId, Session] = {}
        self._ended_by_id: dict[SessionId, EndedSession] = {}
        self._configurations: list[Configuration] = [
            Configuration(NO_OFFSET, frozenset())
        ]

    @property
    def by_id(self) -> Mapping[SessionId, Session]:
        """The live sessions."""
        return self._by_id

    @property
    def configurations(self) -> tuple[Configuration, ...]:
        """The open configurations, the current one last."""
        return tuple(self._configurations)

    def ended(self, session: SessionId) -> EndedSession | None:
        """Returns an ended session, None if it is not kept."""
        return self._ended_by_id.get(session)

    def is_live(self, session: SessionId) -> bool:
        """Returns whether a session has joined and not ended."""
        return session in self._by_id

    def vm_of(self, session: SessionId) -> VmId | None:
        """Returns the VM of a session that is live or kept after its end."""
        live = self._by_id.get(session)
        if live is not None:
            return live.vm
        ended = self._ended_by_id.get(session)
        return None if ended is None else ended.last.vm

    def join(
        self, offset: Offset, writer: SessionId, body: SessionJoined
    ) -> Verdict:
        """Applies a join record."""
        if writer in self._by_id:
            return Verdict(False, "session has joined already")
        if writer in self._ended_by_id:
            return Verdict(False, "session has ended")
        if offset - body.after > MAX_JOIN_AGE_RECORDS:
            return Verdict(False, "join is too old")
        self._supersede(offset, body)
        self._by_id[writer] = Session(
            session=writer,
            vm=body.vm,
            zone=body.zone,
            host=body.host,
            port=body.port,
            release=body.release,
            joined=offset,
            last_seen=offset,
            acknowledged=NO_OFFSET,
        )
        self._start_configuration(offset)
        return _ACCEPTED

    def renew(
        self, offset: Offset, writer: SessionId, body: SessionRenewed
    ) -> Verdict:
        """Applies a live session's renewal."""
        known = self._by_id[writer]
        self._by_id[writer] = replace(
            known,
            last_seen=offset,
            acknowledged=max(known.acknowledged, body.folded),
        )
        self._close_configurations()
        return _ACCEPTED

    def leave(self, offset: Offset, writer: SessionId) -> Verdict:
        """Applies a live session's leave record."""
        self._end(offset, writer, SessionEnd.LEFT)
        return _ACCEPTED

    def depose(
        self, offset: Offset, writer: SessionId, body: SessionDeposed
    ) -> Verdict:
        """Ends a session without renewals on behalf of a live one."""
        known = self._by_id.get(body.session)
        if known is None:
            return Verdict(False, "session is not live")
        if body.session == writer:
            return Verdict(False, "a session cannot depose itself")
        if known.last_seen != body.last_seen:
            return Verdict(False, "session has renewed since")
        self._end(offset, body.session, SessionEnd.DEPOSED)
        return _ACCEPTED

    def dump(self) -> object:
        """Returns the state as CBOR-encodable values."""
        return [
            [_session_row(session) for session in self._by_id.values()],
            [
                [_session_row(ended.last), ended.ended, ended.cause.value]
                for ended in self._ended_by_id.values()
            ],
            [[c.start, sorted(c.members)] for c in self._configurations],
        ]

    def load(self, state: object) -> None:
        """Replaces the state."""
        live, ended, configurations = cast(list[Any], state)
        self._by_id = {}
        for row in live:
            session = Session(*row)
            self._by_id[session.session] = session
        self._ended_by_id = {}
        for row, offset, cause in ended:
            last = Session(*row)
            self._ended_by_id[last.session] = EndedSession(
                last, offset, SessionEnd(cause)
            )
        self._configurations = [
            Configuration(start, frozenset(members))
            for start, members in configurations
        ]

    def _supersede(self, offset: Offset, body: SessionJoined) -> None:
        """Ends older sessions at the joining session's address."""
        for session in list(self._by_id.values()):
            if _precedes(session, body):
                self._move_to_ended(
                    offset, session.session, SessionEnd.SUPERSEDED
                )
        for name, ended in self._ended_by_id.items():
            if ended.cause is SessionEnd.DEPOSED and _precedes(
                ended.last, body
            ):
                self._ended_by_id[name] = replace(
                    ended, cause=SessionEnd.SUPERSEDED
                )

    def _end(
        self, offset: Offset, session: SessionId, cause: SessionEnd
    ) -> None:
        self._move_to_ended(offset, session, cause)
        self._start_configuration(offset)

    def _move_to_ended(
        self, offset: Offset, session: SessionId, cause: SessionEnd
    ) -> None:
        known = self._by_id.pop(session)
        self._ended_by_id[session] = EndedSession(known, offset, cause)

    def _start_configuration(self, offset: Offset) -> None:
        members = frozenset(self._by_id)
        self._configurations.append(Configuration(offset, members))
        self._close_configurations()
        self._prune_ended(offset)

    def _close_configurations(self) -> None:
        while len(self._configurations) > 1:
            oldest, successor = self._configurations[:2]
            if not self._majority_acknowledged(
                oldest.members, successor.start
            ):
                return
            del self._configurations[0]

    def _majority_acknowledged(
        self, members: Iterable[SessionId], offset: Offset
    ) -> bool:
        count = 0
        acknowledged_count = 0
        for session in members:
            count += 1
            if self._acknowledged(session, offset):
                acknowledged_count += 1
        return count == 0 or acknowledged_count > count // 2

    def _acknowledged(self, session: SessionId, offset: Offset) -> bool:
        live = self._by_id.get(session)
        if live is not None:
            return live.acknowledged >= offset
        ended = self._ended_by_id[session]
        if ended.cause is not SessionEnd.DEPOSED:
            return True
        return ended.last.acknowledged >= offset

    def _prune_ended(self, offset: Offset) -> None:
        needed: set[SessionId] = set()
        for configuration in self._configurations:
            needed |= configuration.members
        for session, ended in list(self._ended_by_id.items()):
            if offset - ended.ended <= MAX_JOIN_AGE_RECORDS:
                continue
            if session not in needed:
                del self._ended_by_id[session]


def _session_row(session: Session) -> list[object]:
    return [
        session.session,
        session.vm,
        session.zone,
        session.host,
        session.port,
        session.release,
        session.joined,
        session.last_seen,
        session.acknowledged,
    ]


def _precedes(session: Session, body: SessionJoined) -> bool:
    """Returns whether a joining session replaces one at its address."""
    if (session.vm, session.host, session.port) != (
        body.vm,
        body.host,
        body.port,
    ):
        return False
    return session.joined <= body.after
