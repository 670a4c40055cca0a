"""Client accounts: who sends a request, and what the account may use.

``authenticator`` is not exported here: it imports the configuration, which
imports this package.
"""

from __future__ import annotations

from .account import Account, AccountId, ApiKey, KeyDigest, digest_key
from .account_directory import AccountDirectory
from .account_problem import AccountProblem
from .authentication_evidence import AuthenticationEvidence
from .configuration_evidence import ConfigurationEvidence
from .credentials import (
    BearerKey,
    Credentials,
    NoCredentials,
    UnusableCredentials,
    check_key,
    key_mark,
    mark_of,
)

__all__ = [
    "Account",
    "AccountDirectory",
    "AccountId",
    "AccountProblem",
    "ApiKey",
    "AuthenticationEvidence",
    "BearerKey",
    "ConfigurationEvidence",
    "Credentials",
    "KeyDigest",
    "NoCredentials",
    "UnusableCredentials",
    "check_key",
    "digest_key",
    "key_mark",
    "mark_of",
]
