"""Runs an idempotent action, with retries on other targets."""

from __future__ import annotations

from twisted.internet.defer import ensureDeferred

from .action_base import ActionBase
from .application_picker import ApplicationTarget
from .outcomes import Completed, Failed, Outcome, Reason, Refused, Step
from .targets import ActionDone, ActionNotSent, ActionResult

__all__ = ["IdempotentActionRun"]

RETRY_AFTER_S = 1.0


class IdempotentActionRun(ActionBase):
    """An action that may run more than once."""

    def proceed(self) -> None:
        """Starts the call."""
        ensureDeferred(self._run())

    def stop(self, refused: Refused) -> None:
        """Ends the call; a later answer is dropped."""
        if not self.may_have_run:
            self.end(refused)
            return
        self.end(Failed(Step.DISPATCH, refused.reason, detail=refused.detail))

    async def _run(self) -> None:
        refused = await self.admit()
        if self.ended:
            self.release_reservation()
            return
        if refused is not None:
            self.end(refused)
            return
        await self._try_targets()

    async def _try_targets(self) -> None:
        rule = self.dependencies.rules().retries(
            self.call.account, self.call.application
        )
        last_failed: Outcome | None = None
        last: Outcome | None = None
        while (
            len(self.tried_targets) < max(1, rule.attempts) and not self.ended
        ):
            picked = self._next_target()
            if isinstance(picked, Refused):
                last = last or picked
                break
            self.mark_sent()
            answer = await self.send_to(picked, self.call.idempotency_key)
            if isinstance(answer, ActionDone):
                self.end(Completed(peer=picked.target), answer)
                return
            last = _outcome(answer, picked.target)
            last_failed = last if isinstance(last, Failed) else last_failed
            if self.dependencies.clock.seconds() >= self.deadline:
                break
        if not self.ended:
            assert last is not None
            self.end(last_failed or last)

    def _next_target(self) -> ApplicationTarget | Refused:
        picked = self.pick_target()
        if isinstance(picked, Refused):
            return picked
        refused = self.dependencies.cell.refusal(self.program.partition)
        return picked if refused is None else refused


def _outcome(answer: ActionResult, peer: str) -> Outcome:
    if isinstance(answer, ActionNotSent):
        return Refused(
            Step.DISPATCH,
            Reason.UNREACHABLE,
            peer=peer,
            retry_after_s=RETRY_AFTER_S,
            detail=answer.detail,
        )
    assert not isinstance(answer, ActionDone)
    return Failed(
        Step.DISPATCH,
        Reason.TARGET_FAILED,
        peer=peer,
        retry_after_s=RETRY_AFTER_S,
        detail=answer.detail,
    )
