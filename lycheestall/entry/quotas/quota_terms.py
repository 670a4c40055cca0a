"""What an account may use, and from which configuration that is known."""

from __future__ import annotations

from dataclasses import dataclass

from ..accounts import Account

__all__ = ["QuotaTerms"]


@dataclass(frozen=True, slots=True)
class QuotaTerms:
    """The quota of an account in one version of the configuration.

    Attributes:
        version: Version of the configuration.
        rate_per_s: Requests per second of all VMs together; 0 for no limit.
        burst: Requests beyond that rate which may come at once.
    """

    version: int
    rate_per_s: float
    burst: float

    @classmethod
    def of(cls, account: Account, version: int) -> QuotaTerms:
        """Returns the quota of an account in a version."""
        return cls(version, account.rate_per_s, account.burst)

    @property
    def capacity(self) -> float:
        """Most permits in stock; less than one could never be granted."""
        return max(1.0, self.burst)
