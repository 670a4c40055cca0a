"""How the tolerance of quotas is divided among the VMs.

Targets may run ``(rate x window + burst) x (1 + overage) + slack`` requests
of an account in a window. The deciding VM grants ``rate x window + burst``.
The overage pays for permits that are used late: all that are granted within
``window + VALID_S`` may be used within one window. The slack pays for the
rest, as shares of it:

    initial levels of two new deciding VMs, 0.1 each    0.2
    the stand-in, its rate and its burst                0.45
    own shares of all VMs                               0.25
    requests on the way to targets                      0.1
"""

from __future__ import annotations

from ..vm_settings import QuotaSettings
from .quota_terms import QuotaTerms

__all__ = [
    "initial_level",
    "own_share_holders",
    "own_share_terms",
    "stand_in_terms",
    "valid_s",
]

VALID_S = 0.5
"""Longest time for which a permit is valid."""

MIN_VALID_S = 0.1
"""Shortest one; long enough to open a connection to a target."""

INITIAL_SHARE = 0.1
"""Share of the slack that a new deciding VM starts with."""

STAND_IN_RATE_SHARE = 0.3
"""Share of the slack that a stand-in grants in a window."""

STAND_IN_BURST_SHARE = 0.15
"""Share of the slack that a stand-in may grant at once besides."""

OWN_SHARE = 0.25
"""Share of the slack for VMs that reach no deciding VM."""

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


def stand_in_terms(
    settings: QuotaSettings, terms: QuotaTerms
) -> QuotaTerms | None:
    """Returns what a VM grants that can't reach the deciding one.

    Returns:
        None if the tolerance leaves it nothing.
    """
    burst = STAND_IN_BURST_SHARE * settings.slack
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
