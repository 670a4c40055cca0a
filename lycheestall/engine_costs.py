"""Speeds and sizes of a modelled engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineCosts"]


@dataclass(frozen=True, slots=True)
class EngineCosts:
    """Speeds and sizes of an engine.

    Attributes:
        prefill_tokens_per_s: Prompt tokens computed a second, alone.
        decode_base_s: One batch step, without its sequences.
        decode_sequence_s: What each sequence adds to a batch step.
        prefill_share: Share of the engine a prefill takes while other
            requests decode.
        batch_limit: Most requests in the batch.
        kv_tokens: Tokens that fit into the KV memory, cache included.
        queue_limit: Most requests waiting; more are turned away.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_base_s: float = 0.012
    decode_sequence_s: float = 0.0008
    prefill_share: float = 0.6
    batch_limit: int = 16
    kv_tokens: int = 150_000
    queue_limit: int = 10_000

    def decode_step_s(self, sequences: int) -> float:
        """Returns how long one token takes in a batch of that size."""
        return self.decode_base_s + self.decode_sequence_s * sequences
