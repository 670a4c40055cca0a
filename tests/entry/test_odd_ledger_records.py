"""Records that another writer has left in the ledger of the VMs."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.task import Clock

from lycheestall.entry.crashes.crash_reports import CrashReports
from lycheestall.entry.membership import Members
from lycheestall.entry.store import KeyedRecord, KeyedWrite, Topic
from lycheestall.entry.token_ledger import TokenLedger
from lycheestall.ids import Offset
from tests.entry.entry_vm_harness import status_of
from tests.entry.fake_network import ReceivedRequest
from tests.entry.fleet import Fleet

MANY_DIGITS = b"9" * 5000

ODD_RECORDS = {
    "limit": (b"t\x1fp\x1fh", MANY_DIGITS + b",1"),
    "committed": (b"t\x1fp\x1fh", b"1," + MANY_DIGITS),
    "crash count": (b"c\x1fp\x1fh", MANY_DIGITS),
    "crash": (b"x\x1fp\x1fh", MANY_DIGITS),
    "port of many digits": (b"m\x1fodd", b"10.0.0.7:" + MANY_DIGITS + b",z"),
    "port of other digits": (b"m\x1fodd", "10.0.0.7:\u00b2,z".encode()),
    "port out of range": (b"m\x1fodd", b"10.0.0.7:70000,z"),
    "no UTF-8": (b"m\x1f\xff", b"\xff:\xff,\xff"),
    "no key": (b"", b"x"),
}

numbers = st.binary(max_size=4) | st.just(MANY_DIGITS)
odd_keys = st.binary(max_size=9) | st.sampled_from(
    [key for key, _ in ODD_RECORDS.values()]
)
odd_values = (
    st.none()
    | st.binary()
    | st.builds(b"%b,%b,%b".__mod__, st.tuples(numbers, numbers, numbers))
    | st.sampled_from([value for _, value in ODD_RECORDS.values()])
)


@given(key=odd_keys, value=odd_values)
def test_any_record_can_be_applied(key: bytes, value: bytes | None) -> None:
    record = KeyedRecord(Offset(0), key, value)
    TokenLedger().apply(record)
    CrashReports(Clock()).apply(record)
    members = Members()
    members.apply(record)
    for member in members.all():
        assert member.address.port in range(65_536)


# Guards against a number of another writer that ends the reading of the
# ledger.
@pytest.mark.parametrize(
    ("key", "value"), ODD_RECORDS.values(), ids=ODD_RECORDS
)
def test_the_ledger_is_followed_past_an_odd_record(
    key: bytes, value: bytes
) -> None:
    def serve(request: ReceivedRequest) -> None:
        request.respond(200, b"whole")

    fleet = Fleet(vms=2)
    fleet.add_target("one", serve)
    fleet.start()
    fleet.log.put(Topic.LEDGER, KeyedWrite(key, value))
    fleet.reactor.run(2.5)
    end = len(fleet.log.by_topic[Topic.LEDGER])
    for harness in fleet.vms:
        assert harness.vm.token_service.follower.position == end
    fleet.restart(0)
    fleet.reactor.run(3.0)
    caller = fleet.send("/maps/x", vm=0)
    fleet.reactor.run(0.5)
    assert status_of(caller.data) == 200
