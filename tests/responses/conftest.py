"""A VM with a target of each kind, and a reader of what callers receive."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import ReceivedRequest
from tests.responses.http_reader import ReceivedResponse, read_responses

__all__ = ["ReceivedResponse", "read_responses"]

EVENTS = 2


def answer(request: ReceivedRequest) -> None:
    """Answers a plain request as its path says."""
    head = request.encode_response(200, b"whole")
    if request.method == b"HEAD":
        request.send(head.removesuffix(b"whole"))
    elif request.url.startswith(b"/maps/status-"):
        status = int(request.url.removeprefix(b"/maps/status-"))
        request.send(
            b"HTTP/1.1 %d Any\r\nX-Response-Seal: s\r\n"
            b"X-Request-Id: %s\r\n\r\n"
            % (status, request.headers[b"x-request-id"])
        )
    else:
        request.send(head)


def stream(request: ReceivedRequest) -> None:
    """Streams some events."""
    request.start_stream()
    if request.method == b"HEAD":
        return
    for number in range(1, EVENTS + 1):
        request.send_event(number)
    request.end_stream()


@pytest.fixture
def vm() -> EntryVmHarness:
    """A VM and its targets."""
    vm = EntryVmHarness()
    vm.add_target("app", answer)
    vm.add_target("engine", stream, service="engines")
    vm.start()
    return vm
