"""Conversations put together from turns."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheestall.conversations import (
    Chain,
    ConversationTurn,
    ConversationTurnId,
    MissingTurns,
    find_chain,
    prompt_body,
)


def turn(name: str, *ancestors: str, text: bytes = b"") -> ConversationTurn:
    return ConversationTurn(
        turn_id=ConversationTurnId(name),
        ancestors=tuple(ConversationTurnId(a) for a in ancestors),
        input=text or name.encode(),
        output=f"re {name}\n".encode(),
        retention_s=60.0,
    )


def test_a_prompt_is_all_earlier_turns_and_the_new_input() -> None:
    turns = {"a": turn("a"), "b": turn("b", "a"), "c": turn("c", "b", "a")}
    chain = find_chain(
        ConversationTurnId("c"), lambda name: turns.get(str(name))
    )
    assert isinstance(chain, Chain)
    assert prompt_body(chain, b"new") == b"are a\nbre b\ncre c\nnew"
    assert chain.ids_newest_first == ("c", "b", "a")


def test_the_first_turn_of_a_conversation_is_its_own_prompt() -> None:
    assert prompt_body(None, b"new") == b"new"


def test_two_turns_that_continue_from_one_share_only_what_is_before() -> None:
    turns = {
        "a": turn("a"),
        "b1": turn("b1", "a"),
        "b2": turn("b2", "a"),
    }
    for name in ("b1", "b2"):
        chain = find_chain(
            ConversationTurnId(name), lambda key: turns.get(str(key))
        )
        assert isinstance(chain, Chain)
        assert prompt_body(chain, b"").count(b"re b") == 1


@given(st.sets(st.integers(0, 9)))
def test_every_missing_ancestor_is_named(lost: set[int]) -> None:
    names = [str(number) for number in range(10)]
    turns = {
        name: turn(name, *reversed(names[:number]))
        for number, name in enumerate(names)
        if number not in lost
    }
    result = find_chain(
        ConversationTurnId("9"), lambda name: turns.get(str(name))
    )
    if not lost:
        assert isinstance(result, Chain)
        assert result.size == sum(
            len(t.input) + len(t.output) for t in turns.values()
        )
    elif 9 in lost:
        assert result == MissingTurns((ConversationTurnId("9"),))
    else:
        missing = tuple(str(n) for n in sorted(lost, reverse=True))
        assert result == MissingTurns(
            tuple(ConversationTurnId(name) for name in missing)
        )
