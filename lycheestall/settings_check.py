"""Reads the daemon's settings file and reports every error in it.

``pydantic`` checks types and unknown keys; this module checks values and
the relations between settings.
"""

from __future__ import annotations

import ipaddress
import json
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from .settings import AccountSettings, Settings, TuningSettings

__all__ = ["SettingsError", "check_settings", "load_settings"]

MAX_PORT = 65_535
MAX_PARTITIONS = 65_536
SHA256_HEX_CHARS = 64
MIN_RECEIPT_KEY_BYTES = 16
_SECRET_PATHS = re.compile(
    r"\$\.receipt_keys|\$\.accounts(?!\[\d+\]\.(ac|op))"
)

_adapter = TypeAdapter(Settings)


@dataclass(frozen=True, slots=True)
class SettingsError:
    """An error in a settings file.

    Attributes:
        file: The file's path.
        path: JSON path of the setting, such as ``$.listen.mesh_port``.
        found: The value found; secrets are not shown.
        expected: A description of valid values.
    """

    file: str
    path: str
    found: str
    expected: str

    def __str__(self) -> str:
        return (
            f"{self.file}: {self.path}: "
            f"found {self.found}, expected {self.expected}"
        )


def load_settings(file: str) -> Settings | tuple[SettingsError, ...]:
    """Reads and checks a settings file.

    Args:
        file: The file's path.

    Returns:
        The settings, or all errors found.
    """
    try:
        text = Path(file).read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        found = type(error).__name__
        return (SettingsError(file, "$", found, "a readable UTF-8 file"),)
    return check_settings(text, file=file)


def check_settings(
    text: str, *, file: str
) -> Settings | tuple[SettingsError, ...]:
    """Checks the text of a settings file.

    Args:
        text: The file's content, as JSON.
        file: The file's path, for error messages.

    Returns:
        The settings, or all errors found.
    """
    try:
        json.loads(text, object_pairs_hook=_unique_keys)
    except (ValueError, RecursionError) as error:
        return (SettingsError(file, "$", str(error), "valid JSON"),)
    try:
        settings = _adapter.validate_json(text)
    except ValidationError as error:
        return tuple(_type_errors(error, file))
    problems = [
        SettingsError(file, path, found, expected)
        for path, found, expected in _problems(settings)
    ]
    return tuple(problems) if problems else settings


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for key, value in pairs:
        if key in found:
            raise ValueError(f"duplicate key {key!r}")
        found[key] = value
    return found


def _json_path(location: tuple[int | str, ...]) -> str:
    path = "$"
    for part in location:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    return path


