"""All ends of a request, in each state of its response."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest

from lycheestall.entry.accounts import AccountId
from lycheestall.entry.attempt_outcomes import (
    Broken,
    NotRun,
    NotRunReason,
    WholeAnswer,
)
from lycheestall.entry.configuration import ServiceId
from lycheestall.entry.http_client_connection import BreakReason
from lycheestall.entry.http_messages import Request, ResponseHead
from lycheestall.entry.quotas.quota_permit import QuotaDenied, QuotaRefusal
from lycheestall.entry.reservation_decision import ReservationDecision
from lycheestall.entry.responses import (
    Exchange,
    ResponseChannel,
    ResponseState,
    ResponseStep,
)
from lycheestall.entry.responses.final_response import EarlyEnd, FinalResponse
from lycheestall.entry.retry_policy import AttemptHistory
from lycheestall.entry.token_ledger import HolderId

REQUEST = Request(b"POST", b"/plan/x", (), b"", True, 0.0)
FAILED = WholeAnswer(
    ResponseHead(500, (), framed=True, keep_alive=True), b"failed"
)
FULL = NotRun(
    NotRunReason.FULL,
    503,
    ResponseHead(503, (), framed=True, keep_alive=True),
    b"",
)
DENIED = QuotaDenied(
    AccountId("one"),
    HolderId("vm.1"),
    next(iter(QuotaRefusal)),
    retry_after_s=0.5,
    known_s=0.0,
)

End = Callable[[FinalResponse], None]

# One row for each public method that ends a request.
ENDS: dict[str, list[End]] = {
    "send": [lambda final: final.send(FAILED)],
    "end_early": [
        lambda final: final.end_early(EarlyEnd.DEADLINE_PASSED, sent=True),
        lambda final: final.end_early(EarlyEnd.DEADLINE_PASSED, sent=False),
        lambda final: final.end_early(EarlyEnd.SHUTTING_DOWN, sent=True),
        lambda final: final.end_early(EarlyEnd.SHUTTING_DOWN, sent=False),
    ],
    "refuse_tokens": [
        lambda final: final.refuse_tokens(ReservationDecision.SPENT),
        lambda final: final.refuse_tokens(ReservationDecision.HELD_ELSEWHERE),
    ],
    "refuse_shutting_down": [FinalResponse.refuse_shutting_down],
    "refuse_isolated": [FinalResponse.refuse_isolated],
    "refuse_unknown_version": [FinalResponse.refuse_unknown_version],
    "end_at_limits": [lambda final: final.end_at_limits(0.5)],
    "end_over_quota": [lambda final: final.end_over_quota(DENIED)],
    "end_without_target": [
        lambda final: final.end_without_target(ServiceId("engines"))
    ],
    "end_after_failure": [
        lambda final: final.end_after_failure(
            Broken(BreakReason.RESET, response_started=True)
        ),
        lambda final: final.end_after_failure(FULL),
    ],
    "end_unrecorded": [FinalResponse.end_unrecorded],
    "fail": [lambda final: final.fail("internal error")],
    "refuse": [lambda final: final.refuse(503, "no target is up", 0.5)],
}
CASES = [end for ends in ENDS.values() for end in ends]
NOT_ENDS = {"events_sent", "log_end"}


class RecordingChannel(ResponseChannel):
    """A connection that records what is done to it.

    Attributes:
        written: The bytes written.
        aborted: Whether it was reset.
        misused: Steps that were not allowed.
    """

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False
        self.misused: list[ResponseStep] = []

    def write(self, exchange: Exchange, data: bytes) -> None:
        """Records bytes."""
        self.written += data

    def response_ended(self, exchange: Exchange, *, close: bool) -> None:
        """Does nothing."""

    def abort(self, exchange: Exchange) -> None:
        """Records a reset."""
        self.aborted = True

    def closes_after(self, request: Request) -> bool:
        """Returns False."""
        return False

    def step_misused(
        self, step: ResponseStep, before: ResponseState, request: Request
    ) -> None:
        """Records a step."""
        self.misused.append(step)


class Ended:
    """A request that is about to end.

    Args:
        attempted: Whether a target may have run it.

    Attributes:
        channel: Its caller's connection.
        exchange: Its response.
        final: What ends it.
        logged: Outcomes and responses in the log.
    """

    def __init__(self, *, attempted: bool) -> None:
        self.channel = RecordingChannel()
        self.exchange = Exchange(REQUEST, self.channel)
        self.logged: list[tuple[str, ResponseState]] = []
        none: Any = SimpleNamespace(
            required=None, recorded_tokens=0, tokens_for_events=lambda _: 0
        )
        deps: Any = SimpleNamespace(
            clock=SimpleNamespace(seconds=lambda: 1.0),
            headers=SimpleNamespace(caller_headers=list),
            log=SimpleNamespace(request_ended=self._log),
            table=SimpleNamespace(usable=lambda *_: []),
        )
        self.final = FinalResponse(
            deps,
            self.exchange,
            none,
            none,
            AttemptHistory(attempts=1, may_have_run=attempted),
            none,
            None,
            none,
            version=1,
        )

    def _log(self, *_: object, **fields: Any) -> None:
        self.logged.append((fields["outcome"], fields["response"]))


@pytest.fixture(params=[False, True], ids=["not run", "attempted"])
def ended(request: pytest.FixtureRequest) -> Ended:
    """A request that may or may not have run."""
    return Ended(attempted=request.param)


# Guards against an end of a request that the cases below don't know.
def test_every_end_has_a_case() -> None:
    methods = {
        name for name in vars(FinalResponse) if not name.startswith("_")
    }
    assert methods - NOT_ENDS == set(ENDS)


# Guards against any end of a request that writes a second answer, kept or its
# own, into one that has begun (review/11).
@pytest.mark.parametrize("kept", [None, FAILED])
@pytest.mark.parametrize("end", CASES)
def test_an_end_breaks_off_what_has_begun(
    ended: Ended, end: End, kept: WholeAnswer | None
) -> None:
    ended.final.fallback = kept
    ended.exchange.start(200, [])
    ended.exchange.write(b"id: 1\n\n")
    written = ended.channel.written
    end(ended.final)
    assert ended.channel.written == written
    assert ended.channel.aborted
    assert not ended.channel.misused
    assert [state for _, state in ended.logged] == [ResponseState.BROKEN_OFF]
    assert ended.exchange.status == 200


# Guards against an end that leaves a caller without its one answer.
@pytest.mark.parametrize("kept", [None, FAILED])
@pytest.mark.parametrize("end", CASES)
def test_an_end_answers_what_has_not_begun(
    ended: Ended, end: End, kept: WholeAnswer | None
) -> None:
    ended.final.fallback = kept
    end(ended.final)
    assert ended.channel.written.count(b"HTTP/1.1 ") == 1
    assert not ended.channel.aborted
    assert [state for _, state in ended.logged] == [ResponseState.COMPLETE]
    if kept is not None:
        assert ended.channel.written.endswith(b"failed")


# Guards against an end that answers a second time, or too late.
@pytest.mark.parametrize("end", CASES)
@pytest.mark.parametrize(
    "before",
    [
        lambda exchange: exchange.respond(200, [], b"whole"),
        Exchange.caller_disconnected,
        Exchange.abort,
    ],
)
def test_an_end_writes_nothing_after_the_end(
    ended: Ended, end: End, before: Callable[[Exchange], None]
) -> None:
    before(ended.exchange)
    written = ended.channel.written
    end(ended.final)
    assert ended.channel.written == written
