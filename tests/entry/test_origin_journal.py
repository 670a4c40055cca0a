"""The origins of streams in the store."""

from __future__ import annotations

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.origin_journal import (
    APPENDS_PER_S,
    MAX_PENDING,
    MIN_DELAY_S,
    RETRY_S,
    OriginJournal,
)
from lycheestall.entry.origin_records import decode_origins, encode_origins
from lycheestall.entry.record_decoder import UnreadableRecord
from lycheestall.entry.store import KeyedRecord, KeyedWrite, Topic
from lycheestall.entry.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, SoftwareVersion, ZoneId
from lycheestall.logs import get_logger
from tests.entry.fake_network import FakeReactor
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore

ENGINES = ServiceId("engines")
FIRST = StreamOrigin(ENGINES, SoftwareVersion("v1"))
SECOND = StreamOrigin(ENGINES, SoftwareVersion("v2"))


class JournalVm:
    """One VM's journal.

    Args:
        log: The store's content.
        vms: Number of VMs of the system.

    Attributes:
        clock: The VM's clock.
        store: Its client of the store.
        origins: The origins that it remembers.
        journal: Its journal.
    """

    def __init__(self, log: MemoryLog, *, vms: int = 1) -> None:
        self.clock = FakeReactor()
        self.store = MemoryStore(log)
        self.origins = StreamOrigins()
        members = Members()
        for number in range(vms):
            member = Member(
                HolderId(f"vm-{number}"),
                Address(f"10.0.1.{number}", 4),
                ZoneId("z"),
            )
            write = join_record(member)
            members.apply(KeyedRecord(Offset(number), write.key, write.value))
        self.journal = OriginJournal(
            origins=self.origins,
            members=members,
            store=self.store,
            clock=self.clock,
            logger=get_logger(),
        )

    def add(self, number: int, origin: StreamOrigin = FIRST) -> None:
        """Adds the origin of a stream."""
        self.journal.add(stream_key(b"s%d" % number), origin)

    def found(self, number: int) -> StreamOrigin | None:
        """Reads the journal and returns a stream's origin."""
        self.journal.read.ask()
        return self.origins.get(stream_key(b"s%d" % number))


@pytest.fixture
def log() -> MemoryLog:
    """An empty store."""
    return MemoryLog()


@pytest.fixture
def writer(log: MemoryLog) -> JournalVm:
    """A VM that appends."""
    return JournalVm(log)


@pytest.fixture
def reader(log: MemoryLog) -> JournalVm:
    """Another VM."""
    return JournalVm(log)


def test_another_vm_finds_origins_in_one_append(
    log: MemoryLog, writer: JournalVm, reader: JournalVm
) -> None:
    for number in range(10):
        writer.add(number, SECOND if number % 2 else FIRST)
    writer.clock.run(MIN_DELAY_S)
    assert len(log.by_topic[Topic.ORIGINS]) == 1
    assert [reader.found(n) for n in (0, 1, 9)] == [FIRST, SECOND, SECOND]
    assert reader.found(10) is None


def test_what_was_read_is_not_read_again(
    writer: JournalVm, reader: JournalVm
) -> None:
    for number in range(3):
        writer.add(number)
        writer.clock.run(MIN_DELAY_S)
        assert reader.found(number) == FIRST
    # Each read goes on until there is nothing more.
    assert reader.store.calls == 2 * 3


def test_records_that_have_expired_are_passed_over(
    log: MemoryLog, writer: JournalVm, reader: JournalVm
) -> None:
    writer.add(0)
    writer.clock.run(MIN_DELAY_S)
    log.forget_history(Topic.ORIGINS)
    writer.add(1)
    writer.clock.run(MIN_DELAY_S)
    assert reader.found(0) is None
    assert reader.found(1) == FIRST


# Guards against losing what is to be appended in an outage of the store, and
# against calling it all the time.
def test_origins_of_an_outage_are_appended_after_it(
    writer: JournalVm, reader: JournalVm
) -> None:
    writer.store.fault = Fault.REFUSES
    for number in range(5):
        writer.add(number)
        writer.clock.run(1.0)
    assert writer.store.calls <= 5.0 / RETRY_S + 1
    writer.store.fault = Fault.NONE
    writer.clock.run(RETRY_S)
    assert [reader.found(number) for number in range(5)] == [FIRST] * 5


# Guards against memory that grows with the length of an outage.
def test_the_oldest_origins_are_dropped_in_a_long_outage(
    writer: JournalVm, reader: JournalVm
) -> None:
    writer.store.fault = Fault.REFUSES
    for number in range(MAX_PENDING + 100):
        writer.add(number)
    writer.clock.run(1.0)
    for number in range(MAX_PENDING + 100, MAX_PENDING + 200):
        writer.add(number)
    writer.store.fault = Fault.NONE
    writer.clock.run(RETRY_S + MIN_DELAY_S)
    assert reader.found(0) is None
    assert reader.found(MAX_PENDING + 199) == FIRST


# Guards against appends beyond the store's rate in a large system.
def test_many_vms_keep_to_the_common_rate_of_appends(log: MemoryLog) -> None:
    vms = 600
    writer = JournalVm(log, vms=vms)
    for number in range(200):
        writer.add(number)
        writer.clock.run(0.1)
    assert writer.store.calls <= 20.0 * APPENDS_PER_S / vms + 1


# Guards against a failed read that calls the store without end.
def test_a_store_without_its_history_ends_the_read(
    log: MemoryLog, writer: JournalVm, reader: JournalVm
) -> None:
    writer.add(0)
    writer.clock.run(MIN_DELAY_S)
    assert reader.found(0) == FIRST
    reader.store.fault = Fault.REFUSES
    assert reader.found(1) is None


def test_an_unreadable_record_hides_no_other(
    log: MemoryLog, writer: JournalVm, reader: JournalVm
) -> None:
    later = cbor2.dumps([2, {"service": "engines"}])
    log.put(Topic.ORIGINS, KeyedWrite(b"", later), KeyedWrite(b"", b"\xff"))
    writer.add(0)
    writer.clock.run(MIN_DELAY_S)
    assert reader.found(0) == FIRST


# The bytes are those of the first release that writes such records.
def test_the_record_of_origins_is_written_as_released() -> None:
    write = encode_origins({stream_key(b"s1"): FIRST})
    assert write.key == b""
    assert write.value is not None
    assert write.value.hex() == (
        "8201818367656e67696e657362763150a240618b9e4162f59a275e3f454930d1"
    )


@given(value=st.binary())
def test_no_record_of_origins_ends_the_reader(value: bytes) -> None:
    decoded = decode_origins(KeyedRecord(Offset(0), b"", value))
    assert isinstance(decoded, dict | UnreadableRecord)


@given(
    value=st.recursive(
        st.none() | st.booleans() | st.integers() | st.text() | st.binary(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
)
def test_no_list_of_origins_ends_the_reader(value: object) -> None:
    record = KeyedRecord(Offset(0), b"", cbor2.dumps([1, value]))
    assert isinstance(decode_origins(record), dict | UnreadableRecord)