def _type_errors(error: ValidationError, file: str) -> Iterator[SettingsError]:
    for item in error.errors(include_url=False):
        path = _json_path(item["loc"])
        found = _describe_value(path, item["input"])
        expected = item["msg"].removeprefix("Input should be ")
        if item["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
            found, expected = "an unknown key", "a known key"
        if item["type"] in ("missing", "missing_argument"):
            found, expected = "nothing", "a value"
        yield SettingsError(file, path, found, expected)


def _describe_value(path: str, value: object) -> str:
    if _SECRET_PATHS.match(path):
        return "a hidden value"
    if isinstance(value, (dict, list)):
        return "an object" if isinstance(value, dict) else "an array"
    return json.dumps(value, default=str)


_Problem = tuple[str, str, str]


def _problems(settings: Settings) -> Iterator[_Problem]:
    """Yields errors that types do not show: path, found, expected."""
    yield from _listen_problems(settings)
    yield from _platform_problems(settings)
    yield from _key_problems(settings)
    for index, account in enumerate(settings.accounts):
        yield from _account_problems(account, f"$.accounts[{index}]")
    yield from _duplicate_account_problems(settings.accounts)
    yield from _tuning_problems(settings.tuning)
    for name in ("vm", "zone", "cell"):
        if not getattr(settings, name):
            yield f"$.{name}", '""', "a name"


def _listen_problems(settings: Settings) -> Iterator[_Problem]:
    listen = settings.listen
    try:
        host = ipaddress.ip_address(listen.host)
    except ValueError:
        yield (
            "$.listen.host",
            _describe_value("", listen.host),
            "an IP address",
        )
    else:
        if settings.tls is None and not host.is_loopback:
            expected = "certificates, unless listen.host is a loopback address"
            yield "$.tls", "null", expected
    name_by_port: dict[int, str] = {}
    for name in ("callers_port", "mesh_port", "admin_port"):
        port = getattr(listen, name)
        path = f"$.listen.{name}"
        if not 1 <= port <= MAX_PORT:
            yield path, str(port), f"a port from 1 to {MAX_PORT}"
        other = name_by_port.setdefault(port, name)
        if other != name:
            yield path, str(port), f"a port other than that of {other}"


def _platform_problems(settings: Settings) -> Iterator[_Problem]:
    platform = settings.platform
    for name in ("log_url", "vm_list_url", "weight_store_url"):
        url = getattr(platform, name)
        if not url and name == "weight_store_url":
            continue
        if not url.startswith(("http://", "https://")):
            path = f"$.platform.{name}"
            yield path, _describe_value("", url), "an http or https URL"
    if platform.cell_stream == platform.rules_stream:
        found = _describe_value("", platform.rules_stream)
        yield (
            "$.platform.rules_stream",
            found,
            "a stream other than cell_stream",
        )


def _key_problems(settings: Settings) -> Iterator[_Problem]:
    if not settings.receipt_keys:
        yield "$.receipt_keys", "no key", "at least one key"
    for index, key in enumerate(settings.receipt_keys):
        if not _is_hex(key) or len(key) < 2 * MIN_RECEIPT_KEY_BYTES:
            expected = f"at least {MIN_RECEIPT_KEY_BYTES} bytes in hex"
            yield f"$.receipt_keys[{index}]", "a hidden value", expected


def _account_problems(
    account: AccountSettings, path: str
) -> Iterator[_Problem]:
    if not account.account:
        yield f"{path}.account", '""', "a name"
    for index, digest in enumerate(account.key_sha256):
        if _is_hex(digest) and len(digest) == SHA256_HEX_CHARS:
            continue
        expected = f"{SHA256_HEX_CHARS} lower-case hex digits"
        yield f"{path}.key_sha256[{index}]", "a hidden value", expected


def _duplicate_account_problems(
    accounts: list[AccountSettings],
) -> Iterator[_Problem]:
    path_by_digest: dict[str, str] = {}
    path_by_name: dict[str, str] = {}
    for index, account in enumerate(accounts):
        path = f"$.accounts[{index}]"
        other = path_by_name.setdefault(account.account, path)
        if other != path:
            found = _describe_value("", account.account)
            yield (
                f"{path}.account",
                found,
                f"a name other than that of {other}",
            )
        for digest in account.key_sha256:
            other = path_by_digest.setdefault(digest, path)
            if other != path:
                expected = f"a key other than those of {other}"
                yield f"{path}.key_sha256", "a hidden value", expected


def _tuning_problems(tuning: TuningSettings) -> Iterator[_Problem]:
    path = "$.tuning"
    if not 1 <= tuning.partitions <= MAX_PARTITIONS:
        expected = f"1 to {MAX_PARTITIONS}"
        yield f"{path}.partitions", str(tuning.partitions), expected
    for name in TuningSettings.__dataclass_fields__:
        value = getattr(tuning, name)
        if name.endswith("_s") and not 0 < value < float("inf"):
            yield f"{path}.{name}", str(value), "seconds, over 0"
    for name in ("heartbeat_interval_s", "renewal_interval_s"):
        value = getattr(tuning, name)
        if value * 2 > tuning.lease_s:
            expected = f"at most half of lease_s, {tuning.lease_s}"
            yield f"{path}.{name}", str(value), expected
    if tuning.lease_margin_s >= tuning.lease_s:
        expected = f"less than lease_s, {tuning.lease_s}"
        yield f"{path}.lease_margin_s", str(tuning.lease_margin_s), expected
    if tuning.log_flush_s >= tuning.renewal_interval_s:
        expected = f"less than renewal_interval_s, {tuning.renewal_interval_s}"
        yield f"{path}.log_flush_s", str(tuning.log_flush_s), expected
    if tuning.rules_stale_s <= tuning.heartbeat_interval_s:
        expected = "more than heartbeat_interval_s"
        yield f"{path}.rules_stale_s", str(tuning.rules_stale_s), expected


def _is_hex(text: str) -> bool:
    return bool(text) and set(text) <= set("0123456789abcdef")
