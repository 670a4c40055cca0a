"""Property tests of the digest chain and of receipts."""

from __future__ import annotations

import copy
from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.chat_body import Message
from lycheestall.history import Extension, Fault, History, Mismatch
from lycheestall.ids import AccountId, CallNumber, Offset, ProgramId
from lycheestall.ledger_program import Spend
from lycheestall.receipts import BadReceipt, Receipt, ReceiptSigner

ACCOUNT = AccountId("snowline")
PROGRAM = ProgramId("p1")
texts = st.text(min_size=1, max_size=6)
turns = st.lists(st.tuples(texts, texts), min_size=1, max_size=4)


def user(text: str) -> Message:
    return {"role": "user", "content": text}


def assistant(text: str) -> Message:
    return {"role": "assistant", "content": text}


def grown(
    history: History, spoken: list[tuple[str, str]]
) -> tuple[list[Message], list[list[Message]]]:
    """Runs whole turns; returns the messages and every earlier state."""
    messages: list[Message] = []
    earlier: list[list[Message]] = []
    for number, (asked, answered) in enumerate(spoken, 1):
        earlier.append(list(messages))
        messages.append(user(asked))
        extension = history.check(messages)
        assert isinstance(extension, Extension)
        answer = assistant(answered)
        history.commit(extension, answer, number=CallNumber(number))
        messages.append(answer)
    return messages, earlier


@given(spoken=turns, extra=texts)
def test_whole_history_is_taken(
    spoken: list[tuple[str, str]], extra: str
) -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, _ = grown(history, spoken)
    tool = {"role": "tool", "content": extra, "tool_call_id": "t"}
    assert isinstance(history.check([*messages, tool]), Extension)
    assert isinstance(history.check([*messages, user(extra)]), Extension)


@given(spoken=turns, extra=texts, data=st.data())
def test_stale_shortened_and_edited_histories_are_found(
    spoken: list[tuple[str, str]], extra: str, data: st.DataObject
) -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, earlier = grown(history, spoken)
    stale = data.draw(st.sampled_from(earlier))
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


@given(spoken=turns, other=turns, extra=texts)
def test_mixed_histories_are_found(
    spoken: list[tuple[str, str]], other: list[tuple[str, str]], extra: str
) -> None:
    history = History(ACCOUNT, PROGRAM)
    mine, _ = grown(history, spoken)
    theirs, _ = grown(History(ACCOUNT, ProgramId("p2")), other)
    mixed = [*mine, *theirs, user(extra)]
    assert history.check(mixed) == Mismatch(Fault.FOREIGN_ANSWER, len(mine))
    if theirs[: len(mine)] != mine:
        assert isinstance(history.check([*theirs, user(extra)]), Mismatch)


@given(spoken=turns)
def test_equal_messages_of_other_programs_have_other_digests(
    spoken: list[tuple[str, str]],
) -> None:
    first, second = History(ACCOUNT, PROGRAM), History(ACCOUNT, ProgramId("q"))
    grown(first, spoken)
    grown(second, spoken)
    assert first.points[-1].digest != second.points[-1].digest


class _Undigested(History):
    """Breaks the rule on digests: only lengths count."""

    def _digests(self, messages: Sequence[Message]) -> list[bytes]:
        return [b""] * (len(messages) + 1)


def edited_is_found(history: History) -> None:
    messages, _ = grown(history, [("a", "b"), ("c", "d")])
    messages[0]["content"] = "x"
    assert isinstance(history.check([*messages, user("e")]), Mismatch)


def test_a_chain_without_digests_is_found() -> None:
    edited_is_found(History(ACCOUNT, PROGRAM))
    with pytest.raises(AssertionError):
        edited_is_found(_Undigested(ACCOUNT, PROGRAM))


def test_parallel_answers_are_each_a_point() -> None:
    history = History(ACCOUNT, PROGRAM)
    messages, _ = grown(history, [("a", "b")])
    left, right = [*messages, user("l")], [*messages, user("r")]
    first, second = history.check(left), history.check(right)
    assert isinstance(first, Extension) and isinstance(second, Extension)
    history.commit(first, assistant("L"), number=CallNumber(2))
    history.commit(second, assistant("R"), number=CallNumber(3))
    for branch, answer in ((left, "L"), (right, "R")):
        longer = [*branch, assistant(answer), user("on")]
        assert isinstance(history.check(longer), Extension)
    assert isinstance(history.check([*messages, user("x")]), Mismatch)


def test_answers_compare_by_what_clients_send_back() -> None:
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


def test_any_key_verifies_and_the_newest_signs() -> None:
    history = History(ACCOUNT, PROGRAM)
    grown(history, [("a", "b")])
    old = ReceiptSigner([b"old"]).sign(receipt(history))
    rotated = ReceiptSigner([b"new", b"old"])
    assert rotated.verify(old) == receipt(history)
    new = rotated.sign(receipt(history))
    assert isinstance(ReceiptSigner([b"old"]).verify(new), BadReceipt)


@given(position=st.integers(0, 400), character=st.sampled_from("Aa0_-"))
def test_a_changed_receipt_is_found(position: int, character: str) -> None:
    history = History(ACCOUNT, PROGRAM)
    grown(history, [("a", "b")])
    signer = ReceiptSigner([b"key"])
    text = signer.sign(receipt(history))
    position %= len(text)
    changed = text[:position] + character + text[position + 1 :]
    found = signer.verify(changed)
    assert isinstance(found, BadReceipt) or found == receipt(history)


@given(text=st.text(max_size=60))
def test_foreign_text_is_no_receipt(text: str) -> None:
    assert isinstance(ReceiptSigner([b"key"]).verify(text), BadReceipt)
