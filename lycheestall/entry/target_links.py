"""Which targets a VM reaches over its own network links.

A VM can lose its links to some or all targets while the targets are well and
other VMs reach them. Silence or refused connections raise the suspicion; a
probe, which is a new connection, decides.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ..ids import TargetId

__all__ = [
    "MAX_PROBES_AT_ONCE",
    "LinkContact",
    "LinkState",
    "LinkSummary",
    "TargetLinks",
]

ALL_SILENT_S = 0.25
"""Silence of all targets, while several owe a response, after which their
links are probed."""

SILENT_S = 0.6
"""Silence of one target that owes a response after which its link is probed;
longer than the work of most requests."""

MIN_SILENT_TARGETS = 2
"""Targets that have to be silent together, so that one slow target isn't
taken for the loss of all links."""

PROBE_INTERVAL_S = 0.5
"""Seconds between probes of a lost link."""

CALM_PROBE_INTERVAL_S = 2.0
"""Seconds between probes of a link that works, to a target that is slow."""

ALL_LOST_TARGETS = 4
"""Links that have to be lost, while nothing is heard, before all count as
lost; fewer if there are fewer targets."""

LOST_VALID_S = 1.0
"""Seconds after a probe in which a link that it found lost counts as lost;
longer than the interval between probes of a link that is in use."""

DOWN_VALID_S = 1.0
"""Seconds in which a target that a peer did not reach either counts as down,
so that not every request for it asks peers."""

MAX_PROBES_AT_ONCE = 4
"""Probes started in one step, so that VMs whose links come back together
open few connections at once."""

WANTED_S = 5.0
"""Seconds after the last request for a target in which a lost link to it is
probed."""


class LinkState(Enum):
    """What is known of the link to one target.

    Attributes:
        UP: Nothing speaks against it.
        DOUBTFUL: It is being probed, since the target is silent.
        LOST: A connection could not be opened.
    """

    UP = "up"
    DOUBTFUL = "doubtful"
    LOST = "lost"


@dataclass(frozen=True, slots=True)
class LinkContact:
    """How long ago a VM has last heard from targets.

    Attributes:
        target_s: Seconds since anything came from the target in question;
            infinite if nothing has.
        any_s: Seconds since anything came from any target.
    """

    target_s: float
    any_s: float


@dataclass(frozen=True, slots=True)
class LinkSummary:
    """The links that don't work.

    Attributes:
        all_lost: Whether no target is reached.
        lost: Targets whose own link is lost while others work, sorted.
    """

    all_lost: bool = False
    lost: tuple[TargetId, ...] = ()


@dataclass(slots=True)
class _Link:
    """The link to one target.

    Attributes:
        state: Whether it works.
        heard_at: When anything was last heard over it.
        waiting: Requests that have been sent over it and are not complete.
        silent_since: Since when a response was due and nothing came; of no
            meaning unless a request is waiting.
        probed_at: When the last probe started.
        wanted_at: When a request last wanted to use it.
        down_until: Until when the target counts as down.
        refused: Whether it was lost by a connection that was refused;
            otherwise nothing was heard.
    """

    state: LinkState = LinkState.UP
    heard_at: float = float("-inf")
    waiting: int = 0
    silent_since: float = 0.0
    probed_at: float = float("-inf")
    wanted_at: float = float("-inf")
    down_until: float = float("-inf")
    refused: bool = False

    def silent_s(self, now: float) -> float:
        """Returns for how long a response has been due and nothing came."""
        return now - self.silent_since if self.waiting else 0.0


class TargetLinks:
    """Decides which links work and which are to be probed.

    It reads no clock and opens no connection: it is told what happens.
    """

    def __init__(self) -> None:
        self._by_target: dict[TargetId, _Link] = {}
        self._registered = 0
        self._any_heard_at = float("-inf")
        self._suspected_at = float("-inf")
        self._round_at = float("-inf")
        self.all_lost = False

    def is_up(self, target: TargetId, now: float) -> bool:
        """Returns whether requests are to be sent over the link.

        Links that no request has wanted are not probed, so what is known of
        a lost one becomes outdated.
        """
        if self.all_lost:
            return False
        link = self._by_target.get(target)
        if link is None or link.state is LinkState.UP:
            return True
        return now - link.probed_at > LOST_VALID_S

    def is_down(self, target: TargetId, now: float) -> bool:
        """Returns whether a peer has just not reached a target either."""
        link = self._by_target.get(target)
        if link is None or link.state is not LinkState.LOST:
            return False
        return now < link.down_until

    def contact(self, target: TargetId, now: float) -> LinkContact:
        """Returns how long ago the target and any target were heard."""
        link = self._by_target.get(target)
        heard_at = float("-inf") if link is None else link.heard_at
        return LinkContact(now - heard_at, now - self._any_heard_at)

    def summary(self, now: float) -> LinkSummary:
        """Returns the links that don't work."""
        if self.all_lost:
            return LinkSummary(all_lost=True)
        lost = [
            target
            for target, link in self._by_target.items()
            if link.state is LinkState.LOST
            and now - link.probed_at <= LOST_VALID_S
        ]
        if not lost:
            return LinkSummary()
        return LinkSummary(lost=tuple(sorted(lost)))

    def want(self, target: TargetId, now: float) -> None:
        """Notes that a request is for a target, whatever way it takes."""
        self._link(target).wanted_at = now

    def request_started(self, target: TargetId, now: float) -> None:
        """Notes that a request is sent over the link."""
        link = self._link(target)
        link.wanted_at = now
        if not link.waiting:
            link.silent_since = now
        link.waiting += 1

    def request_ended(self, target: TargetId) -> None:
        """Notes that such a request is complete or given up."""
        link = self._link(target)
        link.waiting = max(0, link.waiting - 1)

    def heard(self, target: TargetId, now: float) -> None:
        """Notes that a target has sent data."""
        link = self._link(target)
        link.heard_at = now
        link.silent_since = now
        self._any_heard_at = now
        if link.state is LinkState.DOUBTFUL:
            link.state = LinkState.UP

    def connected(self, target: TargetId, now: float) -> None:
        """Notes that a target has accepted a new connection."""
        self.heard(target, now)
        link = self._by_target[target]
        link.state = LinkState.UP
        link.refused = False
        self.all_lost = False

    def connect_failed(
        self, target: TargetId, now: float, *, refused: bool
    ) -> None:
        """Notes that a new connection to a target could not be opened.

        Args:
            target: The target.
            now: Current time.
            refused: Whether it was refused; otherwise nothing was heard.
        """
        link = self._link(target)
        link.state = LinkState.LOST
        link.refused = refused
        link.probed_at = now
        self._check_all_lost(now)

    def probe_failed(
        self, target: TargetId, now: float, *, refused: bool
    ) -> None:
        """Notes that a probe could not open a connection.

        Args:
            target: The target.
            now: Current time.
            refused: Whether the connection was refused; otherwise nothing
                was heard in time.
        """
        link = self._link(target)
        if not refused and link.heard_at >= link.probed_at:
            # It was heard meanwhile: it is only slow to accept connections.
            link.state = LinkState.UP
            return
        if not refused:
            self._suspected_at = link.probed_at
        link.state = LinkState.LOST
        link.refused = refused
        self._check_all_lost(now)

    def target_down(self, target: TargetId, now: float) -> None:
        """Notes that a peer doesn't reach a target either."""
        self._link(target).down_until = now + DOWN_VALID_S

    def is_silent(self, target: TargetId, now: float) -> bool:
        """Returns whether a lost link has been silent since its probe."""
        link = self._by_target.get(target)
        if link is None or link.refused or self.is_up(target, now):
            return False
        return link.heard_at < self._suspected_at

    def start_probes(
        self, registered: Collection[TargetId], now: float
    ) -> list[TargetId]:
        """Returns the targets whose links are to be probed from now on.

        Args:
            registered: All registered targets.
            now: Current time.
        """
        self._registered = len(registered)
        self._check_all_lost(now)
        if self.all_lost:
            if now - self._round_at < PROBE_INTERVAL_S:
                return []
            self._round_at = now
        all_silent = self._all_silent(now)
        due = [
            (link.probed_at, target)
            for target, link in self._by_target.items()
            if self._is_probe_due(link, now, all_silent)
        ]
        due.sort()
        targets = [target for _, target in due[:MAX_PROBES_AT_ONCE]]
        if all_silent or self._may_have_lost_all(now):
            targets += self._not_heard(registered, targets, now)
            del targets[MAX_PROBES_AT_ONCE:]
        for target in targets:
            link = self._link(target)
            link.probed_at = now
            if link.state is LinkState.UP:
                link.state = LinkState.DOUBTFUL
        return targets

    def keep_only(self, targets: Collection[TargetId]) -> None:
        """Forgets targets that are no longer registered."""
        for target in list(self._by_target):
            if target not in targets:
                self.forget(target)

    def forget(self, target: TargetId) -> None:
        """Forgets a target that is no longer registered."""
        self._by_target.pop(target, None)

    def _is_probe_due(self, link: _Link, now: float, all_silent: bool) -> bool:
        since_probe_s = now - link.probed_at
        if link.state is LinkState.DOUBTFUL:
            return False
        if self.all_lost:
            return since_probe_s >= PROBE_INTERVAL_S
        if link.state is LinkState.LOST:
            is_wanted = now - link.wanted_at < WANTED_S
            return is_wanted and since_probe_s >= PROBE_INTERVAL_S
        if self._follows_suspicion(link, now):
            return True
        if since_probe_s < CALM_PROBE_INTERVAL_S:
            return False
        if link.silent_s(now) >= SILENT_S:
            return True
        return all_silent and link.silent_s(now) >= ALL_SILENT_S

    def _follows_suspicion(self, link: _Link, now: float) -> bool:
        # Links are often lost together: those that were in use and have not
        # been heard since another one was found silent are probed next.
        if now - self._suspected_at > CALM_PROBE_INTERVAL_S:
            return False
        if now - link.wanted_at > CALM_PROBE_INTERVAL_S:
            return False
        return max(link.heard_at, link.probed_at) < self._suspected_at

    def _all_silent(self, now: float) -> bool:
        if now - self._any_heard_at < ALL_SILENT_S:
            return False
        silent = 0
        for link in self._by_target.values():
            silent += link.silent_s(now) >= ALL_SILENT_S
        return silent >= MIN_SILENT_TARGETS

    def _may_have_lost_all(self, now: float) -> bool:
        if self.all_lost or now - self._any_heard_at < ALL_SILENT_S:
            return False
        return self._count_lost(now) >= MIN_SILENT_TARGETS

    def _not_heard(
        self,
        registered: Collection[TargetId],
        probed: Collection[TargetId],
        now: float,
    ) -> list[TargetId]:
        # Other targets tell the loss of all links from that of some.
        candidates: list[tuple[float, TargetId]] = []
        for target in registered:
            link = self._by_target.get(target, _Link())
            if target in probed or link.state is not LinkState.UP:
                continue
            if now - link.heard_at < ALL_SILENT_S:
                continue
            if now - link.probed_at < PROBE_INTERVAL_S:
                continue
            candidates.append((-link.heard_at, target))
        return [target for _, target in sorted(candidates)]

    def _check_all_lost(self, now: float) -> None:
        if self.all_lost or now - self._any_heard_at < ALL_SILENT_S:
            return
        needed = min(ALL_LOST_TARGETS, self._registered)
        if self._count_lost(now) >= needed > 0:
            self.all_lost = True

    def _count_lost(self, now: float) -> int:
        lost = 0
        for link in self._by_target.values():
            is_recent = now - link.probed_at < LOST_VALID_S
            lost += is_recent and link.state is LinkState.LOST
        return lost

    def _link(self, target: TargetId) -> _Link:
        return self._by_target.setdefault(target, _Link())
