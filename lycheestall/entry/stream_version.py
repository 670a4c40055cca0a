"""The software version at which a request's stream has to go on."""

from __future__ import annotations

from ..ids import SoftwareVersion
from .target_table import TargetRegistration

__all__ = ["StreamVersion"]


class StreamVersion:
    """Binds a stream to the software version that sent its first event.

    Events of different versions don't fit together, and targets don't check
    which version began a stream that they resume.

    Attributes:
        required: The only version that may run the request; None as long as
            the caller has received no event.
    """

    def __init__(self) -> None:
        self.required: SoftwareVersion | None = None

    def bind(self, registration: TargetRegistration) -> None:
        """Notes that a target has sent an event of the stream."""
        self.required = registration.software_version

    def allows(self, registration: TargetRegistration) -> bool:
        """Returns whether a target may run the request."""
        return self.required in (None, registration.software_version)
