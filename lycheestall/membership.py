"""Liveness of a cell's members, as one session observes it."""

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
HEARTBEAT_TIMEOUT_S = 2.0
DEPOSE_RANK_DELAY_S = 0.5
MAX_UNLISTED_S = 30.0


@dataclass(slots=True)
class _Peer:
    """What is known of one session besides the folded state."""

    renewal_read_at: float = NEVER
    last_heartbeat_at: float = NEVER
    acknowledged: Offset = NO_OFFSET
    draining: bool = False


@dataclass(slots=True)
class _ListedVm:
    """What the platform's VM list has shown of one VM."""

    ever_listed: bool = False
    leaving: bool = False
    unlisted_since: float | None = None
    dropped: bool = False


class Membership:
    """Tracks members by renewals, heartbeats and the VM list.

    Args:
        session: This session.
        vm: Its VM.
        lease_s: How long a lease lasts.
        lease_margin_s: Extra wait before a member that answers
            heartbeats is deposed.
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
        self._renewal_limit_s = lease_s + lease_margin_s
        self._peer_by_session: dict[SessionId, _Peer] = {}
        self._listed_by_vm: dict[VmId, _ListedVm] = {}
        self._list_version = -1

    def on_renewal_read(self, session: SessionId, now: float) -> None:
        """Records when a join or renewal was read from the log."""
        self._peer(session).renewal_read_at = now

    def on_heartbeat(
        self,
        session: SessionId,
        newest: Offset,
        now: float,
        *,
        draining: bool | None = None,
    ) -> None:
        """Records a heartbeat or a heartbeat reply.

        Args:
            session: The sender.
            newest: The newest offset of the cell's stream it knows of.
            now: Monotonic time in seconds.
            draining: Whether the sender is shutting down, None if unknown.
        """
        peer = self._peer(session)
        peer.last_heartbeat_at = now
        peer.acknowledged = max(peer.acknowledged, newest)
        if draining is not None:
            peer.draining = draining

    def on_listing(self, listing: VmListing, now: float) -> None:
        """Updates the listed VMs from a snapshot of the VM list."""
        if listing.version <= self._list_version:
            return
        self._list_version = listing.version
        entry_by_vm = {entry.vm: entry for entry in listing.entries}
        for vm, entry in entry_by_vm.items():
            listed = self._listed(vm)
            listed.ever_listed = True
            listed.leaving = entry.state is VmState.LEAVING
            listed.unlisted_since = None
            listed.dropped = False
        own_vm_listed = self._vm in entry_by_vm
        for vm, listed in self._listed_by_vm.items():
            if vm not in entry_by_vm:
                self._mark_unlisted(listed, now, own_vm_listed)

    def prune(self, sessions: Sessions) -> None:
        """Drops the state of sessions that are in no open configuration."""
        kept: set[SessionId] = set()
        for configuration in sessions.configurations:
            kept |= configuration.members
        for session in list(self._peer_by_session):
            if session not in kept:
                del self._peer_by_session[session]

    def is_leaving(self, vm: VmId) -> bool:
        """Returns whether the VM list shows a VM as leaving or dropped it."""
        listed = self._listed_by_vm.get(vm)
        return listed is not None and (listed.leaving or listed.dropped)

    def is_dropped(self, vm: VmId) -> bool:
        """Returns whether the VM list has dropped a VM."""
        listed = self._listed_by_vm.get(vm)
        return listed is not None and listed.dropped

    def is_responsive(self, session: SessionId, now: float) -> bool:
        """Returns whether a session sent a heartbeat or reply recently."""
        if session == self._session:
            return True
        peer = self._peer_by_session.get(session)
        return (
            peer is not None
            and now - peer.last_heartbeat_at < HEARTBEAT_TIMEOUT_S
        )

    def relay_candidates(self, sessions: Sessions, now: float) -> list[VmId]:
        """Returns the VMs that may append on behalf of others."""
        return [
            session.vm
            for session in self.candidates(sessions)
            if self.is_responsive(session.session, now)
        ]

    def candidates(self, sessions: Sessions) -> list[Session]:
        """Returns the live sessions that may own partitions."""
        found: list[Session] = []
        for session in sessions.by_id.values():
            if self.is_leaving(session.vm):
                continue
            peer = self._peer_by_session.get(session.session)
            if peer is not None and peer.draining:
                continue
            found.append(session)
        return found

    def due_deposals(
        self, sessions: Sessions, now: float, log_recovered_at: float
    ) -> list[SessionDeposed]:
        """Returns the records that depose members without renewals.

        A member that doesn't answer heartbeats is deposed once its lease
        has expired, one that does a margin later. Safety doesn't depend
        on this: the successor waits until the lease has expired anyway.
        Each member waits longer by its rank, so that usually only one of
        them writes the record.

        Args:
            sessions: The folded sessions.
            now: Monotonic time in seconds.
            log_recovered_at: When the log last recovered from an outage; no
                member could renew before that.
        """
        overdue_s: dict[SessionId, float] = {}
        for session in sessions.by_id.values():
            if session.session == self._session:
                continue
            silent_for_s = self._silent_for_s(session, now, log_recovered_at)
            overdue_by_s = silent_for_s - self._silence_limit_s(
                session.session, now
            )
            if overdue_by_s > 0.0:
                overdue_s[session.session] = overdue_by_s
        deposers = [name for name in sessions.by_id if name not in overdue_s]
        deposed: list[SessionDeposed] = []
        for name, overdue_by_s in overdue_s.items():
            session = sessions.by_id[name]
            if overdue_by_s > DEPOSE_RANK_DELAY_S * self._rank(
                session, deposers
            ):
                deposed.append(SessionDeposed(name, session.last_seen))
        return deposed

    def _silence_limit_s(self, session: SessionId, now: float) -> float:
        if self.is_responsive(session, now):
            return self._renewal_limit_s
        return min(self._lease_s, self._renewal_limit_s)

    def majority_acknowledged(
        self, sessions: Sessions, offset: Offset
    ) -> bool:
        """Returns whether no outdated majority can grant a peer lease.

        True when, in each open configuration, a majority of the members
        has reported to know of ``offset`` or a newer one. Members whose
        VM was dropped from the VM list don't count.

        Args:
            sessions: The folded sessions.
            offset: A record of the cell's stream.
        """
        for configuration in sessions.configurations:
            if configuration.start > offset:
                continue
            if not self._configuration_acknowledged(
                sessions, configuration.members, offset
            ):
                return False
        return True

    def _configuration_acknowledged(
        self,
        sessions: Sessions,
        members: Iterable[SessionId],
        offset: Offset,
    ) -> bool:
        count = 0
        acknowledged_count = 0
        for member in members:
            vm = sessions.vm_of(member)
            if vm is not None and self.is_dropped(vm):
                continue
            count += 1
            if self._acknowledged(sessions, member, offset):
                acknowledged_count += 1
        return count == 0 or acknowledged_count > count // 2

    def _acknowledged(
        self, sessions: Sessions, member: SessionId, offset: Offset
    ) -> bool:
        if member == self._session:
            return True
        ended = sessions.ended(member)
        if ended is not None and ended.cause is not SessionEnd.DEPOSED:
            return True
        peer = self._peer_by_session.get(member)
        return peer is not None and peer.acknowledged >= offset

    def _silent_for_s(
        self, session: Session, now: float, log_recovered_at: float
    ) -> float:
        peer = self._peer(session.session)
        if peer.renewal_read_at == NEVER:
            peer.renewal_read_at = now
        return now - max(peer.renewal_read_at, log_recovered_at)

    def _rank(self, session: Session, deposers: list[SessionId]) -> int:
        def weight(deposer: SessionId) -> int:
            name = f"{deposer}:{session.session}"
            return xxhash.xxh3_64_intdigest(name.encode())

        ranked = sorted(deposers, key=weight)
        if self._session not in ranked:
            return len(ranked)
        return ranked.index(self._session)

    def _mark_unlisted(
        self, listed: _ListedVm, now: float, own_vm_listed: bool
    ) -> None:
        if listed.ever_listed:
            listed.dropped = True
            return
        if not own_vm_listed:
            return
        if listed.unlisted_since is None:
            listed.unlisted_since = now
        if now - listed.unlisted_since >= MAX_UNLISTED_S:
            listed.dropped = True

    def track_vm(self, vm: VmId) -> None:
        """Tracks a member's VM, whether the VM list shows it or not."""
        self._listed(vm)

    def _listed(self, vm: VmId) -> _ListedVm:
        return self._listed_by_vm.setdefault(vm, _ListedVm())

    def _peer(self, session: SessionId) -> _Peer:
        return self._peer_by_session.setdefault(session, _Peer())
