"""Logs and counts decisions about the quotas of accounts."""

from __future__ import annotations

from collections.abc import Callable

from ...metric_set import MetricSet
from .._log_fields import decode_id
from ..accounts import AccountId
from ..message_metadata import RequestMetadata
from .quota_permit import QuotaDenied, QuotaPermit

__all__ = ["QuotaLog"]

MAX_LABELS = 100
"""Accounts that metrics name, those seen first; the others are summed up."""

OTHER_ACCOUNTS = "other"


class QuotaLog:
    """Writes one line for each refusal, and counts all decisions.

    Args:
        metrics: Receives the counts.
        write: Writes rate-limited log lines.
    """

    def __init__(self, metrics: MetricSet, write: Callable[..., None]) -> None:
        self._write = write
        self._labelled: set[AccountId] = set()
        self._decisions = metrics.counter(
            "quota_decisions_total",
            "Decisions on requests of accounts with a quota, by result.",
        )
        self._messages = metrics.counter(
            "quota_messages_total", "Messages about quotas, by type."
        )

    def message_sent(self, message: str) -> None:
        """Counts a message to another VM."""
        self._messages.inc({"message": message})

    def granted(self, permit: QuotaPermit) -> None:
        """Counts a request that may be sent."""
        self._count(permit.account, "granted")

    def refused(self, metadata: RequestMetadata, denied: QuotaDenied) -> None:
        """Logs a request that is refused."""
        self._count(denied.account, denied.refusal.value)
        self._write(
            "quota refused",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            account=denied.account,
            decider=denied.decider,
            decider_since_ms=round(denied.known_s * 1000),
            reason=denied.refusal.value,
            retry_after_ms=round(denied.retry_after_s * 1000),
        )

    def _count(self, account: AccountId, result: str) -> None:
        if len(self._labelled) < MAX_LABELS:
            self._labelled.add(account)
        label = account if account in self._labelled else OTHER_ACCOUNTS
        self._decisions.inc({"account": label, "result": result})
