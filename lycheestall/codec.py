"""CBOR encoding of records and mesh messages.

``cattrs`` converts dataclasses to positional arrays and back and checks
types; ``cbor2`` encodes the arrays. A frame is ``[kind, fields]``, a log
payload ``[format, writer, sequence, kind, fields]``.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, fields, is_dataclass
from typing import Any, get_args, get_type_hints

import cbor2
from cattrs import Converter

from .ids import SessionId
from .messages import MeshMessage
from .records import RECORD_FORMAT, Record, RecordBody

__all__ = [
    "MAX_FRAME_BYTES",
    "CodecError",
    "UnreadableRecord",
    "decode_message",
    "decode_record",
    "encode_message",
    "encode_record",
]

MAX_FRAME_BYTES = 16 * 1024 * 1024


class CodecError(Exception):
    """The bytes are not a valid message or record."""


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record in a newer format that this release cannot read.

    Attributes:
        format: The format number in the record.
    """

    format: int


_converter = Converter(detailed_validation=False)


def _to_array(cls: type[Any]) -> Callable[[Any], list[Any]]:
    hints = get_type_hints(cls)
    hooks = [
        (field.name, _converter.get_unstructure_hook(hints[field.name]))
        for field in fields(cls)
    ]

    def unstructure(value: Any) -> list[Any]:
        return [hook(getattr(value, name)) for name, hook in hooks]

    return unstructure


def _from_array(cls: type[Any]) -> Callable[[Any, Any], Any]:
    hints = get_type_hints(cls)
    types = [hints[field.name] for field in fields(cls)]
    hooks = [(_converter.get_structure_hook(kind), kind) for kind in types]

    def structure(array: Any, _: Any) -> Any:
        pairs = zip(hooks, array, strict=True)
        return cls(*[hook(item, kind) for (hook, kind), item in pairs])

    return structure


_converter.register_unstructure_hook_factory(is_dataclass, _to_array)
_converter.register_structure_hook_factory(is_dataclass, _from_array)
_converter.register_unstructure_hook(bytes, lambda value: value)
_converter.register_structure_hook(bytes, lambda value, _: bytes(value))


def _class_by_kind(union: Any) -> dict[str, type[Any]]:
    class_by_kind: dict[str, type[Any]] = {}
    for member in get_args(union):
        class_by_kind[member.__name__] = member
    return class_by_kind


_message_class_by_kind = _class_by_kind(MeshMessage)
_record_class_by_kind = _class_by_kind(RecordBody)


def encode_message(message: MeshMessage) -> bytes:
    """Encodes a message as a frame.

    Args:
        message: Any mesh message.
    """
    array = _converter.unstructure(message)
    return cbor2.dumps([type(message).__name__, array])


def decode_message(frame: bytes) -> MeshMessage:
    """Decodes a frame.

    Args:
        frame: One frame's bytes.

    Raises:
        CodecError: The frame is not a message known to this release.
    """
    try:
        kind, array = cbor2.loads(frame)
        message: MeshMessage = _converter.structure(
            array, _message_class_by_kind[kind]
        )
    except Exception as error:
        raise CodecError(f"invalid frame: {error!r}") from error
    return message


def encode_record(record: Record) -> bytes:
    """Encodes a record as a log payload.

    Args:
        record: Any record.
    """
    return cbor2.dumps(
        [
            record.format,
            record.writer,
            record.sequence,
            type(record.body).__name__,
            _converter.unstructure(record.body),
        ]
    )


def decode_record(payload: bytes) -> Record | UnreadableRecord:
    """Decodes a log payload.

    Args:
        payload: One log entry's bytes.

    Returns:
        The record, or ``UnreadableRecord`` if its format is newer.

    Raises:
        CodecError: The payload is not a record.
    """
    try:
        format_, writer, sequence, kind, array = cbor2.loads(payload)
        if format_ > RECORD_FORMAT:
            return UnreadableRecord(format_)
        body: RecordBody = _converter.structure(
            array, _record_class_by_kind[kind]
        )
        return Record(SessionId(writer), sequence, body, format_)
    except Exception as error:
        raise CodecError(f"invalid record: {error!r}") from error
