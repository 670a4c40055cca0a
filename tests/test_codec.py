"""Tests of the CBOR encoding."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall import codec, messages, records
from lycheestall.codec import CodecError, UnreadableRecord
from lycheestall.ids import SessionId
from lycheestall.outcomes import Reason, Refused, Step

record_bodies = st.one_of(
    st.from_type(records.ProgramOpened),
    st.from_type(records.IntentRecorded),
    st.from_type(records.CheckpointPart),
    st.from_type(records.RulesProposed),
)


@given(body=record_bodies, sequence=st.integers(0, 2**40))
def test_record_round_trip(body: records.RecordBody, sequence: int) -> None:
    record = records.Record(SessionId("s"), sequence, body)
    assert codec.decode_record(codec.encode_record(record)) == record


def test_refusal_round_trip() -> None:
    refused = Refused(Step.ADMIT, Reason.OVERLOADED, retry_after_s=1.5)
    message = messages.CallFinished(4, refused=refused)
    frame = codec.encode_message(message)
    assert codec.decode_message(frame) == message


@given(frame=st.binary(max_size=64))
def test_invalid_frame_raises_only_codec_error(frame: bytes) -> None:
    with pytest.raises(CodecError):
        codec.decode_message(frame)


def test_newer_record_format_is_reported() -> None:
    record = records.Record(SessionId("s"), 1, records.SessionLeft(), 99)
    found = codec.decode_record(codec.encode_record(record))
    assert found == UnreadableRecord(99)
