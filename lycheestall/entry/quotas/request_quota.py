"""The permits of one request, which each attempt at a target needs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from ..accounts import Account
from ..attempt_outcomes import (
    AttemptOutcome,
    NotRun,
    NotSent,
    PermitExpired,
    Stopped,
    Unreachable,
)
from ..limit_waits import max_wait_s
from ..message_metadata import RequestMetadata
from ..target_admission import Admission
from .quota_log import QuotaLog
from .quota_permit import QuotaDenied, QuotaPermit
from .quota_service import QuotaService

__all__ = ["RequestQuota"]


class RequestQuota:
    """Gets the permits of one request; does nothing without a quota.

    Args:
        service: Gets the permits.
        log: Logs refusals.
        metadata: The request's metadata.
        account: The request's account, if any.
        now: Returns the current time.
        version: Version of the configuration that the account is from.
        deadline: When the request must have ended.
        has_tokens: Returns whether the program has used tokens before.
    """

    def __init__(
        self,
        service: QuotaService,
        log: QuotaLog,
        metadata: RequestMetadata,
        account: Account | None,
        *,
        now: Callable[[], float],
        version: int,
        deadline: float,
        has_tokens: Callable[[], bool],
    ) -> None:
        self._service = service
        self._log = log
        self._metadata = metadata
        self._account = account
        if account is not None and not account.has_quota:
            self._account = None
        self._now = now
        self._version = version
        self._deadline = deadline
        self._has_tokens = has_tokens
        self._permit: QuotaPermit | None = None

    @property
    def delay_s(self) -> float:
        """Seconds until the permit is valid."""
        if self._permit is None:
            return 0.0
        return max(0.0, self._permit.starts_at - self._now())

    async def acquire(self, *, may_have_run: bool) -> QuotaDenied | None:
        """Gets a permit unless a valid one is held; returns a refusal.

        Args:
            may_have_run: Whether a target may have run the request.
        """
        account = self._account
        now = self._now()
        if account is None:
            return None
        if self._permit is not None and now < self._permit.expires_at:
            return None
        self.release()
        remaining_s = max(0.0, self._deadline - now)
        result = await self._service.acquire(
            account,
            self._metadata.program,
            version=self._version,
            starts_program=not (may_have_run or self._continues()),
            max_wait_s=max_wait_s(
                first_turn=False,
                may_have_run=may_have_run,
                remaining_s=remaining_s,
            ),
            remaining_s=remaining_s,
        )
        if isinstance(result, QuotaDenied):
            self._log.refused(self._metadata, result)
            return result
        self._log.granted(result)
        self._permit = result
        return None

    def limit(self, admission: Admission) -> Admission:
        """Returns an admission that is valid no longer than the permit."""
        if self._permit is None:
            return admission
        permit = admission.permit
        expires_at = min(permit.expires_at, self._permit.expires_at)
        return replace(
            admission, permit=replace(permit, expires_at=expires_at)
        )

    def record(self, outcome: AttemptOutcome) -> None:
        """Uses up the permit unless the request has certainly not run."""
        if isinstance(outcome, NotSent | Unreachable | PermitExpired | NotRun):
            return
        if isinstance(outcome, Stopped) and not outcome.sent:
            return
        self._permit = None

    def release(self) -> None:
        """Gives back a permit that is not used."""
        if self._permit is not None:
            self._service.give_back(self._permit)
            self._permit = None

    def _continues(self) -> bool:
        metadata = self._metadata
        if metadata.resume_after is not None or metadata.previous_turn:
            return True
        return self._has_tokens()
