"""Program ids that the system issues, and their form in the log.

An issued id carries the time of issue and a signature over it, so that
anybody with a key can tell how old the program is without a clock or a
record. Callers may choose ids of their own for model calls.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Sequence
from enum import Enum
from urllib.parse import quote

from .ids import AccountId, ProgramId, root_of

__all__ = [
    "IdOrigin",
    "engine_id",
    "issue_program_id",
    "issued_ms_of",
    "ledger_id",
    "origin_of",
    "root_in_ledger",
]

NONCE_BYTES = 8
SIGNATURE_CHARACTERS = 24
_ISSUED = re.compile(r"pr-([0-9a-f]{12})-([0-9a-f]{16})-([0-9a-f]{24})")


class IdOrigin(Enum):
    """Where a program id comes from."""

    ISSUED = "issued"
    CHOSEN = "chosen"
    FORGED = "forged"


def issue_program_id(
    *, account: AccountId, issued_ms: int, nonce: bytes, key: bytes
) -> ProgramId:
    """Returns a new top-level program id.

    Args:
        account: The account it is bound to.
        issued_ms: Wall-clock time, milliseconds since 1970.
        nonce: ``NONCE_BYTES`` random bytes.
        key: The signing key.

    Raises:
        ValueError: The nonce has another length.
    """
    if len(nonce) != NONCE_BYTES:
        raise ValueError(f"expected a nonce of {NONCE_BYTES} bytes")
    stem = f"pr-{issued_ms:012x}-{nonce.hex()}"
    return ProgramId(f"{stem}-{_signature(account, stem, key)}")


def issued_ms_of(program: ProgramId) -> int | None:
    """Returns when an id says it was issued, unchecked.

    Args:
        program: A program id; only its top level counts.

    Returns:
        Milliseconds since 1970; None for a chosen id.
    """
    match = _ISSUED.fullmatch(root_of(program))
    return None if match is None else int(match.group(1), 16)


def origin_of(
    account: AccountId, program: ProgramId, keys: Sequence[bytes]
) -> IdOrigin:
    """Returns whether an id was issued to an account.

    Args:
        account: The account that uses it.
        program: A program id; only its top level counts.
        keys: Signing keys; any of them will do.
    """
    match = _ISSUED.fullmatch(root_of(program))
    if match is None:
        return IdOrigin.CHOSEN
    stem, _, found = match.group(0).rpartition("-")
    for key in keys:
        if hmac.compare_digest(found, _signature(account, stem, key)):
            return IdOrigin.ISSUED
    return IdOrigin.FORGED


def ledger_id(account: AccountId, program: ProgramId) -> ProgramId:
    """Returns a top-level program's name in the log.

    Ids that callers choose are unique within an account only.

    Args:
        account: Who pays.
        program: A program id; only its top level counts.
    """
    return ProgramId(f"{quote(account, safe='')}:{root_of(program)}")


def root_in_ledger(name: ProgramId) -> ProgramId:
    """Returns the top-level program's id in its form in the log.

    Args:
        name: What ``ledger_id`` returned.
    """
    return ProgramId(name.partition(":")[2])


def engine_id(account: AccountId, program: ProgramId) -> ProgramId:
    """Returns a program's name towards engines, sub-agent's path included.

    Its top level is the program's name in the log, so that programs of
    two accounts never share what an engine holds.

    Args:
        account: Who pays.
        program: A program id.
    """
    return ProgramId(f"{quote(account, safe='')}:{program}")


def _signature(account: AccountId, stem: str, key: bytes) -> str:
    signed = f"program\0{account}\0{stem}".encode()
    digest = hmac.digest(key, signed, "sha256").hex()
    return digest[:SIGNATURE_CHARACTERS]
