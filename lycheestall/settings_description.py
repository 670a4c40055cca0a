"""Describes all settings: value, default, unit, meaning.

Secret values are not shown.
"""

from __future__ import annotations

import re
from dataclasses import MISSING, dataclass, fields, is_dataclass
from typing import Any, get_args, get_origin, get_type_hints

from .settings import Settings

__all__ = ["SettingDescription", "describe_settings"]

HIDDEN = "(hidden)"
_SECRET_NAMES = frozenset({"receipt_keys", "key_sha256"})
_UNIT_BY_SUFFIX = {"_s": "seconds", "_port": "TCP port", "_url": "URL"}


@dataclass(frozen=True, slots=True)
class SettingDescription:
    """One setting.

    Attributes:
        path: The setting's JSON path.
        value: The value; for secrets, their number. Empty if no settings
            are given.
        default: The default value, empty if the setting is required.
        unit: The value's unit, or empty.
        meaning: What the setting is for.
    """

    path: str
    value: str
    default: str
    unit: str
    meaning: str


def _meanings(cls: type[Any]) -> dict[str, str]:
    """Parses the ``Attributes:`` section of a class's docstring."""
    section = (cls.__doc__ or "").partition("Attributes:")[2]
    found: dict[str, str] = {}
    for match in re.finditer(
        r"^\s+(\w+): (.+?)(?=\n\s+\w+: |\Z)", section, re.M | re.S
    ):
        found[match[1]] = " ".join(match[2].split()).rstrip('" ')
    return found


def _unit(name: str) -> str:
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return ""


def _nested(hint: Any) -> type[Any] | None:
    for candidate in (hint, *get_args(hint)):
        if isinstance(candidate, type) and is_dataclass(candidate):
            return candidate
    return None


def _default(field: Any) -> str:
    if field.default is not MISSING:
        return "null" if field.default is None else str(field.default)
    return ""


def _value(name: str, value: Any) -> str:
    if name in _SECRET_NAMES:
        return f"{len(value)} {HIDDEN}"
    return "null" if value is None else str(value)


def describe_settings(
    settings: Settings | None = None,
) -> tuple[SettingDescription, ...]:
    """Returns every setting with default, unit and meaning.

    Args:
        settings: The settings whose values are shown, if any.
    """
    return tuple(_describe(Settings, settings, "$"))


def _describe(
    cls: type[Any], value: Any, path: str
) -> list[SettingDescription]:
    hints = get_type_hints(cls)
    meanings = _meanings(cls)
    found: list[SettingDescription] = []
    for field in fields(cls):
        name = field.name
        field_value = getattr(value, name, None)
        nested = _nested(hints[name])
        field_path = f"{path}.{name}"
        if nested is not None and isinstance(field_value, list):
            for index, item in enumerate(field_value):
                found.extend(_describe(nested, item, f"{field_path}[{index}]"))
            continue
        if nested is not None and (field_value is not None or value is None):
            is_list = get_origin(hints[name]) is list
            inner = f"{field_path}[]" if is_list else field_path
            found.extend(_describe(nested, field_value, inner))
            continue
        shown = "" if value is None else _value(name, field_value)
        found.append(
            SettingDescription(
                field_path,
                shown,
                _default(field),
                _unit(name),
                meanings.get(name, ""),
            )
        )
    return found
