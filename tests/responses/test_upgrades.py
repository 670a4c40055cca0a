"""Requests that ask for another protocol."""

from __future__ import annotations

import pytest

from tests.entry.entry_vm_harness import EntryVmHarness
from tests.responses.conftest import EVENTS, read_responses

H2C = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)


# Guards against two answers to a request that asks for another protocol, as
# common clients do: its own, and the 400 of the reader that stops there.
@pytest.mark.parametrize("path", ["/maps/x", "/orders/x", "/plan/x"])
@pytest.mark.parametrize("followed", [False, True])
def test_a_request_for_another_protocol_has_one_answer(
    vm: EntryVmHarness, path: str, followed: bool
) -> None:
    caller = vm.connect()
    vm.send_request(path, method="POST", headers=H2C, run_s=0, caller=caller)
    if followed:
        vm.send_request("/maps/y", request_id="r2", run_s=0, caller=caller)
    vm.reactor.run(0.2)
    responses = read_responses(caller.protocol.data, ["POST"], closed=True)
    assert [response.status for response in responses] == [200]
    body = responses[0].body
    assert body == b"whole" or body.count(b"data: piece") == EVENTS
    assert responses[0].headers[b"connection"] == b"close"
    assert caller.protocol.lost is not None


# Guards against a second answer to one that is answered after others.
def test_it_is_answered_after_earlier_requests(vm: EntryVmHarness) -> None:
    caller = vm.connect()
    vm.send_request("/plan/x", method="POST", run_s=0, caller=caller)
    vm.send_request("/maps/y", headers=H2C, request_id="r2", caller=caller)
    stream, whole = read_responses(
        caller.protocol.data, ["POST", "GET"], closed=True
    )
    assert stream.body.count(b"data: piece") == EVENTS
    assert whole.body == b"whole"
