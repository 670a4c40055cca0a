"""Property tests of the hash chain over messages and of receipts."""

from __future__ import annotations

import copy
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.chat_body import Message
from lycheestall.history import Extension, History, Mismatch, MismatchKind
from lycheestall.ids import AccountId, CallNumber, Offset, ProgramId
from lycheestall.ledger_program import Spend
from lycheestall.receipts import InvalidReceipt, Receipt, ReceiptSigner

ACCOUNT = AccountId("snowline")
PROGRAM = ProgramId("p1")
texts = st.text(min_size=1, max_size=6)
turns = st.lists(st.tuples(texts, texts), min_size=1, max_size=4)


def user(text: str) -> Message:
    return {"role": "user", "content": text}


def assistant(text: str) -> Message:
    return {"role": "assistant", "content": text}


def run_turns(
    history: History, texts_by_turn: list[tuple[str, str]]
) -> tuple[list[Message], list[list[Message]]]:
    """Commits complete turns.

    Returns:
        All messages, and the messages before each turn.
    """
    messages: list[Message] = []
    prefixes: list[list[Message]] = []
    for number, (asked, answered) in enumerate(texts_by_turn, 1):
        prefixes.append(list(messages))
        messages.append(user(asked))
        extension = history.check(messages)
        assert isinstance(extension, Extension)
        answer = assistant(answered)
        history.commit(extension, answer, number=CallNumber(number))
        messages.append(answer)
    return messages, prefixes


@given(texts_by_turn=turns, extra=texts)
def test_complete_history_is_accepted(
    texts_by_turn: list[tuple[str, str]], extra: str
) -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, _ = run_turns(history, texts_by_turn)
    tool = {"role": "tool", "content": extra, "tool_call_id": "t"}
    assert isinstance(history.check([*messages, tool]), Extension)
    assert isinstance(history.check([*messages, user(extra)]), Extension)


@given(texts_by_turn=turns, extra=texts, data=st.data())
def test_stale_shortened_and_edited_histories_are_rejected(
    texts_by_turn: list[tuple[str, str]], extra: str, data: st.DataObject
) -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, prefixes = run_turns(history, texts_by_turn)
    stale = data.draw(st.sampled_from(prefixes))
    assert isinstance(history.check([*stale, user(extra)]), Mismatch)
    index = data.draw(st.integers(0, len(messages) - 1))
    dropped = messages[:index] + messages[index + 1 :]
    assert isinstance(history.check([*dropped, user(extra)]), Mismatch)
    edited = copy.deepcopy(messages)
    edited[index]["content"] += "x"
    assert isinstance(history.check([*edited, user(extra)]), Mismatch)
    assert isinstance(
        history.check([*edited, user(extra)], new_branch=True), Extension
    )


@given(texts_by_turn=turns, other=turns, extra=texts)
def test_history_with_another_programs_messages_is_rejected(
    texts_by_turn: list[tuple[str, str]],
    other: list[tuple[str, str]],
    extra: str,
) -> None:
    history = History(ACCOUNT, PROGRAM)
    mine, _ = run_turns(history, texts_by_turn)
    theirs, _ = run_turns(History(ACCOUNT, ProgramId("p2")), other)
    mixed = [*mine, *theirs, user(extra)]
    assert history.check(mixed) == Mismatch(
        MismatchKind.FOREIGN_ANSWER, len(mine)
    )
    if theirs[: len(mine)] != mine:
        assert isinstance(history.check([*theirs, user(extra)]), Mismatch)


@given(texts_by_turn=turns)
def test_digests_differ_between_programs(
    texts_by_turn: list[tuple[str, str]],
) -> None:
    first, second = History(ACCOUNT, PROGRAM), History(ACCOUNT, ProgramId("q"))
    run_turns(first, texts_by_turn)
    run_turns(second, texts_by_turn)
    assert first.points[-1].digest != second.points[-1].digest


class _LengthsOnly(History):
    """Fault: compares only the number of messages."""

    def _digests(self, messages: Sequence[Message]) -> list[bytes]:
        return [b""] * (len(messages) + 1)


def assert_edit_is_rejected(history: History) -> None:
    messages, _ = run_turns(history, [("a", "b"), ("c", "d")])
    messages[0]["content"] = "x"
    assert isinstance(history.check([*messages, user("e")]), Mismatch)


def test_digests_detect_an_edited_message() -> None:
    assert_edit_is_rejected(History(ACCOUNT, PROGRAM))
    with pytest.raises(AssertionError):
        assert_edit_is_rejected(_LengthsOnly(ACCOUNT, PROGRAM))


def test_each_concurrent_answer_is_a_point() -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, _ = run_turns(history, [("a", "b")])
    left, right = [*messages, user("l")], [*messages, user("r")]
    first, second = history.check(left), history.check(right)
    assert isinstance(first, Extension) and isinstance(second, Extension)
    history.commit(first, assistant("L"), number=CallNumber(2))
    history.commit(second, assistant("R"), number=CallNumber(3))
    for branch, answer in ((left, "L"), (right, "R")):
        longer = [*branch, assistant(answer), user("on")]
        assert isinstance(history.check(longer), Extension)
    assert isinstance(history.check([*messages, user("x")]), Mismatch)


def test_answer_matches_as_clients_send_it_back() -> None:
    history = History(ACCOUNT, PROGRAM)
    extension = history.check([user("a")])
    assert isinstance(extension, Extension)
    history.commit(extension, assistant("b"), number=CallNumber(1))
    sent = {
        "role": "assistant",
        "content": [{"type": "text", "text": "b"}],
        "refusal": None,
        "tool_calls": None,
    }
    assert isinstance(history.check([user("a"), sent]), Extension)


def receipt(history: History) -> Receipt:
    return Receipt(
        ACCOUNT, PROGRAM, 1, 3, history.points[-1], Spend(5, 1), Offset(9)
    )


def test_newest_key_signs_and_any_key_verifies() -> None:
    history = History(ACCOUNT, PROGRAM)
    run_turns(history, [("a", "b")])
    old = ReceiptSigner([b"old"]).sign(receipt(history))
    rotated = ReceiptSigner([b"new", b"old"])
    assert rotated.verify(old) == receipt(history)
    new = rotated.sign(receipt(history))
    assert isinstance(ReceiptSigner([b"old"]).verify(new), InvalidReceipt)


@given(position=st.integers(0, 400), character=st.sampled_from("Aa0_-"))
def test_modified_receipt_is_rejected(position: int, character: str) -> None:
    history = History(ACCOUNT, PROGRAM)
    run_turns(history, [("a", "b")])
    signer = ReceiptSigner([b"key"])
    text = signer.sign(receipt(history))
    position %= len(text)
    changed = text[:position] + character + text[position + 1 :]
    found = signer.verify(changed)
    assert isinstance(found, InvalidReceipt) or found == receipt(history)


@given(text=st.text(max_size=60))
def test_arbitrary_text_is_rejected(text: str) -> None:
    assert isinstance(ReceiptSigner([b"key"]).verify(text), InvalidReceipt)
