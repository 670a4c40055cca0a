"""Decodes targets' registrations, which any process may write."""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import AddressValueError, IPv4Address
from typing import Any

import orjson

from ..entry.configuration import ServiceId
from ..entry.record_decoder import UnreadableRecord
from ..entry.target_table import TargetRegistration
from ..entry.vm_settings import Address
from ..ids import SoftwareVersion, TargetId, ZoneId

__all__ = ["decode_registration"]

MAX_SLOTS = 1_000_000
"""Most requests that a target may claim to run concurrently."""

MAX_TEXT_CHARACTERS = 256
"""Characters of a target's ID, service, zone or software version."""

MAX_PORT = 65_535
"""Highest TCP port."""

MAX_STARTED_MS = 4_102_444_800_000
"""Latest start of a process, in Unix milliseconds: the year 2100. One that is
later would outrank all processes that start under the same ID."""

MAX_QUOTED_CHARACTERS = 40
"""Characters of an unsound value that the reason quotes."""

_BROADCAST = IPv4Address("255.255.255.255")
_STATES = ("ready", "draining")


class _UnsoundFieldError(ValueError):
    """A field that no sound target writes."""

    def __init__(self, name: str, expected: str, found: object) -> None:
        super().__init__(f"{name}: expected {expected}, found {_quote(found)}")


def decode_registration(
    target: TargetId, value: bytes
) -> TargetRegistration | UnreadableRecord:
    """Decodes a registration; only sound ones are accepted.

    Args:
        target: Target ID, from the record's key.
        value: The record's value.
    """
    try:
        document = orjson.loads(value)
    except ValueError as error:
        return UnreadableRecord(str(error))
    if not isinstance(document, dict):
        return UnreadableRecord("not an object")
    try:
        return _registration(target, document)
    except _UnsoundFieldError as error:
        return UnreadableRecord(str(error))


def _quote(found: object) -> str:
    # The representation of a nested value may exceed the recursion limit.
    if isinstance(found, dict | list):
        return f"a {type(found).__name__}"
    return repr(found)[:MAX_QUOTED_CHARACTERS]


def _registration(
    target: TargetId, document: Mapping[str, Any]
) -> TargetRegistration:
    _check_id(target)
    state = document.get("state")
    if state not in _STATES:
        raise _UnsoundFieldError("state", "a known state", state)
    address = _address(document)
    return TargetRegistration(
        target=target,
        started_ms=_started_ms(document),
        service=ServiceId(_text(document, "service")),
        host=address.host,
        port=address.port,
        zone=ZoneId(_text(document, "zone")),
        # "version" is that of the target's program, not of a record or
        # weights.
        software_version=SoftwareVersion(_text(document, "version")),
        slots=_integer(document, "slots", low=1, high=MAX_SLOTS),
        draining=state == "draining",
    )


def _check_id(target: TargetId) -> None:
    # The ID is sent to the target in a header.
    visible = target.isascii() and target.isprintable() and " " not in target
    if not visible or not 0 < len(target) <= MAX_TEXT_CHARACTERS:
        raise _UnsoundFieldError("ID", "a word of visible ASCII", target)


def _text(document: Mapping[str, Any], name: str) -> str:
    text = document.get(name)
    if (
        not isinstance(text, str)
        or not text.isprintable()
        or not 0 < len(text) <= MAX_TEXT_CHARACTERS
    ):
        expected = f"printable text of 1 to {MAX_TEXT_CHARACTERS} characters"
        raise _UnsoundFieldError(name, expected, text)
    return text


def _integer(
    document: Mapping[str, Any], name: str, *, low: int, high: int
) -> int:
    number = document.get(name)
    if (
        not isinstance(number, int)
        or isinstance(number, bool)
        or not low <= number <= high
    ):
        expected = f"a whole number from {low} to {high}"
        raise _UnsoundFieldError(name, expected, number)
    return number


def _started_ms(document: Mapping[str, Any]) -> int:
    # "born" is the start of the process in Unix milliseconds; not all
    # examples of entries have it.
    if "born" not in document:
        return 0
    return _integer(document, "born", low=0, high=MAX_STARTED_MS)


def _address(document: Mapping[str, Any]) -> Address:
    text = document.get("address")
    unsound = _UnsoundFieldError("address", "IPv4:PORT of one host", text)
    if not isinstance(text, str):
        raise unsound
    host, _, port = text.rpartition(":")
    try:
        ip = IPv4Address(host)
    except AddressValueError:
        raise unsound from None
    if ip.is_unspecified or ip.is_multicast or ip == _BROADCAST:
        raise unsound
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > len(str(MAX_PORT)):
        raise unsound
    if not 1 <= int(port) <= MAX_PORT:
        raise unsound
    return Address(host, int(port))
