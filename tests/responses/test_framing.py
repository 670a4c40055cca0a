"""Where the bodies of responses end."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness
from tests.responses.conftest import read_responses

PATHS = ["/maps/x", "/orders/x", "/plan/x", "/chat/x", "/unknown/x"]


# Guards against bytes of a body after the head of an answer to HEAD, which
# the caller takes for the next response: the end of a stream that has none,
# and the text of the VM's own errors.
@pytest.mark.parametrize("path", PATHS)
def test_an_answer_to_head_has_no_body(vm: EntryVmHarness, path: str) -> None:
    caller = vm.connect()
    vm.send_request(path, method="HEAD", caller=caller)
    data = vm.send_request("/maps/y", request_id="r2", caller=caller)
    head, whole = read_responses(data, ["HEAD", "GET"])
    assert head.status == (404 if path.startswith("/unknown") else 200)
    assert b"content-length" not in head.headers
    assert whole.body == b"whole"


# Guards against a length in responses that have no body, which RFC 9110,
# section 8.6, forbids for 204, and which is that of another one for 304.
@pytest.mark.parametrize("status", [204, 304])
def test_a_status_without_a_body_has_no_length(
    vm: EntryVmHarness, status: int
) -> None:
    caller = vm.connect()
    vm.send_request(f"/maps/status-{status}", caller=caller)
    data = vm.send_request("/maps/y", request_id="r2", caller=caller)
    empty, whole = read_responses(data, ["GET", "GET"])
    assert (empty.status, empty.body) == (status, b"")
    assert b"content-length" not in empty.headers
    assert whole.body == b"whole"


# Guards against an answer to HEAD on a stream route that is lost since the
# target doesn't say how long a stream would be.
def test_head_of_a_stream_without_framing_is_served() -> None:
    harness = EntryVmHarness()
    harness.add_target(
        "engine",
        lambda request: request.send(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Response-Seal: s\r\nX-Request-Id: r1\r\n\r\n"
        ),
        service="engines",
    )
    harness.start()
    data = harness.send_request("/plan/x", method="HEAD")
    (head,) = read_responses(data, ["HEAD"])
    assert head.status == 200
