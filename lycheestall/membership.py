"""What one session knows of the other members of its cell."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .ids import Offset, SessionId, VmId
from .platform_services import VmListing, VmState
from .records import NO_OFFSET, SessionDeposed
from .sessions import Session, SessionEnd, Sessions

__all__ = ["Membership"]

NEVER = float("-inf")
RESPONSIVE_S = 2.0
DEPOSE_RANK_DELAY_S = 0.5
ABSENT_LIMIT_S = 30.0


@dataclass(slots=True)
class _Peer:
    """What is known of one session, beside the log's state."""

    renewal_read_at: float = NEVER
    heard_at: float = NEVER
    acknowledged: Offset = NO_OFFSET
    draining: bool = False


@dataclass(slots=True)
class _ListedVm:
    """What the platform's list has said of one VM."""

    shown: bool = False
    leaving: bool = False
    absent_since: float | None = None
    dropped: bool = False


class Membership:
    """Judges members by renewals, heartbeats and the VM list.

    Args:
        session: The judging session.
        vm: Its VM.
        lease_s: How long a renewal is good for.
        lease_margin_s: What is waited on top.
    """

    def __init__(
        self,
        session: SessionId,
        vm: VmId,
        *,
        lease_s: float,
        lease_margin_s: float,
    ) -> None:
        self._session = session
        self._vm = vm
        self._lease_s = lease_s
        self._silence_s = lease_s + lease_margin_s
        self._peer_by_session: dict[SessionId, _Peer] = {}
        self._listed_by_vm: dict[VmId, _ListedVm] = {}
        self._list_version = -1

    def renewal_read(self, session: SessionId, now: float) -> None:
        """Takes a join or renewal that was read from the log."""
        self._peer(session).renewal_read_at = now

    def heard(
        self,
        session: SessionId,
        newest: Offset,
        now: float,
        *,
        draining: bool | None = None,
    ) -> None:
        """Takes a heartbeat or a reply.

        Args:
            session: Who sent it.
            newest: The newest offset of the cell's stream it knows of.
            now: Monotonic time in seconds.
            draining: Whether it is shutting down, if it said so.
        """
        peer = self._peer(session)
        peer.heard_at = now
        peer.acknowledged = max(peer.acknowledged, newest)
        if draining is not None:
            peer.draining = draining

    def listed(self, listing: VmListing, now: float) -> None:
        """Takes a snapshot of the platform's VM list."""
        if listing.version <= self._list_version:
            return
        self._list_version = listing.version
        shown = {entry.vm: entry for entry in listing.entries}
        for vm, entry in shown.items():
            listed = self._listed(vm)
            listed.shown = True
            listed.leaving = entry.state is VmState.LEAVING
            listed.absent_since = None
            listed.dropped = False
        own_shown = self._vm in shown
        for vm, listed in self._listed_by_vm.items():
            if vm not in shown:
                self._absent(listed, now, own_shown)

    def forget(self, sessions: Sessions) -> None:
        """Drops what is kept of sessions that matter no more."""
        kept: set[SessionId] = set()
        for configuration in sessions.configurations:
            kept |= configuration.members
        for session in list(self._peer_by_session):
            if session not in kept:
                del self._peer_by_session[session]

    def leaving(self, vm: VmId) -> bool:
        """Returns whether the list says that a VM is leaving or gone."""
        listed = self._listed_by_vm.get(vm)
        return listed is not None and (listed.leaving or listed.dropped)

    def dropped(self, vm: VmId) -> bool:
        """Returns whether the list has dropped a VM."""
        listed = self._listed_by_vm.get(vm)
        return listed is not None and listed.dropped

    def responsive(self, session: SessionId, now: float) -> bool:
        """Returns whether a session was heard from just now."""
        if session == self._session:
            return True
        peer = self._peer_by_session.get(session)
        return peer is not None and now - peer.heard_at < RESPONSIVE_S

    def relays(self, sessions: Sessions, now: float) -> list[VmId]:
        """Returns the VMs that may append for others just now."""
        return [
            session.vm
            for session in self.candidates(sessions)
            if self.responsive(session.session, now)
        ]

    def candidates(self, sessions: Sessions) -> list[Session]:
        """Returns the live sessions that may own partitions."""
        found: list[Session] = []
        for session in sessions.by_id.values():
            if self.leaving(session.vm):
                continue
            peer = self._peer_by_session.get(session.session)
            if peer is not None and peer.draining:
                continue
            found.append(session)
        return found

    def silent(
        self, sessions: Sessions, now: float, log_back_at: float
    ) -> list[SessionDeposed]:
        """Returns the records that depose members gone silent.

        A member that answers no heartbeat is deposed once its lease has
        run out, one that does a margin later. Safety doesn't depend on
        it: the successor waits out the lease anyway.
        Members take turns: each waits longer by its rank, so that one
        record is written and not one per member.

        Args:
            sessions: The folded sessions.
            now: Monotonic time in seconds.
            log_back_at: When the log last came back after not having
                answered; no one could renew before that.
        """
        overdue_s: dict[SessionId, float] = {}
        for session in sessions.by_id.values():
            if session.session == self._session:
                continue
            quiet_s = self._quiet_s(session, now, log_back_at)
            late_s = quiet_s - self._patience_s(session.session, now)
            if late_s > 0.0:
                overdue_s[session.session] = late_s
        judges = [name for name in sessions.by_id if name not in overdue_s]
        deposed: list[SessionDeposed] = []
        for name, late_s in overdue_s.items():
            session = sessions.by_id[name]
            if late_s > DEPOSE_RANK_DELAY_S * self._rank(session, judges):
                deposed.append(SessionDeposed(name, session.last_seen))
        return deposed

    def _patience_s(self, session: SessionId, now: float) -> float:
        if self.responsive(session, now):
            return self._silence_s
        return min(self._lease_s, self._silence_s)

    def majority_knows(self, sessions: Sessions, offset: Offset) -> bool:
        """Returns whether no stale majority can back a lease any more.

        True when, of each configuration that is still open, a majority
        has said to know of ``offset`` or a newer one. Members whose VM
        the platform has dropped don't count.

        Args:
            sessions: The folded sessions.
            offset: A record of the cell's stream.
        """
        for configuration in sessions.configurations:
            if configuration.start > offset:
                continue
            if not self._knows(sessions, configuration.members, offset):
                return False
        return True

    def _knows(
        self,
        sessions: Sessions,
        members: Iterable[SessionId],
        offset: Offset,
    ) -> bool:
        count = 0
        knowing = 0
        for member in members:
            vm = sessions.vm_of(member)
            if vm is not None and self.dropped(vm):
                continue
            count += 1
            if self._acknowledged(sessions, member, offset):
                knowing += 1
        return count == 0 or knowing > count // 2

    def _acknowledged(
        self, sessions: Sessions, member: SessionId, offset: Offset
    ) -> bool:
        if member == self._session:
            return True
        ended = sessions.ended(member)
        if ended is not None and ended.how is not SessionEnd.DEPOSED:
            return True
        peer = self._peer_by_session.get(member)
        return peer is not None and peer.acknowledged >= offset

    def _quiet_s(
        self, session: Session, now: float, log_back_at: float
    ) -> float:
        peer = self._peer(session.session)
        if peer.renewal_read_at == NEVER:
            peer.renewal_read_at = now
        return now - max(peer.renewal_read_at, log_back_at)

    def _rank(self, session: Session, judges: list[SessionId]) -> int:
        def weight(judge: SessionId) -> int:
            name = f"{judge}:{session.session}"
            return xxhash.xxh3_64_intdigest(name.encode())

        ranked = sorted(judges, key=weight)
        if self._session not in ranked:
            return len(ranked)
        return ranked.index(self._session)

    def _absent(self, listed: _ListedVm, now: float, own_shown: bool) -> None:
        if listed.shown:
            listed.dropped = True
            return
        if not own_shown:
            return
        if listed.absent_since is None:
            listed.absent_since = now
        if now - listed.absent_since >= ABSENT_LIMIT_S:
            listed.dropped = True

    def expect_listed(self, vm: VmId) -> None:
        """Takes note of a member's VM, shown by the list or not."""
        self._listed(vm)

    def _listed(self, vm: VmId) -> _ListedVm:
        return self._listed_by_vm.setdefault(vm, _ListedVm())

    def _peer(self, session: SessionId) -> _Peer:
        return self._peer_by_session.setdefault(session, _Peer())
