"""Large configurations in zones of many VMs.

The pattern: all VMs of a zone want the same megabyte at the same time, after
a change or after a restart of all.
"""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.task import Clock

from lycheestall.entry.configuration_relay import (
    DIRECT_S,
    MIN_ZONE_VMS,
    ConfigurationRelay,
)
from lycheestall.entry.membership import Member, Members, join_record
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.placement.target_chooser import TargetChooser
from lycheestall.entry.store import KeyedRecord, KeyedWrite, Topic
from lycheestall.entry.store_health import StoreHealth
from lycheestall.entry.store_view import StoreView
from lycheestall.entry.target_table import TargetTable
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, ZoneId
from lycheestall.logs import get_logger
from lycheestall.platform.store_records import PlatformRecordDecoder
from lycheestall.polling import Poller
from tests.entry.entry_vm_harness import ROUTES
from tests.entry.memory_store import Fault, MemoryLog, MemoryStore

ZONE = ZoneId("zone")
VMS = MIN_ZONE_VMS + 2
BOUND_S = 3.0
"""Seconds within which a change has to be in force."""


class ZoneVm:
    """A VM that follows the configuration."""

    def __init__(self, number: int, zone: SimulatedZone) -> None:
        self.address = Address(f"10.0.0.{number}", 1)
        self.store = MemoryStore(zone.log)
        self._zone = zone
        logger = get_logger()
        table = TargetTable()
        peers: Any = self
        self.relay = ConfigurationRelay(
            address=self.address,
            zone=ZONE,
            members=zone.members,
            peers=peers,
            clock=zone.clock,
            logger=logger,
        )
        self.view = StoreView(
            store=self.store,
            health=StoreHealth(logger, "", on_recovered=lambda now: None),
            decoder=PlatformRecordDecoder(),
            table=table,
            chooser=TargetChooser(table),
            reactor=zone.clock,
            logger=logger,
            relay=self.relay,
            members_known=lambda: True,
            on_restarted=lambda process: None,
        )
        self.poller = Poller(
            "configuration",
            self.view.poll_configuration,
            interval_s=0.05,
            clock=zone.clock,
        )
        self.poller.run()

    @property
    def version(self) -> int:
        """Version in force."""
        return self.view.configuration.version

    def call(
        self, address: Address, message: PeerMessage, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Calls another VM of the zone."""
        result: Deferred[PeerReply | None] = Deferred(lambda _: None)
        self._zone.clock.callLater(timeout_s, _fire, result, None)
        peer = self._zone.by_address.get(address)
        if peer is None or address in self._zone.frozen:
            return result
        received: Any = decode(encode(message))
        reply: Any = maybeDeferred(peer.relay.answer, received)
        reply.addCallback(self._replied, result, address)
        return result

    def _replied(
        self,
        reply: PeerReply,
        result: Deferred[PeerReply | None],
        address: Address,
    ) -> None:
        zone = self._zone
        if address in zone.by_address and address not in zone.frozen:
            _fire(result, decode(encode(reply)))


class SimulatedZone:
    """A zone of VMs over one store."""

    def __init__(self, vms: int = VMS) -> None:
        self.clock: Any = Clock()
        self.log = MemoryLog()
        self.members = Members()
        self.by_address: dict[Address, ZoneVm] = {}
        self.frozen: set[Address] = set()
        self._version = 0
        self.publish()
        for number in range(vms):
            self._introduce(number)
        for number in range(vms):
            vm = ZoneVm(number, self)
            self.by_address[vm.address] = vm
        self.advance(2.0)

    def publish(self) -> int:
        """Publishes a configuration; returns its version."""
        self._version += 1
        document = {"version": self._version, "routes": ROUTES, "services": []}
        write = KeyedWrite(b"config", orjson.dumps(document))
        self.log.put(Topic.CONFIGURATION, write)
        return self._version

    def advance(self, seconds: float) -> None:
        """Advances the clock in small steps."""
        for _ in range(int(seconds / 0.05)):
            self.clock.advance(0.05)

    @property
    def vms(self) -> list[ZoneVm]:
        """All VMs."""
        return list(self.by_address.values())

    def reader(self) -> ZoneVm:
        """The VM that reads for the others."""
        address = next(
            address for vm in self.vms if (address := vm.relay.reader())
        )
        return self.by_address[address]

    def _introduce(self, number: int) -> None:
        address = Address(f"10.0.0.{number}", 1)
        member = Member(HolderId(f"vm-{number}"), address, ZONE)
        write = join_record(member)
        self.members.apply(KeyedRecord(Offset(number), write.key, write.value))


def _fire(result: Deferred[Any], value: Any) -> None:
    if not result.called:
        result.callback(value)


@pytest.fixture
def zone() -> SimulatedZone:
    """A zone that is large enough for a reader."""
    return SimulatedZone()


def test_one_vm_of_a_large_zone_reads_the_store(zone: SimulatedZone) -> None:
    before = [vm.store.calls for vm in zone.vms]
    version = zone.publish()
    zone.advance(2.0)
    assert [vm.version for vm in zone.vms] == [version] * VMS
    readers = sum(
        vm.store.calls > calls
        for vm, calls in zip(zone.vms, before, strict=True)
    )
    assert readers == 1


def test_the_vms_of_a_small_zone_read_for_themselves() -> None:
    zone = SimulatedZone(vms=MIN_ZONE_VMS - 1)
    assert all(vm.relay.reader() is None for vm in zone.vms)
    assert all(vm.version == 1 for vm in zone.vms)


@pytest.mark.parametrize("fault", ["frozen", "cut off", "gone"])
def test_a_change_is_in_force_in_time_without_the_reader(
    zone: SimulatedZone, fault: str
) -> None:
    reader = zone.reader()
    if fault == "frozen":
        zone.frozen.add(reader.address)
        reader.poller.stop()
    elif fault == "cut off":
        reader.store.fault = Fault.REFUSES
    else:
        reader.poller.stop()
        del zone.by_address[reader.address]
    version = zone.publish()
    zone.advance(BOUND_S)
    others = [vm for vm in zone.vms if vm is not reader]
    assert all(vm.version == version for vm in others)


def test_the_reader_is_asked_again_later(zone: SimulatedZone) -> None:
    reader = zone.reader()
    reader.store.fault = Fault.REFUSES
    zone.advance(BOUND_S)
    reader.store.fault = Fault.NONE
    zone.advance(DIRECT_S + 1.0)
    before = sum(vm.store.calls for vm in zone.vms if vm is not reader)
    version = zone.publish()
    zone.advance(2.0)
    after = sum(vm.store.calls for vm in zone.vms if vm is not reader)
    assert after == before
    assert all(vm.version == version for vm in zone.vms)


def test_an_older_configuration_never_replaces_a_newer_one(
    zone: SimulatedZone,
) -> None:
    old = zone.log.by_topic[Topic.CONFIGURATION][0]
    version = zone.publish()
    zone.advance(2.0)
    zone.log.put(Topic.CONFIGURATION, KeyedWrite(old.key, old.value))
    zone.advance(2.0)
    assert all(vm.version == version for vm in zone.vms)


def test_vms_that_start_together_wait_for_their_reader() -> None:
    zone = SimulatedZone()
    reader = zone.reader()
    others = [vm for vm in zone.vms if vm is not reader]
    assert all(vm.version == 1 for vm in others)
    assert sum(vm.store.calls for vm in others) == 0


# Guards against a final refusal that rests on nothing.
def test_no_evidence_is_newer_than_the_last_read_of_the_store(
    zone: SimulatedZone,
) -> None:
    cut_at = zone.clock.seconds()
    for vm in zone.vms:
        vm.store.fault = Fault.REFUSES
    for _ in range(100):
        zone.advance(0.05)
        now = zone.clock.seconds()
        for vm in zone.vms:
            assert now - vm.view.evidence.age_s(now) <= cut_at
    assert not any(vm.view.evidence.is_current(now) for vm in zone.vms)
    for vm in zone.vms:
        vm.store.fault = Fault.NONE
    zone.advance(BOUND_S)
    now = zone.clock.seconds()
    assert all(vm.view.evidence.age_s(now) < 3.7 for vm in zone.vms)
