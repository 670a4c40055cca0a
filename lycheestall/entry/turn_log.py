"""Logs decisions about turns of conversations."""

from __future__ import annotations

from collections.abc import Callable

from ..logs import Logger
from ._log_fields import decode_id
from .conversation_lookup import TurnNotFound
from .entry_metrics import EntryMetrics
from .message_metadata import RequestMetadata
from .outages.budget_refusals import BudgetRefusal

__all__ = ["TurnLog"]


class TurnLog:
    """Writes log lines about turns and updates metrics.

    Args:
        logger: Receives unexpected errors.
        metrics: Counts the turns.
        write: Writes a rate-limited line.
    """

    def __init__(
        self,
        logger: Logger,
        metrics: EntryMetrics,
        write: Callable[..., None],
    ) -> None:
        self._logger = logger
        self._metrics = metrics
        self._write = write

    def conversation_loaded(
        self,
        metadata: RequestMetadata,
        *,
        source: str,
        turns: int,
        size: int,
        took_s: float,
    ) -> None:
        """Logs the conversation that a turn continues.

        Args:
            metadata: The request's metadata.
            source: Where its turns were found.
            turns: Number of turns.
            size: Bytes of the turns.
            took_s: Seconds that the search took.
        """
        self._metrics.conversation_loaded(source)
        self._write(
            "conversation loaded",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            previous=metadata.previous_turn,
            source=source,
            turns=turns,
            size=size,
            took_ms=round(took_s * 1000, 1),
        )

    def conversation_not_found(
        self, metadata: RequestMetadata, result: TurnNotFound
    ) -> None:
        """Logs a conversation of which a turn is missing."""
        self._metrics.conversation_loaded("not found")
        self._write(
            "conversation not found",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            previous=metadata.previous_turn,
            missing=result.missing,
            certain=result.certain,
            store_replied=result.store_replied,
            peers_replied=result.peers_replied,
            peers_asked=result.peers_asked,
        )

    def turn_kept(
        self,
        metadata: RequestMetadata,
        *,
        how: str,
        size: int,
        took_s: float,
    ) -> None:
        """Logs a turn that was made durable.

        Args:
            metadata: The request's metadata.
            how: How it was made durable.
            size: Bytes of its input and output.
            took_s: Seconds that the end of the response waited.
        """
        self._metrics.turn_kept(how)
        self._write(
            "turn kept",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            previous=metadata.previous_turn,
            how=how,
            size=size,
            took_ms=round(took_s * 1000, 1),
        )

    def turn_not_kept(self, metadata: RequestMetadata, error: str) -> None:
        """Logs an unexpected error while a turn was made durable."""
        self._logger.error(
            "keeping a turn failed",
            request=decode_id(metadata.request_id),
            error=error,
        )

    def budget_unchecked(
        self, metadata: RequestMetadata, refusal: BudgetRefusal
    ) -> None:
        """Logs a turn whose budget could not be checked.

        Args:
            metadata: The request's metadata.
            refusal: Why it was refused.
        """
        self._metrics.budget_unchecked(refusal.reason.value, refusal.age_label)
        self._write(
            "budget not checked",
            request=decode_id(metadata.request_id),
            program=metadata.program,
            reason=refusal.reason.value,
            store_away_s=round(refusal.age_s, 3),
        )
