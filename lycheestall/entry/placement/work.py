"""The work that a request asks of a target."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from ..configuration import Service
from ..message_metadata import RequestMetadata

__all__ = ["CompletedStream", "Work", "WorkKind"]


class WorkKind(IntEnum):
    """Kinds of work whose speed differs; the numbers are sent to peers.

    Attributes:
        READ: Prefill of prompt tokens; the unit is a token.
        GENERATE: Decoding of output; the unit is a stream event.
        PLAIN: Requests to other services; the unit is the typical time of
            the request's route.
    """

    READ = 0
    GENERATE = 1
    PLAIN = 2


@dataclass(frozen=True, slots=True)
class Work:
    """The size of one request.

    Attributes:
        prefix_tokens: Prompt tokens that only requests of the same affinity
            share. The first part of a prompt is common to all requests and
            doesn't distinguish targets.
        max_events: Most stream events that the request generates.
        is_engine: Whether its target is a model engine.
    """

    prefix_tokens: int = 0
    max_events: int = 0
    is_engine: bool = False

    @property
    def kind(self) -> WorkKind:
        """The kind of work that takes most of the time."""
        return WorkKind.GENERATE if self.is_engine else WorkKind.PLAIN

    @classmethod
    def of_request(
        cls, metadata: RequestMetadata, service: Service | None
    ) -> Work:
        """Returns the work of a request to a service."""
        if service is None or service.engine is None:
            return cls()
        per_event = max(service.engine.tokens_per_event, 1)
        return cls(
            prefix_tokens=metadata.affinity_tokens,
            max_events=math.ceil(metadata.max_output_tokens / per_event),
            is_engine=True,
        )


@dataclass(frozen=True, slots=True)
class CompletedStream:
    """The times of a stream that one attempt received as a whole.

    Attributes:
        prefix_tokens: Prompt tokens that only requests of the same affinity
            share.
        first_event_s: Seconds until the first event.
        streaming_s: Seconds from the first event to the last.
        events: Number of events.
    """

    prefix_tokens: int
    first_event_s: float
    streaming_s: float
    events: int
