"""Writes a chat call's response: head, stream or document, receipt."""

from __future__ import annotations

from .answers import Answer
from .calls import Call, ResponseHead
from .chat_body import ChatAssembler, Message
from .history import ChainPoint
from .ids import CallNumber, RequestId, TargetId
from .owner_dependencies import OwnerDependencies
from .program import NO_REQUEST, NO_TARGET, Program
from .targets import EngineDone

__all__ = ["ChatResponse"]

JSON_TYPE = "application/json"
SSE_TYPE = "text/event-stream"


class ChatResponse:
    """Relays a stream, or collects it into one document.

    Which of the two the caller gets depends on its request. The head of a
    stream carries a receipt for the messages sent; the receipt that covers
    the answer follows the stream as an SSE comment.

    Args:
        dependencies: The owner's dependencies.
        call: The call.
        program: Its top-level program.
        number: The call's number in its program.
        answer: Receives the response.
    """

    def __init__(
        self,
        dependencies: OwnerDependencies,
        call: Call,
        program: Program,
        number: CallNumber,
        answer: Answer,
    ) -> None:
        self._dependencies = dependencies
        self._call = call
        self._program = program
        self._number = number
        self._answer = answer
        self._assembler = ChatAssembler()

    def accepted(
        self, point: ChainPoint, target: TargetId, request: RequestId
    ) -> None:
        """Sends the head of a stream once an engine accepted the call.

        Args:
            point: The history with the messages sent.
            target: The engine.
            request: The dispatch's id.
        """
        if self._call.streamed:
            receipt = self._receipt(point, target, request)
            self._answer.start(self._head(SSE_TYPE, receipt))

    def chunk(self, data: bytes) -> None:
        """Relays or collects the next bytes of the stream."""
        self._assembler.feed(data)
        if self._call.streamed:
            self._answer.chunk(data)

    def message(self) -> Message:
        """Returns the complete answer as a message of the history."""
        self._assembler.close()
        return self._assembler.message()

    def finish(self, result: EngineDone, point: ChainPoint) -> None:
        """Sends the receipt, or the whole document, after the answer.

        Args:
            result: The engine's token counts.
            point: The history including the answer.
        """
        receipt = self._receipt(point, NO_TARGET, NO_REQUEST)
        if self._call.streamed:
            comment = f": lycheestall-receipt {receipt}\n\n"
            self._answer.chunk(comment.encode())
            return
        done = ("lycheestall-outcome", "completed")
        self._answer.start(self._head(JSON_TYPE, receipt, done))
        self._answer.chunk(
            self._assembler.document(
                name=f"{self._call.program}.{self._number}",
                model=self._call.model,
                tokens_in=result.tokens_in,
                tokens_out=result.tokens_out,
            )
        )

    def _head(
        self, content_type: str, receipt: str, *more: tuple[str, str]
    ) -> ResponseHead:
        headers = (
            ("content-type", content_type),
            ("lycheestall-program", self._call.program),
            ("lycheestall-call", str(self._number)),
            ("lycheestall-receipt", receipt),
        )
        return ResponseHead(200, headers + more)

    def _receipt(
        self, point: ChainPoint, target: TargetId, request: RequestId
    ) -> str:
        program = self._program
        receipt = program.receipt(
            self._call.program,
            epoch=self._dependencies.cell.epoch_of(program.partition),
            point=point,
            target=target,
            request=request,
        )
        return self._dependencies.signer.sign(receipt)
