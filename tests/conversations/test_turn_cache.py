"""Turns in memory: limits, expiry, what must not be evicted."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from lycheestall.conversations import (
    ConversationTurn,
    ConversationTurnId,
    TurnCache,
)

LIMIT_BYTES = 5_000


def turn(name: str, *, size: int = 400) -> ConversationTurn:
    return ConversationTurn(
        turn_id=ConversationTurnId(name),
        ancestors=(),
        input=b"i" * size,
        output=b"o\n",
        retention_s=60.0,
    )


def test_a_turn_expires_after_its_retention() -> None:
    cache = TurnCache(max_bytes=LIMIT_BYTES)
    cache.add(turn("a"), now=10.0, record_expires_at=200)
    assert cache.expire(69.9) == 0
    assert cache.get(ConversationTurnId("a")) is not None
    assert cache.expire(70.0) == 1
    assert cache.get(ConversationTurnId("a")) is None
    assert cache.size == 0


def test_a_turn_is_kept_as_long_as_one_that_continues_from_it() -> None:
    cache = TurnCache(max_bytes=LIMIT_BYTES)
    cache.add(turn("a"), now=0.0, record_expires_at=200)
    cache.extend([ConversationTurnId("a")], retention_s=60.0, now=50.0)
    cache.expire(109.0)
    assert cache.get(ConversationTurnId("a")) is not None


def test_the_least_recently_used_turns_are_evicted_first() -> None:
    cache = TurnCache(max_bytes=LIMIT_BYTES)
    for name in ("a", "b", "c", "d"):
        cache.add(turn(name), now=0.0, record_expires_at=200)
    cache.get(ConversationTurnId("a"))
    cache.add(turn("e"), now=0.0, record_expires_at=200)
    assert cache.get(ConversationTurnId("a")) is not None
    assert cache.get(ConversationTurnId("b")) is None
    assert cache.evicted == 1


def test_another_turn_of_the_same_id_replaces_the_first() -> None:
    cache = TurnCache(max_bytes=LIMIT_BYTES)
    cache.add(turn("a"), now=0.0, record_expires_at=200)
    other = turn("a", size=30)
    cache.add(other, now=0.0, record_expires_at=None)
    assert cache.get(ConversationTurnId("a")) == other
    assert cache.size == other.size


class CacheMachine(RuleBasedStateMachine):
    """Random use of a cache beside a plain model of it."""

    def __init__(self) -> None:
        super().__init__()
        self.cache = TurnCache(max_bytes=LIMIT_BYTES)
        self.now = 0.0
        self.unrecorded: dict[ConversationTurnId, float] = {}

    @precondition(lambda self: self.cache.has_room(1_000))
    @rule(name=st.integers(0, 30), recorded=st.booleans())
    def add(self, name: int, recorded: bool) -> None:
        """Adds a turn."""
        item = turn(str(name), size=50 * (name + 1) % 400)
        if self.cache.get(item.turn_id) is not None:
            return
        self.cache.add(
            item,
            now=self.now,
            record_expires_at=900 if recorded else None,
        )
        if not recorded:
            self.unrecorded[item.turn_id] = self.now + item.retention_s

    @rule(name=st.integers(0, 30))
    def record(self, name: int) -> None:
        """Notes that the store has a turn."""
        turn_id = ConversationTurnId(str(name))
        self.cache.mark_recorded(turn_id, 900)
        self.unrecorded.pop(turn_id, None)

    @rule(seconds=st.floats(0.0, 50.0))
    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.now += seconds
        self.cache.expire(self.now)
        self.unrecorded = {
            name: end
            for name, end in self.unrecorded.items()
            if end > self.now
        }

    @invariant()
    def unrecorded_turns_are_never_evicted(self) -> None:
        """Turns that only this VM may hold stay."""
        for turn_id in self.unrecorded:
            assert self.cache.get(turn_id) is not None

    @invariant()
    def memory_is_bounded(self) -> None:
        """The limit holds."""
        assert self.cache.size <= LIMIT_BYTES
        assert self.cache.size >= 0


TestCacheMachine = CacheMachine.TestCase
TestCacheMachine.settings = settings(max_examples=60, deadline=None)
