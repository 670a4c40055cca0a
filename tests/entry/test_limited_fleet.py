"""Requests of all VMs together to targets that name a limit."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from tests.entry.fake_network import ReceivedRequest
from tests.entry.fleet import Fleet

VMS = 6
WINDOW_S = 4.0
EXCESS = 1.5
"""Factor over its limit that a target tolerates within a window."""
EXTRA_REQUESTS = 5
"""Requests beyond that which it tolerates within a window."""


class LimitedTarget:
    """Serves all requests and names a limit while it has one.

    Args:
        fleet: Tells the time.
        name: Its name.
        rate_per_s: Its limit; None for no limit.
    """

    def __init__(
        self, fleet: Fleet, name: str, rate_per_s: float | None
    ) -> None:
        self._reactor = fleet.reactor
        self.rate_per_s = rate_per_s
        self.received_at: list[float] = []
        fleet.add_target(name, self.respond)

    def respond(self, request: ReceivedRequest) -> None:
        """Serves a request after 20 ms."""
        self.received_at.append(self._reactor.seconds())
        self._reactor.callLater(0.02, self._respond, request)

    def most_in_window(self, since: float) -> int:
        """Returns the most requests in any window that starts later."""
        return most_in_window(
            [at for at in self.received_at if at >= since], WINDOW_S
        )

    def allowed(self) -> float:
        """Returns the requests that the target tolerates in a window."""
        assert self.rate_per_s is not None
        return EXCESS * WINDOW_S * self.rate_per_s + EXTRA_REQUESTS

    def _respond(self, request: ReceivedRequest) -> None:
        headers = ()
        if self.rate_per_s is not None:
            headers = ((b"Server-Limit", b"%.1f" % self.rate_per_s),)
        request.respond(200, b"whole", headers=headers)


def most_in_window(times: Sequence[float], window_s: float) -> int:
    """Returns the most of the sorted times that lie within a window."""
    most, first = 0, 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def send_for(fleet: Fleet, seconds: float, *, per_s: int) -> None:
    """Sends requests to all VMs in turn at a steady rate."""
    for _ in range(round(seconds * per_s)):
        fleet.send("/orders/x")
        fleet.reactor.run(1.0 / per_s)


@pytest.fixture
def fleet() -> Fleet:
    """VMs that know each other and have no targets yet."""
    return Fleet(vms=VMS)


# Guards against a back end getting far more requests from all VMs together
# than the limit that it names, while each VM alone stays below that limit.
def test_all_vms_together_keep_to_the_limit_that_a_target_names(
    fleet: Fleet,
) -> None:
    target = LimitedTarget(fleet, "limited", 5.0)
    LimitedTarget(fleet, "free", None)
    fleet.start()
    started_at = fleet.reactor.seconds()
    send_for(fleet, 8.0, per_s=40)
    assert target.most_in_window(started_at + 2.0) <= target.allowed()
