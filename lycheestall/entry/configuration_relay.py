"""Passes configurations on within an availability zone.

A configuration of thousands of routes, read by hundreds of VMs at once, keeps
the store busy for seconds, and budgets with it. In a zone of many VMs one of
them, the zone's reader, follows the store; the others ask it. Whoever gets no
fresh reply reads the store itself.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, succeed

from ..ids import Offset, ZoneId
from ..logs import Logger
from ..rendezvous import rendezvous, rendezvous_order
from .membership import Members
from .peer_rpc import PeerClient
from .relay_messages import AskConfiguration, RelayedConfiguration
from .store import KeyedRecord, StoreFailed
from .vm_settings import Address

__all__ = ["ConfigurationRelay", "ReaderState"]

MIN_ZONE_VMS = 8
"""VMs in a zone from which one reads for all."""

ASK_WAIT_S = 1.5
"""Time for which the zone's reader may hold a question until it has a newer
configuration."""

ASK_TIMEOUT_S = 0.4
"""Timeout of a question, in addition to that time."""

NOW_TIMEOUT_S = 0.25
"""Timeout of a question whose reply must not be held."""

NOW_PEERS = 3
"""VMs that are asked such a question, in different zones if possible."""

DIRECT_S = 10.0
"""Seconds for which a VM reads the store itself after a question without a
fresh reply."""

STARTUP_PATIENCE_S = 1.0
"""Seconds after the start in which a VM asks again instead: the VMs of a zone
may all have started together."""

MAX_AGE_S = 2.0
"""Age of its last read from which a reader no longer answers."""


@dataclass(frozen=True, slots=True)
class ReaderState:
    """What a zone's reader has read.

    Attributes:
        record: The newest record of the configuration.
        end: Offset to read from next.
        read_at: When the last successful read of the store started.
    """

    record: KeyedRecord
    end: Offset
    read_at: float


@dataclass(slots=True)
class _Question:
    start: Offset
    reply: Deferred[RelayedConfiguration | StoreFailed]


class ConfigurationRelay:
    """Asks the zone's reader, or answers as the zone's reader.

    Args:
        address: Where peers reach this VM.
        zone: Its availability zone.
        members: The VMs of the system.
        peers: Calls them.
        clock: Time source and timers.
        logger: Receives changes of the way to the store.
    """

    def __init__(
        self,
        *,
        address: Address,
        zone: ZoneId,
        members: Members,
        peers: PeerClient,
        clock: Any,
        logger: Logger,
    ) -> None:
        self._address = address
        self._zone = zone
        self._members = members
        self._peers = peers
        self._clock = clock
        self._logger = logger
        self._started_at: float = clock.seconds()
        self._direct_until = float("-inf")
        self._state: ReaderState | None = None
        self._compressed: tuple[Offset, bytes] | None = None
        self._questions: list[_Question] = []

    @property
    def starting(self) -> bool:
        """Whether the VM has just started."""
        age_s = self._clock.seconds() - self._started_at
        return bool(age_s < STARTUP_PATIENCE_S)

    def reader(self) -> Address | None:
        """Returns the VM to ask; None if this one reads the store itself."""
        if self._clock.seconds() < self._direct_until:
            return None
        by_name: dict[str, Address] = {}
        for member in self._members.all():
            if member.zone == self._zone:
                address = member.address
                by_name[f"{address.host}:{address.port}"] = address
        if len(by_name) < MIN_ZONE_VMS:
            return None
        name = rendezvous(self._zone, by_name)
        reader = None if name is None else by_name[name]
        return None if reader == self._address else reader

    async def ask(
        self, reader: Address, start: Offset
    ) -> RelayedConfiguration | None:
        """Asks the zone's reader for records from an offset on.

        Returns:
            Its reply, or None if the store has to be read instead.
        """
        reply = await self._peers.call(
            reader,
            AskConfiguration(start, ASK_WAIT_S),
            timeout_s=ASK_WAIT_S + ASK_TIMEOUT_S,
        )
        if isinstance(reply, RelayedConfiguration):
            return reply
        if not self.starting:
            self._direct_until = self._clock.seconds() + DIRECT_S
            self._logger.info(
                "configuration read directly", reader=reader.host
            )
        return None

    async def ask_now(self, start: Offset) -> list[RelayedConfiguration]:
        """Asks some VMs that may read the store for records from an offset on.

        Args:
            start: Offset from which on records are not known.

        Returns:
            The replies of those that have read the store recently.
        """
        calls = [
            self._peers.call(
                address,
                AskConfiguration(start, 0.0),
                timeout_s=NOW_TIMEOUT_S,
            )
            for address in self._readers()[:NOW_PEERS]
        ]
        replies = await DeferredList(calls, consumeErrors=True)
        return [
            reply
            for ok, reply in replies
            if ok and isinstance(reply, RelayedConfiguration)
        ]

    def _readers(self) -> list[Address]:
        """Returns other VMs that may read the store, one of each zone first.

        Where a zone has a reader, the next in the ranking is one as well
        while the reader has lost the store.
        """
        by_zone: dict[ZoneId, dict[str, Address]] = {}
        for member in self._members.all():
            address = member.address
            name = f"{address.host}:{address.port}"
            by_zone.setdefault(member.zone, {})[name] = address
        first: list[Address] = []
        further: list[Address] = []
        own = f"{self._address.host}:{self._address.port}"
        for zone in sorted(by_zone, key=lambda z: (z != self._zone, z)):
            by_name = by_zone[zone]
            reads_alone = len(by_name) >= MIN_ZONE_VMS
            names = rendezvous_order(zone if reads_alone else own, by_name)
            others = [
                by_name[name]
                for name in (names[:2] if reads_alone else names)
                if name != own
            ]
            first.extend(others[:1])
            further.extend(others[1:])
        return first + further

    def update(self, state: ReaderState) -> None:
        """Notes what was read from the store; answers held questions."""
        self._state = state
        held, self._questions = self._questions, []
        for question in held:
            if question.start <= state.record.offset:
                self._answer(question)
            else:
                self._questions.append(question)

    def read_failed(self) -> None:
        """Tells all who wait that the store does not reply."""
        held, self._questions = self._questions, []
        for question in held:
            self._fire(question, StoreFailed("the reader lost the store"))

    def answer(
        self, message: AskConfiguration
    ) -> Deferred[RelayedConfiguration | StoreFailed]:
        """Answers a question, at once or when there is something newer."""
        state = self._state
        if state is None or not self._is_fresh(state):
            return succeed(StoreFailed("nothing fresh has been read"))
        question = _Question(message.start, Deferred(lambda _: None))
        if message.start <= state.record.offset:
            self._answer(question)
            return question.reply
        self._questions.append(question)
        self._clock.callLater(message.wait_s, self._wait_ended, question)
        return question.reply

    def _wait_ended(self, question: _Question) -> None:
        if question not in self._questions:
            return
        self._questions.remove(question)
        self._answer(question)

    def _answer(self, question: _Question) -> None:
        state = self._state
        if state is None or not self._is_fresh(state):
            self._fire(question, StoreFailed("the last read is too old"))
            return
        record = state.record
        value: bytes | None = None
        if question.start <= record.offset:
            value = self._compress(record)
        self._fire(
            question,
            RelayedConfiguration(record.offset, record.key, value, state.end),
        )

    def _is_fresh(self, state: ReaderState) -> bool:
        return bool(self._clock.seconds() - state.read_at < MAX_AGE_S)

    def _compress(self, record: KeyedRecord) -> bytes:
        if self._compressed is None or self._compressed[0] != record.offset:
            compressed = zlib.compress(record.value or b"")
            self._compressed = (record.offset, compressed)
        return self._compressed[1]

    @staticmethod
    def _fire(
        question: _Question, reply: RelayedConfiguration | StoreFailed
    ) -> None:
        if not question.reply.called:
            question.reply.callback(reply)
