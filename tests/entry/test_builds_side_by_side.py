"""VMs of this build beside VMs of the build before, 7d78535."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed

from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.members import Member
from lycheestall.entry.origin_messages import (
    FindStreamOrigin,
    FoundStreamOrigin,
    HoldStreamOrigin,
)
from lycheestall.entry.peer_messages import (
    PeerMessage,
    PeerReply,
    decode,
    encode,
)
from lycheestall.entry.routed_store import RoutedStore
from lycheestall.entry.store import Records, Topic
from lycheestall.entry.stream_origins import stream_key
from lycheestall.entry.token_ledger import HolderId
from lycheestall.entry.vm_settings import Address
from lycheestall.ids import Offset, SoftwareVersion, ZoneId
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
