"""How many targets one attempt of a caller runs at."""

from __future__ import annotations

from collections import defaultdict

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness, status_of
from tests.entry.fake_network import ReceivedRequest

NOT_RUN = ((b"X-Not-Executed", b"1"),)
REQUESTS = 12


class NearlyFullTargets:
    """Targets that lose answers and are full afterwards.

    Args:
        harness: The VM that sends to them.
        refusals: Requests that each target refuses after a lost answer.
    """

    def __init__(self, harness: EntryVmHarness, refusals: int) -> None:
        self._harness = harness
        self._refusals = refusals
        self._refused: dict[tuple[str, str], int] = defaultdict(int)
        self.ran_at: dict[str, set[str]] = defaultdict(set)

    def add(self, name: str, service: str, *, loses: bool) -> None:
        """Registers a target."""
        self._harness.add_target(
            name,
            lambda request: self._respond(name, request, loses=loses),
            service=service,
        )

    def _respond(
        self, name: str, request: ReceivedRequest, *, loses: bool
    ) -> None:
        request_id = request.headers[b"x-request-id"].decode()
        key = (name, request_id)
        if loses and name not in self.ran_at[request_id]:
            self.ran_at[request_id].add(name)
            request.reset()
            return
        if loses and self._refused[key] < self._refusals:
            self._refused[key] += 1
            request.respond(503, headers=NOT_RUN, sealed=False)
            return
        self.ran_at[request_id].add(name)
        if request.url.startswith(b"/plan"):
            request.start_stream()
            request.send_event(1)
            request.end_stream()
        else:
            request.respond(200, b"whole")


# Guards against a request that runs at one target more than its route allows
# since one that may have run it, and is still up, is full when asked again.
@pytest.mark.parametrize(
    ("path", "service", "most", "losing"),
    [("/plan/x", "engines", 1, 1), ("/maps/x", "app", 2, 2)],
)
@pytest.mark.parametrize("refusals", [1, 2, 10])
def test_a_full_target_leads_to_no_further_one(
    harness: EntryVmHarness,
    path: str,
    service: str,
    most: int,
    losing: int,
    refusals: int,
) -> None:
    targets = NearlyFullTargets(harness, refusals)
    for number in range(losing):
        targets.add(f"losing-{number}", service, loses=True)
    for number in range(2):
        targets.add(f"sound-{number}", service, loses=False)
    harness.start()
    statuses = []
    for number in range(REQUESTS):
        data = harness.send_request(
            path, method="POST", request_id=f"r{number}", run_s=1.0
        )
        statuses.append(status_of(data))
    assert any(len(names) == most for names in targets.ran_at.values())
    assert max(len(names) for names in targets.ran_at.values()) <= most
    if refusals <= 2:
        assert statuses == [200] * REQUESTS
