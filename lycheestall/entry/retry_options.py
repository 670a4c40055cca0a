"""Whether a request may be retried, given what its caller has received."""

from __future__ import annotations

from .attempt_outcomes import WholeAnswer
from .configuration import RetrySafety, Route
from .responses import Exchange
from .retry_policy import AttemptHistory
from .stream_forwarder import StreamForwarder
from .target_admission import TargetAdmission
from .target_table import TargetRegistration

__all__ = ["RetryOptions"]

_GATEWAY_TIMEOUT = 504


class RetryOptions:
    """The ways in which one request may be retried.

    Args:
        exchange: The request and its response.
        route: The request's route.
        history: The attempts so far.
        admission: Knows the targets that take requests.
        forwarder: Forwards the stream; None if the route has none.
    """

    def __init__(
        self,
        exchange: Exchange,
        route: Route,
        history: AttemptHistory,
        admission: TargetAdmission,
        forwarder: StreamForwarder | None,
    ) -> None:
        self._exchange = exchange
        self._route = route
        self._history = history
        self._admission = admission
        self._forwarder = forwarder

    @property
    def retry_safety(self) -> RetrySafety:
        """Whether the request may run again after what has been sent."""
        retry_safety = self._route.retry_safety
        if retry_safety is not RetrySafety.RESUMABLE:
            return retry_safety
        forwarder = self._forwarder
        if forwarder is not None and forwarder.events_sent > 0:
            return retry_safety if forwarder.resumable else RetrySafety.ONCE
        return retry_safety

    def can_retry_elsewhere(self, registration: TargetRegistration) -> bool:
        """Returns whether another target than this one may run it too."""
        if self._exchange.started or self.retry_safety is RetrySafety.ONCE:
            return False
        executors = self._history.possible_executors | {registration.target}
        if len(executors) >= self._route.max_attempts:
            return False
        return self._admission.has_other_target(excluding=registration)

    def should_retry_elsewhere(
        self, registration: TargetRegistration, response: WholeAnswer
    ) -> bool:
        """Returns whether to retry it after a target's error response."""
        if response.head.status == _GATEWAY_TIMEOUT:
            return False
        return self.can_retry_elsewhere(registration)
