"""Estimates call durations from answers to this VM's calls."""

from __future__ import annotations

from .ids import AccountId

__all__ = ["ServiceEstimate"]

SMOOTHING = 0.1
DEFAULT_SERVICE_S = 5.0
DEFAULT_PREFILL_TOKENS_PER_S = 5000.0
MIN_PREFILL_TOKENS_PER_S = 200.0
MIN_SAMPLE_TOKENS = 500  # shorter prefills are not used as samples


class ServiceEstimate:
    """Smoothed call durations and prefill rate."""

    def __init__(self) -> None:
        """Creates an estimate with default values."""
        self._service_by_class: dict[tuple[AccountId, str], float] = {}
        self._residence_s = DEFAULT_SERVICE_S
        self._prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S

    def record_answer(
        self,
        account: AccountId,
        program_class: str,
        *,
        service_s: float,
        residence_s: float,
    ) -> None:
        """Records the durations of an answered call.

        Args:
            account: The call's account.
            program_class: Its program's class.
            service_s: Time in the engine's batch.
            residence_s: Time at the engine, including its queue.
        """
        key = (account, program_class)
        known = self._service_by_class.get(key, service_s)
        self._service_by_class[key] = _smoothed(known, service_s)
        self._residence_s = _smoothed(self._residence_s, residence_s)

    def record_prefill(self, tokens: int, took_s: float) -> None:
        """Records the time to first chunk on an engine without a queue.

        Args:
            tokens: Prompt tokens that were not cached.
            took_s: Time from dispatch to the first chunk.
        """
        if tokens < MIN_SAMPLE_TOKENS or took_s <= 0:
            return
        rate = max(tokens / took_s, MIN_PREFILL_TOKENS_PER_S)
        self._prefill_tokens_per_s = _smoothed(
            self._prefill_tokens_per_s, rate
        )

    def service_s(self, account: AccountId, program_class: str) -> float:
        """Returns the expected time of a call in an engine's batch."""
        known = self._service_by_class.get((account, program_class))
        return known if known is not None else self._residence_s

    def residence_s(self) -> float:
        """Returns the expected time of a call at an engine, with queue."""
        return self._residence_s

    def prefill_s(self, tokens: float) -> float:
        """Returns the expected prefill time of prompt tokens."""
        return max(tokens, 0.0) / self._prefill_tokens_per_s


def _smoothed(known: float, sample: float) -> float:
    return known + SMOOTHING * (sample - known)
