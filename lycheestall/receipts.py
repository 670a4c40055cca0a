"""Signed receipts, which prove a program's state if its owner fails."""

from __future__ import annotations

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import cbor2

from .history import ChainPoint
from .ids import AccountId, Offset, ProgramId, RequestId, TargetId
from .ledger_program import Spend

__all__ = [
    "InvalidReceipt",
    "Receipt",
    "ReceiptSigner",
]

RECEIPT_FORMAT = 1
SIGNATURE_BYTES = 16
MAX_RECEIPT_CHARACTERS = 4096


@dataclass(frozen=True, slots=True)
class Receipt:
    """A program's state at the time of an answer.

    Attributes:
        account: The program's client account.
        program: The program's id, including the path of a sub-agent.
        number: The highest call number that a target had accepted.
        turn: Chat calls of the whole program so far.
        point: The history point that the receipt proves.
        spend: What the whole program had spent or reserved.
        epoch: The offset of the owner's partition claim.
        target: The engine running call ``point.number``, if its answer
            was pending.
        request: The id of that call's request to the engine.
    """

    account: AccountId
    program: ProgramId
    number: int
    turn: int
    point: ChainPoint
    spend: Spend
    epoch: Offset
    target: TargetId = TargetId("")
    request: RequestId = RequestId("")


@dataclass(frozen=True, slots=True)
class InvalidReceipt:
    """A text that is not a valid receipt of this deployment.

    Attributes:
        reason: What is wrong with it, for the error message.
    """

    reason: str


class ReceiptSigner:
    """Signs receipts with the newest key and accepts all keys.

    Args:
        keys: At least one key, newest first.

    Raises:
        ValueError: There is no key.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise ValueError("expected at least one key")
        self._keys = tuple(keys)

    def sign(self, receipt: Receipt) -> str:
        """Returns a signed receipt as base64url text."""
        point, spend = receipt.point, receipt.spend
        payload = cbor2.dumps(
            [
                RECEIPT_FORMAT,
                receipt.account,
                receipt.program,
                receipt.number,
                receipt.turn,
                [
                    point.number,
                    point.messages,
                    point.digest,
                    point.answered,
                    point.tokens,
                    point.model,
                ],
                [spend.tokens, spend.calls, spend.money_micros],
                receipt.epoch,
                receipt.target,
                receipt.request,
            ]
        )
        signed = _signature(self._keys[0], payload) + payload
        return urlsafe_b64encode(signed).rstrip(b"=").decode()

    def verify(self, text: str) -> Receipt | InvalidReceipt:
        """Decodes a receipt and checks its signature.

        Args:
            text: The receipt as the caller sent it.
        """
        if len(text) > MAX_RECEIPT_CHARACTERS:
            return InvalidReceipt("the receipt is too long")
        try:
            signed = urlsafe_b64decode(text + "=" * (-len(text) % 4))
        except ValueError:
            return InvalidReceipt("the receipt is no base64url text")
        signature = signed[:SIGNATURE_BYTES]
        payload = signed[SIGNATURE_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(signature, _signature(key, payload)):
                return _decode(payload)
        return InvalidReceipt("no key of this deployment signed the receipt")


def _signature(key: bytes, payload: bytes) -> bytes:
    digest = hmac.digest(key, b"receipt\0" + payload, "sha256")
    return digest[:SIGNATURE_BYTES]


def _decode(payload: bytes) -> Receipt | InvalidReceipt:
    document: Any = cbor2.loads(payload)
    if document[0] != RECEIPT_FORMAT:
        return InvalidReceipt(f"the receipt has format {document[0]}")
    _, account, program, number, turn, point, spend, *rest = document
    epoch, target, request = rest
    return Receipt(
        account=account,
        program=program,
        number=number,
        turn=turn,
        point=ChainPoint(*point),
        spend=Spend(*spend),
        epoch=epoch,
        target=target,
        request=request,
    )
