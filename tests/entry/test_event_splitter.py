"""How a stream of events is split, however its bytes arrive."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from lycheestall.entry.event_splitter import EVENT_SEPARATORS, EventSplitter

texts = st.lists(
    st.sampled_from([b"id: 7", b"data: a", b"\n", b"\r\n", b"\r", b"x"])
).map(b"".join)


def split(text: bytes) -> list[bytes]:
    """Cuts a text after each first separator; the last part is the rest."""
    parts: list[bytes] = []
    while True:
        ends = [
            text.find(separator) + len(separator)
            for separator in EVENT_SEPARATORS
            if separator in text
        ]
        if not ends:
            return [*parts, text]
        parts.append(text[: min(ends)])
        text = text[min(ends) :]


# Guards against a separator that is missed where it arrives in two pieces, and
# against events that depend on how their bytes arrive.
@given(text=texts, cuts=st.lists(st.integers(0, 60)))
def test_events_do_not_depend_on_the_pieces_that_arrive(
    text: bytes, cuts: list[int]
) -> None:
    splitter = EventSplitter()
    events: list[bytes] = []
    ends = [*sorted(min(cut, len(text)) for cut in cuts), len(text)]
    start = 0
    for end in ends:
        events += [event.data for event in splitter.feed(text[start:end])]
        start = end
    assert events == split(text)[:-1]
    assert splitter.partial_bytes == len(split(text)[-1])
