"""The interface between the owner of a program and the engines."""

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
    """A chat call that its program's owner has cleared for dispatch.

    Attributes:
        program: The program that made the call.
        root: Its top-level program.
        account: Who pays.
        program_class: For weight and priority.
        number: The call's position in its program.
        model: The model wanted.
        body: The request body for the engine.
        prompt_tokens: Estimate of the prompt's length.
        max_tokens: Most tokens the answer may have.
        fingerprint: Digest of account and body, for crash quarantine.
        deadline_s: Time on the node's clock after which to give up.
        epoch: The owner's claim offset.
        may_send: Called right before each write to a target's socket;
            a refusal stops the job.
        may_repeat: Whether another dispatch would still keep the
            program's calls in order.
        lost_owner_s: When the program came over from an owner that was
            lost, on the node's clock; None if it did not.
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
    lost_owner_s: float | None = None


class ChatListener(ABC):
    """Hears what becomes of a job; the last three end it."""

    @abstractmethod
    def accepted(self, target: TargetId, request: RequestId) -> None:
        """An engine has the request; may come again after a retry."""

    @abstractmethod
    def chunk(self, data: bytes) -> None:
        """Takes the next bytes of the answer."""

    @abstractmethod
    def done(self, result: EngineDone, target: TargetId) -> None:
        """The answer is whole."""

    @abstractmethod
    def refused(self, outcome: Refused) -> None:
        """No engine ran the job and none will."""

    @abstractmethod
    def failed(self, outcome: Failed) -> None:
        """An engine may have run the job; it will not be repeated."""


class JobHandle(ABC):
    """The owner's hold on a submitted job."""

    @abstractmethod
    def cancel(self) -> None:
        """Ends the job; the engine is told to stop. No event follows."""


class ChatDispatcher(ABC):
    """Queues jobs, places them on engines, retries what is safe."""

    @abstractmethod
    def submit(self, job: ChatJob, listener: ChatListener) -> JobHandle:
        """Takes a job; exactly one ending event follows unless cancelled.

        A queue that cannot meet the deadline refuses at once.
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
        """Takes up a stream that an earlier owner had dispatched.

        Args:
            job: The call.
            target: The engine that has it.
            request: The earlier dispatch.
            start: Body bytes not wanted again.
            listener: Who hears.
        """

    @abstractmethod
    def program_paused(self, root: ProgramId) -> None:
        """The program waits for a tool; its cache may soon be needed."""

    @abstractmethod
    def program_ended(self, root: ProgramId) -> None:
        """The program ended or vanished; engines hold nothing for it."""
