"""Which engines a job may go to now, and the best of them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ._scheduled_jobs import ScheduledJob, ScheduledJobs
from ._scheduler_parts import SchedulerParts
from .dispatch import ChatJob
from .engine_directory import EngineEntry
from .ids import AccountId, TargetId
from .outcomes import Reason, Refused, Step
from .placement import Choice
from .rules.rule_book import LimitKind, RuleBook, RuleLine

__all__ = ["EngineChoice"]

NO_TARGET_RETRY_S = 2.0
ALONE_RETRY_S = 10.0
HOLD_S = 120.0
WARM_EXTRA = 4.0
HEAVY_ROOM_SHARE = 0.7
ROOM_SHARE = 0.85
LIGHT_ROOM_SHARE = 0.95
LIGHT_USE = 0.5
ACTIVE_S = 60.0
LEAD_S = 10.0
AHEAD_SLOT_SHARE = 0.9


class EngineChoice:
    """Applies rules, limits, health and quarantine to the engines."""

    def __init__(
        self,
        parts: SchedulerParts,
        *,
        rules: Callable[[], RuleBook],
        wall_ms: Callable[[], int],
        cell_size: Callable[[], int],
    ) -> None:
        """Starts without engines.

        Args:
            parts: The VM's estimates and limits.
            rules: The rules in force.
            wall_ms: Wall-clock time, for rules with time windows.
            cell_size: VMs that share the engines.
        """
        self._parts = parts
        self._rules = rules
        self._wall_ms = wall_ms
        self._cell_size = cell_size
        self._entry_by_target: dict[TargetId, EngineEntry] = {}
        self._blocked_tokens: int | None = None
        self._blocked_use = 0.0
        self._weight_by_account: dict[AccountId, tuple[float, float]] = {}

    def set_engines(self, entries: Iterable[EngineEntry], now: float) -> None:
        """Takes the engines; new and returning ones start slowly."""
        before = self._entry_by_target
        self._entry_by_target = {entry.target: entry for entry in entries}
        if not before:
            return
        for target, entry in self._entry_by_target.items():
            known = before.get(target)
            returned = known is not None and known.leaving
            if known is None or (returned and not entry.leaving):
                self._parts.admission.limit(target).start_slowly(now)

    def own_slots(self) -> float:
        """Returns this VM's part of what all engines can run at once."""
        live = [t for t, e in self._entry_by_target.items() if not e.leaving]
        total = sum(self._parts.load.slots(target) for target in live)
        return total / max(self._cell_size(), 1)

    def warm_s(self, job: ChatJob) -> float:
        """Returns the prefill time that the warmest engine would save."""
        return self._parts.placement.warm_s(job, self._entry_by_target)

    def refusal(self, job: ChatJob, now: float) -> Refused | None:
        """Returns why no engine can take a job, None when one may."""
        live = self._live(job)
        if not live:
            return Refused(
                Step.PLACE,
                Reason.NO_TARGET,
                retry_after_s=NO_TARGET_RETRY_S,
                detail=f"no live engine serves model {job.model!r}",
            )
        line: RuleLine | None = None
        for target in live:
            line = self._left_alone(target)
            if line is None:
                return None
        assert line is not None
        return Refused(
            Step.PLACE,
            Reason.TARGET_ALONE,
            retry_after_s=ALONE_RETRY_S,
            rule=f"rules:{line.number}",
            detail="a rule keeps work from every engine",
        )

    def choose(
        self, job: ScheduledJob, jobs: ScheduledJobs, now: float
    ) -> Choice | None:
        """Returns the engine a job goes to now, None when it waits."""
        if self._account_full(job.job.account, jobs):
            return None
        targets = self._with_room(job, self._usable(job, now), now)
        open_targets = [t for t in targets if not self._full(job, t, now)]
        if not open_targets:
            return None
        placement = self._parts.placement
        best = placement.choose(job.key, job.job, targets)
        if best is None or best.target in open_targets:
            return best
        second = placement.choose(job.key, job.job, open_targets)
        if second is None:
            return None
        own = self._parts.load.own(best.target)
        slot_s = self._parts.service.stay_s() / max(own, 1)
        if second.cost_s - best.cost_s <= slot_s:
            return second
        return None

    def begin_poll(self) -> None:
        """Forgets which cold jobs found no room in the last poll."""
        self._blocked_tokens = None
        self._blocked_use = 0.0

    def _with_room(
        self, job: ScheduledJob, targets: list[TargetId], now: float
    ) -> list[TargetId]:
        """Keeps a program that is cached nowhere from evicting others.

        Once a cold job has found no room, no larger one and none of an
        account that holds more memory for its weight may overtake it.
        """
        placement = self._parts.placement
        if now - job.submitted_s > HOLD_S:
            return targets
        if placement.warm_s(job.job, targets):
            return targets
        use = self._memory_use(job.job, now)
        tokens = job.job.prompt_tokens
        if self._blocked_tokens is not None and (
            tokens >= self._blocked_tokens or use > self._blocked_use
        ):
            return []
        part = _room_share(use, self._mean_memory_use(now))
        roomy = [
            target
            for target in targets
            if placement.has_room(job.key, job.job, target, share=part)
        ]
        if not roomy:
            self._blocked_tokens = tokens
            self._blocked_use = use
        return roomy

    def _memory_use(self, job: ChatJob, now: float) -> float:
        """Returns the memory an account's programs hold, by weight."""
        share = self._rules().share(job.account, job.program_class)
        self._weight_by_account[job.account] = (share.weight, now)
        held = self._parts.cache.account_tokens(job.account)
        return held / share.weight

    def _mean_memory_use(self, now: float) -> float:
        """Returns the memory use by weight over the active accounts."""
        held, weights = 0.0, 0.0
        for account, (weight, seen_s) in self._weight_by_account.items():
            if now - seen_s > ACTIVE_S:
                continue
            held += self._parts.cache.account_tokens(account)
            weights += weight
        return held / weights if weights else 0.0

    def _live(self, job: ChatJob) -> list[TargetId]:
        return [
            target
            for target, entry in self._entry_by_target.items()
            if not entry.leaving and entry.serves(job.model)
        ]

    def _usable(self, job: ScheduledJob, now: float) -> list[TargetId]:
        live = self._live(job.job)
        usable = self._parts.ejection.usable(live, now)
        usable = [t for t in usable if self._left_alone(t) is None]
        fingerprint = job.job.fingerprint
        if self._parts.quarantine.suspects(fingerprint):
            may_run = self._parts.quarantine.may_run
            usable = [t for t in usable if may_run(fingerprint, t)]
        fresh = [t for t in usable if t not in job.tried]
        return fresh or usable

    def _full(self, job: ScheduledJob, target: TargetId, now: float) -> bool:
        load = self._parts.load
        own = load.own(target)
        wall_s = self._wall_ms() / 1000.0
        if self._parts.queue.lead_s(job.job.account, wall_s) > LEAD_S:
            # An idle engine serves anybody, however small its batch is.
            most = max(AHEAD_SLOT_SHARE * load.slots(target), 1.0)
            if load.requests(target) + 1.0 > most:
                return True
        limit = self._parts.admission.limit(target).at(now)
        if self._parts.placement.cached_tokens(job.job, target):
            limit += WARM_EXTRA
        entry = self._entry_by_target[target]
        rule = self._rules().target(target, entry.group)
        if rule.concurrency is not None:
            part = max(rule.concurrency // max(self._cell_size(), 1), 1)
            limit = min(limit, part)
        return own + 1 > limit

    def _left_alone(self, target: TargetId) -> RuleLine | None:
        load = self._parts.load
        return self._rules().left_alone(
            target,
            self._entry_by_target[target].group,
            at_ms=self._wall_ms(),
            load=min(load.requests(target) / load.slots(target), 1.0),
            error_share=self._parts.ejection.error_share(target),
        )

    def _account_full(self, account: AccountId, jobs: ScheduledJobs) -> bool:
        for limit in self._rules().account_limits(account):
            if limit.kind is not LimitKind.CONCURRENCY:
                continue
            part = max(limit.amount // max(self._cell_size(), 1), 1)
            if jobs.running(account) >= part:
                return True
        return False


def _room_share(use: float, mean: float) -> float:
    """Returns how much of an engine's memory an account may fill.

    Args:
        use: Memory its programs hold, by weight.
        mean: The mean of the active accounts.
    """
    if use > mean:
        return HEAVY_ROOM_SHARE
    if use > LIGHT_USE * mean:
        return ROOM_SHARE
    return LIGHT_ROOM_SHARE
