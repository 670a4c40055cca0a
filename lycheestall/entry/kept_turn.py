"""The conversation that one request continues, and the turn that it adds."""

from __future__ import annotations

from dataclasses import dataclass

from twisted.internet.defer import CancelledError, Deferred, ensureDeferred
from twisted.python.failure import Failure

from ..conversations import (
    Chain,
    ConversationTurn,
    own_turn_id,
    prompt_body,
)
from .configuration import Route
from .conversation_lookup import LookupResult, TurnNotFound
from .message_metadata import RequestMetadata
from .request_dependencies import RequestDependencies

__all__ = ["KeptTurn", "TurnRefusal"]

MAX_TURN_SHARE = 0.8
"""Share of the largest record that a turn's input may take; the rest is for
its output."""

NOT_FOUND_RETRY_S = 0.5
"""Retry delay for callers whose conversation can't be looked up now."""

NO_MEMORY_RETRY_S = 0.9
"""Retry delay for callers while there is no memory for more turns."""

_NOT_FOUND = 404
_TOO_LARGE = 413
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class TurnRefusal:
    """Why a turn of a conversation can't be run.

    Attributes:
        status: Status code for the caller.
        reason: Text for the caller.
        retry_after_s: When to try again, if that may help.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


class KeptTurn:
    """Loads the conversation of one request and keeps its turn.

    Without effect on routes that keep no conversations.

    Args:
        deps: Dependencies shared by all requests.
        metadata: The request's metadata.
        route: The request's route.
        body: Body of the caller's request.
        owner: Name of the account that the turn belongs to, empty for none;
            None where there are no accounts.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        metadata: RequestMetadata,
        route: Route,
        body: bytes,
        *,
        owner: str | None = None,
    ) -> None:
        self._owner = owner
        self._deps = deps
        self._metadata = metadata
        self._route = route
        self._input = body
        self._chain: Chain | None = None
        self._loading: Deferred[TurnRefusal | None] | None = None
        self._keeping: Deferred[bool] | None = None
        self.kept = route.keeps_conversations
        self.body = body

    def start_loading(self) -> None:
        """Starts to look for the conversation that the turn continues."""
        if not self.kept:
            return
        self._loading = ensureDeferred(self._load())
        self._loading.addErrback(_refusal_after_cancel)

    async def loaded(self) -> TurnRefusal | None:
        """Waits for the conversation; returns why it can't be continued."""
        if self._loading is None:
            return None
        try:
            return await self._loading
        finally:
            self._loading = None

    async def keep(self, output: bytes, *, give_up_at: float) -> bool:
        """Makes the turn durable; returns whether it is.

        Args:
            output: Data of the events of the complete response.
            give_up_at: The request's deadline.
        """
        if not self.kept:
            return True
        # Keeping goes on if the caller leaves: an append under way can't be
        # taken back.
        kept: Deferred[bool] = Deferred(lambda _: None)
        self._keeping = kept
        keeping = ensureDeferred(self._keep(output, give_up_at))
        keeping.addErrback(self._keeping_failed)
        keeping.addCallback(
            lambda durable: None if kept.called else kept.callback(durable)
        )
        try:
            return await kept
        except CancelledError:
            return False
        finally:
            self._keeping = None

    def cancel(self) -> None:
        """Stops waiting, if anything is waited for."""
        if self._loading is not None:
            self._loading.cancel()
        if self._keeping is not None:
            self._keeping.cancel()

    async def _load(self) -> TurnRefusal | None:
        deps = self._deps
        if len(self._input) > deps.max_record_bytes * MAX_TURN_SHARE:
            return TurnRefusal(_TOO_LARGE, "the turn is too large to be kept")
        if not deps.conversations.cache.has_room(len(self._input)):
            return TurnRefusal(
                _UNAVAILABLE, "no memory for turns", NO_MEMORY_RETRY_S
            )
        if self._metadata.previous_turn is None:
            return None
        started_at = deps.clock.seconds()
        result = deps.conversations.find(
            own_turn_id(self._metadata.previous_turn, self._owner),
            self._metadata.program,
        )
        if isinstance(result, Deferred):
            result = await result
        return self._use(result, deps.clock.seconds() - started_at)

    def _use(self, result: LookupResult, took_s: float) -> TurnRefusal | None:
        log = self._deps.log.turns
        if isinstance(result, TurnNotFound):
            log.conversation_not_found(self._metadata, result)
            if result.certain:
                return TurnRefusal(_NOT_FOUND, "no such previous turn")
            return TurnRefusal(
                _UNAVAILABLE,
                "the conversation can't be looked up now",
                NOT_FOUND_RETRY_S,
            )
        chain = result.chain
        log.conversation_loaded(
            self._metadata,
            source=result.source.value,
            turns=len(chain.turns),
            size=chain.size,
            took_s=took_s,
        )
        if chain.size + len(self._input) > self._deps.max_body_bytes():
            return TurnRefusal(_TOO_LARGE, "the conversation is too long")
        self._chain = chain
        self.body = prompt_body(chain, self._input)
        return None

    async def _keep(self, output: bytes, give_up_at: float) -> bool:
        deps = self._deps
        chain = self._chain
        turn = ConversationTurn(
            turn_id=own_turn_id(
                self._metadata.request_id.decode("latin-1"), self._owner
            ),
            ancestors=() if chain is None else chain.ids_newest_first,
            input=self._input,
            output=output,
            retention_s=self._route.retention_s,
        )
        started_at = deps.clock.seconds()
        recorded = await deps.conversations.keep(
            turn, chain, self._metadata.program, give_up_at=give_up_at
        )
        deps.log.turns.turn_kept(
            self._metadata,
            how="recorded" if recorded else "not recorded",
            size=len(turn.input) + len(turn.output),
            took_s=deps.clock.seconds() - started_at,
        )
        return recorded

    def _keeping_failed(self, failure: Failure) -> bool:
        self._deps.log.turns.turn_not_kept(
            self._metadata, failure.getTraceback()
        )
        return False


def _refusal_after_cancel(failure: Failure) -> TurnRefusal:
    failure.trap(CancelledError)
    return TurnRefusal(_UNAVAILABLE, "cancelled")
