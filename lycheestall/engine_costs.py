"""Speeds and sizes of a simulated engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineCosts"]


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Speeds and sizes of an engine.

    Attributes:
        prefill_tokens_per_s: Prefill rate while no request decodes.
        decode_base_s: Fixed time of a decode step of the batch.
        decode_sequence_s: Time that each sequence adds to a step.
        prefill_share: Share of the engine that a prefill takes while
            other requests decode.
        batch_limit: Maximum number of requests in the batch.
        kv_tokens: Capacity of the KV memory in tokens, cache included.
        queue_limit: Maximum queue length; further requests are refused.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_base_s: float = 0.012
    decode_sequence_s: float = 0.0008
    prefill_share: float = 0.6
    batch_limit: int = 16
    kv_tokens: int = 150_000
    queue_limit: int = 10_000

    def decode_step_s(self, sequences: int) -> float:
        """Returns the time of a decode step for a batch of this size."""
        return self.decode_base_s + self.decode_sequence_s * sequences
