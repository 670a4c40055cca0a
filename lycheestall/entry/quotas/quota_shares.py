"""How the tolerance of quotas is divided among the VMs.

Targets may run ``(rate x window + burst) x (1 + overage) + slack`` requests
of an account in a window. The deciding VM grants ``rate x window + burst``.
The overage pays for permits that are used late: all that are granted within
``window + VALID_S`` may be used within one window. The slack pays for the
rest, as shares of it:

    initial levels of two new deciding VMs, 0.1 each    0.2
    the rate of one that is not confirmed               0.2
    the stand-in, its rate 0.2 and its burst 0.15       0.35
    own shares of all VMs                               0.2
    requests on the way to targets                      0.05

The first and the second VM of an account that have lost contact grant half
of the quota each, which adds nothing.
"""

from __future__ import annotations

from ..vm_settings import QuotaSettings
from .quota_terms import QuotaTerms

__all__ = [
    "half_terms",
    "initial_level",
    "own_share_holders",
    "own_share_terms",
    "stand_in_level",
    "stand_in_terms",
    "unconfirmed_terms",
    "valid_s",
]

VALID_S = 0.5
"""Longest time for which a permit is valid."""

MIN_VALID_S = 0.1
"""Shortest one; long enough to open a connection to a target."""

INITIAL_SHARE = 0.1
"""Share of the slack that a new deciding VM starts with."""

STAND_IN_RATE_SHARE = 0.2
"""Share of the slack that a stand-in, or a deciding VM that is not confirmed,
grants in a window."""

STAND_IN_BURST_SHARE = 0.15
"""Share of the slack that a stand-in may grant at once besides."""

OWN_SHARE = 0.2
"""Share of the slack for VMs that reach no deciding VM."""

MIN_RATE_PER_S = 0.01
"""Rate in place of zero."""

OWN_SHARE_PER_WINDOW = 2
"""Requests in a window of a VM with a share of its own: one at once, and
one a window."""


def valid_s(settings: QuotaSettings) -> float:
    """Returns for how long a permit is valid from its start."""
    paid_s = settings.overage * settings.window_s
    return max(MIN_VALID_S, min(VALID_S, paid_s))


def initial_level(settings: QuotaSettings) -> float:
    """Returns the permits that a new deciding VM has in stock."""
    return INITIAL_SHARE * settings.slack


def stand_in_level(settings: QuotaSettings) -> float:
    """Returns the permits that a stand-in has in stock at first."""
    return STAND_IN_BURST_SHARE * settings.slack


def half_terms(terms: QuotaTerms) -> QuotaTerms:
    """Returns what each of two deciding VMs grants without contact."""
    return QuotaTerms(
        terms.version, terms.rate_per_s / 2, max(1.0, terms.burst / 2)
    )


def unconfirmed_terms(
    settings: QuotaSettings, terms: QuotaTerms
) -> QuotaTerms:
    """Returns what a deciding VM grants that was never confirmed."""
    rate_per_s = STAND_IN_RATE_SHARE * settings.slack / settings.window_s
    return QuotaTerms(
        terms.version,
        max(MIN_RATE_PER_S, min(terms.rate_per_s, rate_per_s)),
        min(terms.burst, initial_level(settings)),
    )


def stand_in_terms(
    settings: QuotaSettings, terms: QuotaTerms
) -> QuotaTerms | None:
    """Returns what a VM grants that can't reach the deciding one.

    Returns:
        None if the tolerance leaves it nothing.
    """
    burst = stand_in_level(settings)
    if burst < 1.0:
        return None
    rate_per_s = STAND_IN_RATE_SHARE * settings.slack / settings.window_s
    return QuotaTerms(
        terms.version,
        min(terms.rate_per_s, rate_per_s),
        min(terms.burst, burst),
    )


def own_share_holders(settings: QuotaSettings) -> int:
    """Returns how many VMs may have a share of an account of their own."""
    return int(OWN_SHARE * settings.slack / OWN_SHARE_PER_WINDOW)


def own_share_terms(settings: QuotaSettings, terms: QuotaTerms) -> QuotaTerms:
    """Returns what a VM uses that reaches no deciding VM."""
    rate_per_s = min(terms.rate_per_s, 1.0 / settings.window_s)
    return QuotaTerms(terms.version, rate_per_s, 1.0)
