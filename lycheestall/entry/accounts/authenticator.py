"""Decides to which account a request belongs."""

from __future__ import annotations

from dataclasses import dataclass

from ..configuration import Route
from ..configuration_state import ConfigurationState
from .account import Account
from .configuration_evidence import ConfigurationEvidence
from .credentials import (
    BearerKey,
    Credentials,
    NoCredentials,
    UnusableCredentials,
)

__all__ = [
    "Anonymous",
    "Authenticated",
    "Authentication",
    "Authenticator",
    "InvalidKey",
    "Uncertain",
    "UnknownRoute",
]

UNCERTAIN_RETRY_S = 0.4
"""Retry delay for callers while this VM may lack a newer configuration."""


@dataclass(frozen=True, slots=True)
class Authenticated:
    """The request belongs to an account."""

    account: Account


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The request belongs to no account and needs none."""


@dataclass(frozen=True, slots=True)
class InvalidKey:
    """The request needs an account and doesn't prove one.

    Attributes:
        reason: Text for the caller, without what it sent.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class UnknownRoute:
    """No route matches; no newer configuration is waited for."""


@dataclass(frozen=True, slots=True)
class Uncertain:
    """A newer configuration may decide otherwise.

    Attributes:
        reason: Text for the caller.
        retry_after_s: When it may try again.
        account: The account as far as this VM knows, if any.
    """

    reason: str
    retry_after_s: float = UNCERTAIN_RETRY_S
    account: Account | None = None


Authentication = Authenticated | Anonymous | InvalidKey | Uncertain


class Authenticator:
    """Decides by the configuration in force and the evidence for it.

    Refusals that callers never retry are given only while the configuration
    is known to be current.

    Args:
        configuration: The configuration in force.
        evidence: How recently it was known to be the newest.
        revocation_timeout_s: Seconds after the last evidence in which known
            keys are accepted; None for no limit.
    """

    def __init__(
        self,
        configuration: ConfigurationState,
        evidence: ConfigurationEvidence,
        *,
        revocation_timeout_s: float | None,
    ) -> None:
        self._configuration = configuration
        self._evidence = evidence
        self._revocation_timeout_s = revocation_timeout_s

    def authenticate(
        self, route: Route, credentials: Credentials, now: float
    ) -> Authentication:
        """Returns to which account a request belongs, if to any.

        Args:
            route: The request's route.
            credentials: What the request carries.
            now: Current time.
        """
        configuration = self._configuration
        if not configuration.has_accounts:
            return Anonymous()
        account = None
        if isinstance(credentials, BearerKey):
            account = configuration.accounts.find(credentials.api_key)
        if account is not None and not self._may_be_revoked(now):
            return Authenticated(account)
        if route.anonymous:
            return Anonymous()
        if account is not None:
            return Uncertain("keys can't be checked now", account=account)
        if not configuration.has_readable_accounts:
            return Uncertain("the configuration has no readable account")
        if not self._evidence.is_current(now):
            return Uncertain("the configuration may be outdated")
        return InvalidKey(_refusal_reason(credentials))

    def unknown_route(self, now: float) -> UnknownRoute | Uncertain:
        """Returns whether a request without a route is refused for good."""
        if not self._configuration.has_accounts:
            return UnknownRoute()
        if not self._evidence.is_current(now):
            return Uncertain("the configuration may be outdated")
        return UnknownRoute()

    def evidence_age_s(self, now: float) -> float:
        """Returns the age of the evidence that decisions are based on."""
        return self._evidence.age_s(now)

    def _may_be_revoked(self, now: float) -> bool:
        timeout_s = self._revocation_timeout_s
        return timeout_s is not None and self._evidence.age_s(now) > timeout_s


def _refusal_reason(credentials: Credentials) -> str:
    if isinstance(credentials, UnusableCredentials):
        return f"unusable credentials: {credentials.reason}"
    if isinstance(credentials, NoCredentials):
        return "no API key"
    return "unknown API key"
