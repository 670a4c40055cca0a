"""The interface between a program's owner and the engine dispatcher."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from .ids import AccountId, ModelName, ProgramId, RequestId, TargetId
from .outcomes import Failed, Refused
from .targets import EngineDone

__all__ = ["ChatDispatcher", "ChatJob", "ChatListener", "JobHandle"]


@dataclass(frozen=True, slots=True)
class ChatJob:
    """A chat call that its program's owner has admitted for dispatch.

    Attributes:
        program: The program that made the call.
        root: Its top-level program.
        account: The account that is charged.
        program_class: Selects weight and priority.
        number: The call's position in its program.
        model: The model requested.
        body: The request body for the engine.
        prompt_tokens: Estimate of the prompt's length.
        max_tokens: Maximum number of tokens of the answer.
        fingerprint: Digest of account and body, for crash quarantine.
        deadline_s: Deadline on the node's monotonic clock.
        epoch: Log offset of the owner's partition claim.
        may_send: Called right before each write to a target's socket;
            a refusal ends the job.
        may_repeat: Returns whether another dispatch would keep the
            program's calls in order.
        taken_over_s: Time on the node's clock when the program was taken
            over from a failed owner; None if it was not.
    """

    program: ProgramId
    root: ProgramId
    account: AccountId
    program_class: str
    number: int
    model: ModelName
    body: bytes
    prompt_tokens: int
    max_tokens: int
    fingerprint: bytes
    deadline_s: float
    epoch: int
    may_send: Callable[[], Refused | None]
    may_repeat: Callable[[], bool]
    taken_over_s: float | None = None


class ChatListener(ABC):
    """Receives a job's events.

    ``done``, ``refused`` and ``failed`` end the job.
    """

    @abstractmethod
    def accepted(self, target: TargetId, request: RequestId) -> None:
        """An engine has the request; called again after a retry."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Handles the next bytes of the answer."""

    @abstractmethod
    def done(self, result: EngineDone, target: TargetId) -> None:
        """The answer is complete."""

    @abstractmethod
    def refused(self, outcome: Refused) -> None:
        """No engine ran the job, and none will."""

    @abstractmethod
    def failed(self, outcome: Failed) -> None:
        """An engine may have run the job; it will not be repeated."""


class JobHandle(ABC):
    """A handle with which the owner can cancel a submitted job."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancels the job and tells the engine; no event follows."""


class ChatDispatcher(ABC):
    """Queues jobs, dispatches them to engines and retries safe ones."""

    @abstractmethod
    def submit(self, job: ChatJob, listener: ChatListener) -> JobHandle:
        """Queues a job; exactly one ending event follows unless cancelled.

        A job that would miss its deadline in the queue is refused at once.
        """

    @abstractmethod
    def resume(
        self,
        job: ChatJob,
        target: TargetId,
        request: RequestId,
        start: int,
        listener: ChatListener,
    ) -> JobHandle:
        """Resumes a stream that an earlier owner had dispatched.

        Args:
            job: The call.
            target: The engine that has it.
            request: The earlier dispatch.
            start: Number of body bytes to skip.
            listener: Receives the rest of the answer.
        """

    @abstractmethod
    def program_paused(self, root: ProgramId) -> None:
        """Handles a program's wait for a tool; its cache is needed soon."""

    @abstractmethod
    def program_ended(self, root: ProgramId) -> None:
        """Releases engine memory of a program that ended or vanished."""
