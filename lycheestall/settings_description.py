"""Describes all settings: defaults, units, meaning; never a secret."""

from __future__ import annotations

import re
from dataclasses import MISSING, dataclass, fields, is_dataclass
from typing import Any, get_args, get_origin, get_type_hints

from .settings import Settings

__all__ = ["SettingDescription", "describe_settings"]

HIDDEN = "(hidden)"
_SECRETS = frozenset({"receipt_keys", "key_sha256"})
_UNIT_BY_SUFFIX = {"_s": "seconds", "_port": "TCP port", "_url": "URL"}


@dataclass(frozen=True, slots=True)
class SettingDescription:
    """One setting.

    Attributes:
        path: Its JSON path.
        value: Its value as JSON would have it, or a mark for a secret;
            empty when no settings were given.
        default: Its default, empty when it has to be given.
        unit: The value's unit, or empty.
        meaning: What it is for.
    """

    path: str
    value: str
    default: str
    unit: str
    meaning: str


def _meanings(cls: type[Any]) -> dict[str, str]:
    """Returns the ``Attributes:`` section of a docstring by name."""
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
    if name in _SECRETS:
        return f"{len(value)} {HIDDEN}"
    return "null" if value is None else str(value)


def describe_settings(
    settings: Settings | None = None,
) -> tuple[SettingDescription, ...]:
    """Returns every setting with default, unit and meaning.

    Args:
        settings: Whose values to show; None shows none.
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
        own = getattr(value, name, None)
        nested = _nested(hints[name])
        at = f"{path}.{name}"
        if nested is not None and isinstance(own, list):
            for index, item in enumerate(own):
                found.extend(_describe(nested, item, f"{at}[{index}]"))
            continue
        if nested is not None and (own is not None or value is None):
            listed = get_origin(hints[name]) is list
            inner = f"{at}[]" if listed else at
            found.extend(_describe(nested, own, inner))
            continue
        shown = "" if value is None else _value(name, own)
        found.append(
            SettingDescription(
                at,
                shown,
                _default(field),
                _unit(name),
                meanings.get(name, ""),
            )
        )
    return found
