"""What a decision on a request's account was based on."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["AuthenticationEvidence"]


@dataclass(frozen=True, slots=True)
class AuthenticationEvidence:
    """The inputs of a decision, for its log line.

    Attributes:
        route_name: Name of the request's route; None if it has none.
        configuration_age_s: Seconds since the configuration was surely
            current.
        key_mark: What logs name the request's key by, if it has one.
        peers_asked: Whether peers were asked for a newer configuration.
    """

    route_name: str | None
    configuration_age_s: float
    key_mark: str | None
    peers_asked: bool
