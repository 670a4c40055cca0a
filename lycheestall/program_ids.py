"""Issues program ids and qualifies them for the ledger and for engines.

An issued id contains its time of issue and a signature, so that anyone
with a signing key can tell the program's age without a record of it.
Callers may choose their own ids for model calls.
"""

from __future__ import annotations

import hmac
import re
from collections.abc import Sequence
from enum import Enum
from urllib.parse import quote

from .ids import AccountId, ProgramId, root_program

__all__ = [
    "IdOrigin",
    "engine_program_id",
    "issue_program_id",
    "issued_ms_of",
    "ledger_id",
    "origin_of",
    "root_of_ledger_id",
]

NONCE_BYTES = 8
SIGNATURE_CHARACTERS = 24
_ISSUED_ID = re.compile(r"pr-([0-9a-f]{12})-([0-9a-f]{16})-([0-9a-f]{24})")


class IdOrigin(Enum):
    """Who created a program id."""

    ISSUED = "issued"
    CHOSEN = "chosen"
    FORGED = "forged"


def issue_program_id(
    *, account: AccountId, issued_ms: int, nonce: bytes, key: bytes
) -> ProgramId:
    """Returns a new top-level program id.

    Args:
        account: The client account that the id is valid for.
        issued_ms: Wall-clock time, milliseconds since 1970.
        nonce: ``NONCE_BYTES`` random bytes.
        key: The signing key.

    Raises:
        ValueError: The nonce has another length.
    """
    if len(nonce) != NONCE_BYTES:
        raise ValueError(f"expected a nonce of {NONCE_BYTES} bytes")
    unsigned_id = f"pr-{issued_ms:012x}-{nonce.hex()}"
    return ProgramId(f"{unsigned_id}-{_signature(account, unsigned_id, key)}")


def issued_ms_of(program: ProgramId) -> int | None:
    """Returns an id's time of issue without checking the signature.

    Args:
        program: A program id; only its top level is read.

    Returns:
        Milliseconds since 1970; None for a chosen id.
    """
    match = _ISSUED_ID.fullmatch(root_program(program))
    return None if match is None else int(match.group(1), 16)


def origin_of(
    account: AccountId, program: ProgramId, keys: Sequence[bytes]
) -> IdOrigin:
    """Returns whether an id was issued to an account, chosen or forged.

    Args:
        account: The client account that uses the id.
        program: A program id; only its top level is read.
        keys: Signing keys, any of which may have signed the id.
    """
    match = _ISSUED_ID.fullmatch(root_program(program))
    if match is None:
        return IdOrigin.CHOSEN
    unsigned_id, _, found = match.group(0).rpartition("-")
    for key in keys:
        if hmac.compare_digest(found, _signature(account, unsigned_id, key)):
            return IdOrigin.ISSUED
    return IdOrigin.FORGED


def ledger_id(account: AccountId, program: ProgramId) -> ProgramId:
    """Returns the id of a top-level program in the ledger.

    It includes the account, since ids that callers choose are unique
    only within an account.

    Args:
        account: The program's client account.
        program: A program id; only its top level is read.
    """
    return ProgramId(f"{quote(account, safe='')}:{root_program(program)}")


def root_of_ledger_id(name: ProgramId) -> ProgramId:
    """Returns the top-level program id that a ledger id was made from.

    Args:
        name: What ``ledger_id`` returned.
    """
    return ProgramId(name.partition(":")[2])


def engine_program_id(account: AccountId, program: ProgramId) -> ProgramId:
    """Returns the id under which engines know a program path.

    Its top level is the program's ledger id, so that programs of two
    accounts never share state on an engine.

    Args:
        account: The program's client account.
        program: A program id, including the path of a sub-agent.
    """
    return ProgramId(f"{quote(account, safe='')}:{program}")


def _signature(account: AccountId, unsigned_id: str, key: bytes) -> str:
    signed = f"program\0{account}\0{unsigned_id}".encode()
    digest = hmac.digest(key, signed, "sha256").hex()
    return digest[:SIGNATURE_CHARACTERS]
