"""A choice of a target and the figures that it is based on."""

from __future__ import annotations

from dataclasses import dataclass

from ..target_table import TargetRegistration

__all__ = ["Choice"]


@dataclass(frozen=True, slots=True)
class Choice:
    """A target that was chosen by its expected completion time.

    Attributes:
        registration: The target.
        expected_s: Expected seconds until the request is complete; for
            services other than engines, in multiples of the typical time.
        wait_s: The part of it that is waiting, in the same unit.
        load: Estimated running requests of all VMs at the target.
        own: Running requests of this VM among them.
        load_age_s: Age of the other VMs' figures, infinite without any.
        relative_time: The target's time for a unit of work over the typical
            one.
        speed_weight: Weight of the observations of its speed.
        recent_delay: Factor by which its recent responses were late.
        cached: Whether it is expected to have the request's prefix cached.
    """

    registration: TargetRegistration
    expected_s: float
    wait_s: float
    load: float
    own: int
    load_age_s: float
    relative_time: float
    speed_weight: float
    recent_delay: float
    cached: bool
