"""Selects an engine for a job by rules, limits, health and cost."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from ._scheduled_jobs import ScheduledJob, ScheduledJobs
from ._scheduler_state import SchedulerState
from .dispatch import ChatJob
from .engine_directory import EngineEntry
from .ids import AccountId, TargetId
from .outcomes import Reason, Refused, Step
from .placement import Candidate
from .rules.rule_set import LimitKind, RuleLine, RuleSet

__all__ = ["EngineSelector"]

NO_TARGET_RETRY_S = 2.0
EXCLUDED_RETRY_S = 10.0
MAX_COLD_WAIT_S = 120.0  # then a job may evict others' prefixes
WARM_EXTRA_CALLS = 4.0  # above the limit, where the prefix is cached
HIGH_USE_FILL_SHARE = 0.7
FILL_SHARE = 0.85
LOW_USE_FILL_SHARE = 0.95
LOW_USE_SHARE = 0.5  # of the mean memory use by weight
ACCOUNT_ACTIVE_S = 60.0
MAX_LEAD_S = 10.0  # before an account is kept from the last slots
LEAD_SLOT_SHARE = 0.9


class EngineSelector:
    """Filters the engines for a job and picks the cheapest."""

    def __init__(
        self,
        state: SchedulerState,
        *,
        rules: Callable[[], RuleSet],
        wall_ms: Callable[[], int],
        cell_size: Callable[[], int],
    ) -> None:
        """Creates a selector without engines.

        Args:
            state: The VM's estimates and limits.
            rules: Returns the rules in force.
            wall_ms: Returns wall-clock time in milliseconds since 1970,
                for rules with time windows.
            cell_size: Returns the number of VMs that share the engines.
        """
        self._state = state
        self._rules = rules
        self._wall_ms = wall_ms
        self._cell_size = cell_size
        self._entry_by_target: dict[TargetId, EngineEntry] = {}
        self._blocked_prompt_tokens: int | None = None
        self._blocked_use = 0.0
        self._weight_by_account: dict[AccountId, tuple[float, float]] = {}

    def set_engines(self, entries: Iterable[EngineEntry], now: float) -> None:
        """Replaces the engines; new and returning ones get a slow start."""
        before = self._entry_by_target
        self._entry_by_target = {entry.target: entry for entry in entries}
        if not before:
            return
        for target, entry in self._entry_by_target.items():
            known = before.get(target)
            returned = known is not None and known.leaving
            if known is None or (returned and not entry.leaving):
                self._state.overload.limit(target).begin_slow_start(now)

    def vm_slots(self) -> float:
        """Returns this VM's share of all engines' batch slots."""
        live = [t for t, e in self._entry_by_target.items() if not e.leaving]
        total = sum(self._state.load.batch_slots(target) for target in live)
        return total / max(self._cell_size(), 1)

    def cached_prefill_s(self, job: ChatJob) -> float:
        """Returns the prefill time that the best cache hit would save."""
        return self._state.placement.cached_prefill_s(
            job, self._entry_by_target
        )

    def refusal(self, job: ChatJob, now: float) -> Refused | None:
        """Returns the refusal if no engine may run a job, else None."""
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
            line = self._exclusion_rule(target)
            if line is None:
                return None
        assert line is not None
        return Refused(
            Step.PLACE,
            Reason.TARGET_ALONE,
            retry_after_s=EXCLUDED_RETRY_S,
            rule=f"rules:{line.number}",
            detail="a rule keeps work from every engine",
        )

    def choose(
        self, job: ScheduledJob, jobs: ScheduledJobs, now: float
    ) -> Candidate | None:
        """Returns the engine to send a job to now, None to keep it queued.

        If the cheapest engine is at its limit, the job goes to the second
        best only when that costs less than the time until a call of this
        VM is expected to leave the cheapest one.
        """
        if self._account_at_limit(job.job.account, jobs):
            return None
        targets = self._with_free_memory(job, self._usable(job, now), now)
        available = [t for t in targets if not self._at_limit(job, t, now)]
        if not available:
            return None
        placement = self._state.placement
        best = placement.choose(job.key, job.job, targets)
        if best is None or best.target in available:
            return best
        second = placement.choose(job.key, job.job, available)
        if second is None:
            return None
        own = self._state.load.own_requests(best.target)
        slot_wait_s = self._state.service.residence_s() / max(own, 1)
        if second.cost_s - best.cost_s <= slot_wait_s:
            return second
        return None

    def begin_poll(self) -> None:
        """Clears the record of uncached jobs without memory."""
        self._blocked_prompt_tokens = None
        self._blocked_use = 0.0

    def _with_free_memory(
        self, job: ScheduledJob, targets: list[TargetId], now: float
    ) -> list[TargetId]:
        """Keeps a program without a cached prefix from evicting others.

        Once such a job has found no engine with free memory, jobs with
        larger prompts and jobs of accounts with a higher memory use by
        weight may not overtake it.
        """
        placement = self._state.placement
        if now - job.submitted_s > MAX_COLD_WAIT_S:
            return targets
        if placement.cached_prefill_s(job.job, targets):
            return targets
        use = self._memory_use(job.job, now)
        tokens = job.job.prompt_tokens
        if self._blocked_prompt_tokens is not None and (
            tokens >= self._blocked_prompt_tokens or use > self._blocked_use
        ):
            return []
        fill_share = _fill_share(use, self._mean_memory_use(now))
        with_memory = [
            target
            for target in targets
            if placement.has_memory(job.key, job.job, target, share=fill_share)
        ]
        if not with_memory:
            self._blocked_prompt_tokens = tokens
            self._blocked_use = use
        return with_memory

    def _memory_use(self, job: ChatJob, now: float) -> float:
        """Returns cached tokens of an account, divided by its weight."""
        share = self._rules().share(job.account, job.program_class)
        self._weight_by_account[job.account] = (share.weight, now)
        held = self._state.cache.account_tokens(job.account)
        return held / share.weight

    def _mean_memory_use(self, now: float) -> float:
        """Returns cached tokens per unit of weight over active accounts."""
        held, weights = 0.0, 0.0
        for account, (weight, seen_s) in self._weight_by_account.items():
            if now - seen_s > ACCOUNT_ACTIVE_S:
                continue
            held += self._state.cache.account_tokens(account)
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
        usable = self._state.ejection.usable(live, now)
        usable = [t for t in usable if self._exclusion_rule(t) is None]
        fingerprint = job.job.fingerprint
        if self._state.quarantine.is_suspect(fingerprint):
            may_run = self._state.quarantine.may_run
            usable = [t for t in usable if may_run(fingerprint, t)]
        fresh = [t for t in usable if t not in job.tried]
        return fresh or usable

    def _at_limit(
        self, job: ScheduledJob, target: TargetId, now: float
    ) -> bool:
        load = self._state.load
        own = load.own_requests(target)
        wall_s = self._wall_ms() / 1000.0
        if self._state.queue.lead_s(job.job.account, wall_s) > MAX_LEAD_S:
            # An idle engine takes any account's call, even if its batch
            # has a single slot.
            max_requests = max(LEAD_SLOT_SHARE * load.batch_slots(target), 1.0)
            if load.requests(target) + 1.0 > max_requests:
                return True
        limit = self._state.overload.limit(target).effective_limit(now)
        if self._state.placement.cached_tokens(job.job, target):
            limit += WARM_EXTRA_CALLS
        entry = self._entry_by_target[target]
        rule = self._rules().target(target, entry.group)
        if rule.concurrency is not None:
            vm_share = max(rule.concurrency // max(self._cell_size(), 1), 1)
            limit = min(limit, vm_share)
        return own + 1 > limit

    def _exclusion_rule(self, target: TargetId) -> RuleLine | None:
        load = self._state.load
        return self._rules().exclusion_line(
            target,
            self._entry_by_target[target].group,
            at_ms=self._wall_ms(),
            load=min(load.requests(target) / load.batch_slots(target), 1.0),
            error_share=self._state.ejection.error_share(target),
        )

    def _account_at_limit(
        self, account: AccountId, jobs: ScheduledJobs
    ) -> bool:
        for limit in self._rules().account_limits(account):
            if limit.kind is not LimitKind.CONCURRENCY:
                continue
            vm_share = max(limit.amount // max(self._cell_size(), 1), 1)
            if jobs.account_in_flight(account) >= vm_share:
                return True
        return False


def _fill_share(use: float, mean: float) -> float:
    """Returns the share of an engine's memory an account may fill.

    Args:
        use: Cached tokens of the account, divided by its weight.
        mean: The same over all active accounts.
    """
    if use > mean:
        return HIGH_USE_FILL_SHARE
    if use > LOW_USE_SHARE * mean:
        return FILL_SHARE
    return LOW_USE_FILL_SHARE
