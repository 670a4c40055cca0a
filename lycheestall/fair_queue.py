"""Orders queued jobs by weighted fair queuing and attained service.

Each job gets a rank when it is queued: the account's priority and a due
time on the wall clock. The lowest rank is served first. A job's due time
is fixed while those of new jobs advance with the clock, so no job starves.
Ranks of different VMs are comparable, so engines can order by them too.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterator
from dataclasses import dataclass

from .dispatch import ChatJob
from .dispatch_commands import JobKey
from .ids import AccountId, ProgramId
from .rules.rule_set import ShareRule

__all__ = ["FairQueue", "Rank"]

ATTAINED_WEIGHT = 1.0
MAX_ATTAINED_S = 60.0  # longest delay of a program for past service
MAX_LEAD_S = 60.0  # latest due time of a job, from now
CACHED_PREFILL_WEIGHT = 1.0
ACCOUNT_ACTIVE_S = 30.0


@dataclass(frozen=True, slots=True, order=True)
class Rank:
    """A job's position in the queue; lower ranks are served first.

    Attributes:
        priority: The account's strict priority.
        due_s: Wall-clock time at which the job is due.
    """

    priority: int
    due_s: float

    def engine_priority(self) -> int:
        """Returns the rank as an engine's priority number."""
        return self.priority * ENGINE_PRIORITY_STEP + int(self.due_s * 10)


ENGINE_PRIORITY_STEP = 10**12


@dataclass(slots=True)
class _Account:
    due_s: float = 0.0
    last_active_s: float = 0.0
    weight: float = 1.0


class FairQueue:
    """The queue of one VM's jobs."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._order: list[tuple[Rank, JobKey]] = []
        self._rank_by_key: dict[JobKey, Rank] = {}
        self._account_by_id: dict[AccountId, _Account] = {}
        self._attained_by_root: dict[ProgramId, float] = {}

    def __len__(self) -> int:
        return len(self._order)

    def __iter__(self) -> Iterator[JobKey]:
        """Iterates over a snapshot of the jobs in order."""
        return iter([key for _, key in self._order])

    def rank(
        self,
        job: ChatJob,
        share: ShareRule,
        *,
        service_s: float,
        cached_prefill_s: float,
        slots: float,
        wall_s: float,
    ) -> Rank:
        """Returns a new job's rank and charges its account.

        Args:
            job: The job.
            share: Its account's weight and priority.
            service_s: Its expected run time.
            cached_prefill_s: Prefill time that a cached prefix would
                save now.
            slots: This VM's share of all engines' batch slots.
            wall_s: Wall-clock time in seconds.
        """
        account = self._account_by_id.setdefault(job.account, _Account())
        account.weight = share.weight
        account.last_active_s = wall_s
        rate = max(slots * self._active_share(account, wall_s), 1e-6)
        due_s = min(max(account.due_s, wall_s), wall_s + MAX_LEAD_S)
        account.due_s = due_s + service_s / rate
        attained = self._attained_by_root.get(job.root, 0.0)
        attained_delay_s = min(ATTAINED_WEIGHT * attained, MAX_ATTAINED_S)
        rank_due_s = (
            due_s + attained_delay_s - CACHED_PREFILL_WEIGHT * cached_prefill_s
        )
        return Rank(share.priority, rank_due_s)

    def lead_s(self, account: AccountId, wall_s: float) -> float:
        """Returns how far an account is ahead of its fair share."""
        known = self._account_by_id.get(account)
        return max(known.due_s - wall_s, 0.0) if known is not None else 0.0

    def push(self, key: JobKey, rank: Rank) -> None:
        """Adds a job."""
        self._rank_by_key[key] = rank
        insort(self._order, (rank, key))

    def remove(self, key: JobKey) -> Rank:
        """Removes a job and returns its rank."""
        rank = self._rank_by_key.pop(key)
        self._order.remove((rank, key))
        return rank

    def attained_service_s(self, root: ProgramId) -> float:
        """Returns the service time of a program and its sub-agents."""
        return self._attained_by_root.get(root, 0.0)

    def charge(self, root: ProgramId, service_s: float) -> None:
        """Adds service time of a program or one of its sub-agents."""
        attained = self._attained_by_root.get(root, 0.0)
        self._attained_by_root[root] = attained + service_s

    def forget(self, root: ProgramId) -> None:
        """Removes a program that has ended."""
        self._attained_by_root.pop(root, None)

    def _active_share(self, account: _Account, wall_s: float) -> float:
        total = 0.0
        for other in self._account_by_id.values():
            if wall_s - other.last_active_s <= ACCOUNT_ACTIVE_S:
                total += other.weight
        return account.weight / max(total, account.weight)
