"""Targets that are silent towards the store while they still work."""

from __future__ import annotations

from lycheestall.entry.store import KeyedWrite, Topic
from tests.entry.entry_vm_harness import EntryVmHarness
from tests.entry.fake_network import ReceivedRequest
from tests.entry.memory_store import Fault


class SlowEngine:
    """Sends its events only when the test says so."""

    def __init__(self) -> None:
        self.requests: list[ReceivedRequest] = []

    def respond(self, request: ReceivedRequest) -> None:
        """Starts a stream with one event."""
        self.requests.append(request)
        request.start_stream()
        request.send_event(1)

    def finish(self) -> None:
        """Sends the rest of all streams."""
        for request in self.requests:
            request.send_event(2)
            request.end_stream()


def expire_in_an_outage(harness: EntryVmHarness, target: str) -> None:
    """Lets a target's registration lapse while the store is away."""
    harness.store.fault = Fault.REFUSES
    harness.reactor.run(2.5)
    harness.log.put(Topic.TARGETS, KeyedWrite(target.encode(), None))
    harness.store.fault = Fault.NONE


def test_running_work_goes_on_when_its_targets_registration_lapses(
    harness: EntryVmHarness,
) -> None:
    engine, other = SlowEngine(), SlowEngine()
    harness.add_target("engine", engine.respond, service="engines")
    harness.start()
    caller = harness.connect()
    harness.send_request("/plan/x", method="POST", caller=caller)
    harness.log.put(Topic.TARGETS, KeyedWrite(b"engine", None))
    harness.add_target("other", other.respond, service="engines")
    harness.reactor.run(1.5)
    engine.finish()
    harness.reactor.run(0.1)
    assert caller.protocol.data.endswith(b"0\r\n\r\n")
    assert len(engine.requests) == 1
    assert not other.requests


def test_a_silent_target_is_used_again_when_it_reports_after_an_outage(
    harness: EntryVmHarness,
) -> None:
    engine = SlowEngine()
    harness.add_target("engine", engine.respond, service="engines")
    harness.start()
    expire_in_an_outage(harness, "engine")
    harness.reactor.run(1.0)
    harness.send_request("/plan/x", method="POST", request_id="r1")
    harness.register("engine", "10.1.0.1", service="engines")
    harness.reactor.run(2.5)
    harness.send_request("/plan/x", method="POST", request_id="r2")
    assert len(engine.requests) == 2


def test_a_target_that_stays_away_after_an_outage_is_gone(
    harness: EntryVmHarness,
) -> None:
    engine = SlowEngine()
    harness.add_target("engine", engine.respond, service="engines")
    harness.start()
    expire_in_an_outage(harness, "engine")
    harness.reactor.run(4.0)
    harness.send_request("/plan/x", method="POST")
    assert not engine.requests
