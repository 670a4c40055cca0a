"""VMs of this build beside VMs of earlier builds, 7d78535 and 4ad4a61."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.membership import Member
from lycheestall.entry.origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from lycheestall.entry.peer_messages import (
    AskGranted,
    AskTokens,
    GrantedTokens,
    Handover,
    PeerMessage,
    PeerReply,
    SettleTokens,
    StoreReport,
    Survey,
    TokenAnswer,
    decode,
    encode,
)
from lycheestall.entry.routed_store import RoutedStore
from lycheestall.entry.store import KeyedRecord, Records, Topic
from lycheestall.entry.stream_origins import stream_key
from lycheestall.entry.token_ledger import (
    Allocation,
    HolderId,
    TurnRef,
    decode_allocation,
    encode_allocation,
)
from lycheestall.entry.token_messages import OutageGrant
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, ProgramId, SoftwareVersion, ZoneId
from lycheestall.logs import get_logger
from tests.entry.fake_network import FakeReactor
from tests.entry.memory_store import MemoryLog, MemoryStore

STREAM = stream_key(b"s0")
ENGINES = ServiceId("engines")
V1 = SoftwareVersion("v1")
NEW_TOPICS = (Topic.VERSIONS, Topic.ORIGINS)
"""Topics that VMs of the build before don't know."""

RELAY = Member(HolderId("old"), Address("10.0.1.1", 4), ZoneId("z"))


class EarlierVm:
    """Relays calls of the store as a VM of the build before."""

    def call(
        self, address: Address, message: Any, *, timeout_s: float
    ) -> Deferred[PeerReply | None]:
        """Returns no reply to what such a VM answers with status 400."""
        if message.topic in NEW_TOPICS:
            return succeed(None)
        return succeed(Records((), Offset(0)))


@pytest.fixture
def store() -> RoutedStore:
    """A store that is reached through a VM of the build before."""
    routed = RoutedStore(
        MemoryStore(MemoryLog()),
        EarlierVm(),  # type: ignore[arg-type]
        FakeReactor(),
        get_logger(),
    )
    routed.relay_through(RELAY)
    return routed


# Guards against losing the way to the store because the VM that relays calls
# does not know a topic.
@pytest.mark.parametrize("topic", NEW_TOPICS)
def test_a_relay_that_does_not_know_a_topic_is_kept(
    store: RoutedStore, topic: Topic
) -> None:
    store.newest(topic)
    store.read(topic, Offset(0))
    store.append(topic, [], None)
    assert store.relayed


def test_a_relay_that_does_not_reply_about_the_ledger_is_dropped(
    store: RoutedStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(EarlierVm, "call", lambda *_, **__: succeed(None))
    store.read(Topic.LEDGER, Offset(0))
    assert not store.relayed


# The bytes are those of the build before.
@pytest.mark.parametrize(
    ("message", "data"),
    [
        (
            HoldStreamOrigin(STREAM, ENGINES, V1),
            "8270486f6c6453747265616d4f726967696e8350100930d3f531848f41a931b8"
            "6867320667656e67696e6573627631",
        ),
        (
            FindStreamOrigin(STREAM, ENGINES, 6.0),
            "827046696e6453747265616d4f726967696e8350100930d3f531848f41a931b8"
            "6867320667656e67696e6573fb4018000000000000",
        ),
        (
            FoundStreamOrigin(ENGINES, V1, (V1,), True),
            "8271466f756e6453747265616d4f726967696e8467656e67696e657362763181"
            "627631f5",
        ),
        (
            FoundStreamOrigin(None, None, (), False),
            "8271466f756e6453747265616d4f726967696e84f6f680f4",
        ),
    ],
)
def test_messages_about_origins_are_those_of_the_build_before(
    message: PeerMessage | PeerReply, data: str
) -> None:
    assert encode(message).hex() == data
    assert decode(bytes.fromhex(data)) == message


A, B, P = HolderId("a"), HolderId("b"), ProgramId("p")


# The bytes are those of 4ad4a61.
@pytest.mark.parametrize(
    ("message", "data"),
    [
        (Survey(A, "v"), "82665375727665798261616176"),
        (
            AskTokens(A, "v", P, 3, 280, 2240, 560),
            "826941736b546f6b656e7387616161766170031901181908c0190230",
        ),
        (TokenAnswer(True, False), "826b546f6b656e416e7377657282f5f4"),
        (AskGranted(A, "v", P), "826a41736b4772616e74656483616161766170"),
        (GrantedTokens(True, 280), "826d4772616e746564546f6b656e7382f5190118"),
        (
            SettleTokens(A, P, 3, 70),
            "826c536574746c65546f6b656e738461616170031846",
        ),
        (
            Handover(A, (OutageGrant(P, B, 280),)),
            "826848616e646f766572826161818361706162190118",
        ),
        (
            StoreReport(
                A, False, True, "v", (KeyedRecord(Offset(4), b"k", b"w"),)
            ),
            "826b53746f72655265706f7274856161f4f56176818304416b4177",
        ),
    ],
)
def test_messages_about_tokens_are_those_of_the_build_before(
    message: PeerMessage | PeerReply, data: str
) -> None:
    assert encode(message).hex() == data
    assert decode(bytes.fromhex(data)) == message


# 4ad4a61 reads the first two fields of a record, and any other field that is
# exactly the flag; it must not take the turns for the flag.
def test_turns_in_a_record_are_a_field_that_the_build_before_skips() -> None:
    turns = frozenset({TurnRef(A, 5), TurnRef(B, 7)})
    allocation = Allocation(
        560, 280, maybe_incomplete=True, outage_turns=turns
    )
    write = encode_allocation(P, A, allocation)
    assert write.value == b"560,280,d,g5;b~7"
    record = decode_allocation(KeyedRecord(Offset(1), write.key, write.value))
    assert record is not None
    assert record.allocation == allocation
    plain = decode_allocation(KeyedRecord(Offset(1), write.key, b"560,280"))
    assert plain is not None
    assert plain.allocation == Allocation(560, 280)
