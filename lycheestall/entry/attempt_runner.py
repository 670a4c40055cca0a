"""Runs the attempts of one request, one after the other."""

from __future__ import annotations

from collections.abc import Callable

from .attempt import Attempt
from .attempt_feedback import AttemptFeedback
from .attempt_messages import SendAttempt
from .attempt_outcomes import (
    AttemptOutcome,
    NotSent,
    StreamEnded,
    Unreachable,
)
from .configuration import Route
from .membership import Member
from .message_metadata import RequestMetadata
from .overdue_timer import start_overdue_timer
from .peer_rpc import encode_call
from .placement.work import CompletedStream
from .relay_client import MAX_PEERS_ASKED
from .request_dependencies import RequestDependencies
from .responses import Exchange
from .retry_policy import NextStep
from .stream_forwarder import StreamForwarder
from .target_admission import Admission
from .target_attempt import TargetAttempt
from .target_request import TargetRequest
from .target_table import TargetRegistration
from .token_ledger import HolderId

__all__ = ["AttemptRunner"]

OTHERS_HEARD_S = 0.5
"""Age of the last contact with any target up to which a target that doesn't
accept a connection is taken to be down itself."""


class AttemptRunner:
    """Sends a request to admitted targets and feeds the outcomes back.

    An attempt goes over this VM's own link, or through a peer where that
    link is lost. The peer only carries it: whatever is decided or counted
    about the request is decided and counted here.

    Args:
        deps: Dependencies shared by all requests.
        exchange: The request and its response.
        metadata: The request's metadata.
        route: The request's route.
        forwarder: Forwards the stream; None if the route has none.
        feedback: Learns how the attempts end.
        target_request: Encodes the request.
        body: Returns the body to send.
        may_repeat: Returns whether a target may run the request again.

    Attributes:
        registration: The target of the last attempt; None before the first.
        new_connection: Whether the last attempt asked for a new connection.
        relayed_by: The peer that sent the last attempt; None if none did.
    """

    def __init__(
        self,
        deps: RequestDependencies,
        exchange: Exchange,
        metadata: RequestMetadata,
        route: Route,
        forwarder: StreamForwarder | None,
        feedback: AttemptFeedback,
        target_request: TargetRequest,
        *,
        body: Callable[[], bytes],
        may_repeat: Callable[[], bool],
    ) -> None:
        self._deps = deps
        self._exchange = exchange
        self._metadata = metadata
        self._route = route
        self._forwarder = forwarder
        self._feedback = feedback
        self._target_request = target_request
        self._body = body
        self._may_repeat = may_repeat
        self.registration: TargetRegistration | None = None
        self.new_connection = False
        self.relayed_by: HolderId | None = None
        self._attempt: Attempt | None = None
        self._started_at = 0.0

    async def run(
        self,
        admission: Admission,
        *,
        can_retry_elsewhere: bool,
        deadline_passed: Callable[[], bool],
    ) -> AttemptOutcome:
        """Runs one attempt and returns its outcome.

        Args:
            admission: The target and the permit to send to it.
            can_retry_elsewhere: Whether another target may run the request,
                so that an overdue attempt is ended.
            deadline_passed: Returns whether the deadline ended the attempt.
        """
        registration = admission.registration
        target = registration.target
        self.registration = registration
        self._deps.chooser.request_started(target)
        try:
            outcome = await self._send(
                admission, can_retry_elsewhere=can_retry_elsewhere
            )
        finally:
            self._deps.chooser.request_ended(target)
        self._record(registration, outcome, deadline_passed())
        return outcome

    def stop(self) -> bool:
        """Ends the attempt in progress; returns whether there is one."""
        if self._attempt is None:
            return False
        self._attempt.stop()
        return True

    def log_failed(self, outcome: AttemptOutcome, next_step: NextStep) -> None:
        """Logs the last attempt, which gave no final response."""
        deps = self._deps
        registration = self.registration
        assert registration is not None
        deps.log.attempt_failed(
            self._metadata,
            registration,
            outcome,
            next_step=next_step,
            contact=deps.link_monitor.links.contact(
                registration.target, deps.clock.seconds()
            ),
            new_connection=self.new_connection,
            relayed_by=self.relayed_by,
        )

    async def _send(
        self, admission: Admission, *, can_retry_elsewhere: bool
    ) -> AttemptOutcome:
        links = self._deps.link_monitor.links
        target = admission.registration.target
        now = self._deps.clock.seconds()
        links.want(target, now)
        # Peers have just said so; only the target itself is asked again.
        known_down = links.is_down(target, now)
        if known_down and links.is_silent(target, now):
            return NotSent("no peer has reached the target")
        direct: AttemptOutcome | None = None
        if known_down or links.is_up(target, now):
            direct = await self._send_directly(admission, can_retry_elsewhere)
            if not isinstance(direct, NotSent):
                return direct
            if known_down or self._seems_down(direct):
                return direct
        relayed = await self._send_through_peers(
            admission, can_retry_elsewhere
        )
        if not isinstance(relayed, Unreachable):
            return relayed
        if relayed.target_lost:
            now = self._deps.clock.seconds()
            links.target_down(target, now)
            if direct is None and not links.is_silent(target, now):
                # The target may have come back since the link was probed.
                return await self._send_directly(
                    admission, can_retry_elsewhere
                )
            return direct or NotSent(relayed.reason)
        return direct or relayed

    def _seems_down(self, outcome: NotSent) -> bool:
        # After a refused connection, asking a peer costs little. One that
        # timed out has cost enough: if other targets are heard, the request
        # goes to one of them at once.
        if not outcome.timed_out:
            return False
        registration = self.registration
        assert registration is not None
        now = self._deps.clock.seconds()
        links = self._deps.link_monitor.links
        contact = links.contact(registration.target, now)
        return contact.any_s < OTHERS_HEARD_S

    async def _send_directly(
        self, admission: Admission, can_retry_elsewhere: bool
    ) -> AttemptOutcome:
        deps = self._deps
        registration = admission.registration
        self.relayed_by = None
        link = deps.link_monitor.use(registration.target)
        attempt = TargetAttempt(
            deps.pool_of(registration),
            deps.headers,
            request_id=self._metadata.request_id,
            forwarder=self._forwarder,
            is_head_request=self._exchange.request.method == b"HEAD",
            on_response=lambda head, response: deps.announcements.observe(
                self._metadata, registration, head, response
            ),
            link=link,
        )
        link.on_lost = lambda: attempt.link_lost(may_repeat=self._may_repeat())
        try:
            return await self._run(
                attempt,
                lambda: self._encode_for(admission),
                can_retry_elsewhere=can_retry_elsewhere,
            )
        finally:
            link.end()

    async def _send_through_peers(
        self, admission: Admission, can_retry_elsewhere: bool
    ) -> AttemptOutcome:
        """Asks peers one after the other until one sends the attempt.

        A peer that doesn't reach the target either may have lost its link
        for the same reason as this VM if it is in the same zone. A peer of
        another zone decides.
        """
        target = admission.registration.target
        asked: set[HolderId] = set()
        outcome = Unreachable("no peer to send it")
        while len(asked) < MAX_PEERS_ASKED:
            member = self._deps.relay.choose(
                target, avoid=asked, elsewhere=outcome.target_lost
            )
            if member is None:
                break
            asked.add(member.holder)
            result = await self._send_through(
                member, admission, can_retry_elsewhere
            )
            if not isinstance(result, Unreachable):
                return result
            target_lost = outcome.target_lost or result.target_lost
            outcome = Unreachable(result.reason, target_lost)
            if result.target_lost and self._deps.relay.in_other_zone(member):
                break
        return outcome

    async def _send_through(
        self,
        member: Member,
        admission: Admission,
        can_retry_elsewhere: bool,
    ) -> AttemptOutcome:
        deps = self._deps
        registration = admission.registration
        self.relayed_by = member.holder
        deps.log.attempt_relayed(
            self._metadata,
            registration,
            member.holder,
            summary=deps.link_monitor.links.summary(deps.clock.seconds()),
            report_age_s=deps.relay.report_age_s(member),
        )
        attempt = deps.relay.create_attempt(
            member,
            sink=self._forwarder,
            on_response=lambda head, response: deps.announcements.observe(
                self._metadata, registration, head, response
            ),
        )
        deps.relay.relay_peers.started(member.holder)
        try:
            outcome = await self._run(
                attempt,
                lambda: self._encode_for_peer(admission, member),
                can_retry_elsewhere=can_retry_elsewhere,
            )
        finally:
            deps.relay.relay_peers.ended(member.holder)
        if attempt.peer_failed:
            deps.relay.shun(member)
        return outcome

    async def _run(
        self,
        attempt: Attempt,
        build: Callable[[], bytes | None],
        *,
        can_retry_elsewhere: bool,
    ) -> AttemptOutcome:
        registration = self.registration
        assert registration is not None
        self._attempt = attempt
        attempt.hold = self._exchange.hold
        if self._forwarder is not None:
            self._exchange.on_flow = attempt.set_flowing
        self._started_at = self._deps.clock.seconds()
        timer = start_overdue_timer(
            self._deps,
            self._route,
            attempt,
            can_retry_elsewhere=can_retry_elsewhere,
            remaining_s=self._target_request.remaining_s,
            pace=self._deps.chooser.pace(
                registration.target,
                self._started_at,
                is_stream=self._forwarder is not None,
            ),
            on_overdue=lambda: self._report_overdue(registration),
        )
        try:
            attempt.start(build)
            return await attempt.outcome
        finally:
            self._attempt = None
            self.new_connection = attempt.new_connection
            if timer is not None and timer.active():
                timer.cancel()

    def _record(
        self,
        registration: TargetRegistration,
        outcome: AttemptOutcome,
        deadline_passed: bool,
    ) -> None:
        first_event_at = None
        if self._forwarder is not None:
            first_event_at = self._forwarder.first_event_at
        self._feedback.record_outcome(
            registration.target,
            outcome,
            started_at=self._started_at,
            first_event_at=first_event_at,
            deadline_passed=deadline_passed,
            relayed=self.relayed_by is not None,
            stream=self._completed_stream(outcome),
        )

    def _completed_stream(
        self, outcome: AttemptOutcome
    ) -> CompletedStream | None:
        forwarder = self._forwarder
        if forwarder is None or not isinstance(outcome, StreamEnded):
            return None
        first_event_at = forwarder.first_event_at
        if first_event_at is None or first_event_at < self._started_at:
            return None
        return CompletedStream(
            prefix_tokens=self._metadata.affinity_tokens,
            first_event_s=first_event_at - self._started_at,
            streaming_s=self._deps.clock.seconds() - first_event_at,
            events=forwarder.events_sent,
        )

    def _report_overdue(self, registration: TargetRegistration) -> None:
        if not self._exchange.started:
            self._feedback.record_overdue(
                registration.target, started_at=self._started_at
            )

    def _encode_for(self, admission: Admission) -> bytes | None:
        if self._deps.clock.seconds() >= admission.permit.expires_at:
            return None
        return self._target_request.encode(
            admission.registration.target,
            self._body(),
            resume_after=self._resume_after(admission),
        )

    def _encode_for_peer(
        self, admission: Admission, member: Member
    ) -> bytes | None:
        expires_in_s = admission.permit.expires_at - self._deps.clock.seconds()
        if expires_in_s <= 0:
            return None
        request = self._exchange.request
        target = admission.registration.target
        headers = self._target_request.headers(
            target, resume_after=self._resume_after(admission)
        )
        message = SendAttempt(
            holder=self._deps.relay.holder,
            request_id=self._metadata.request_id,
            target=target,
            started_ms=admission.registration.started_ms,
            method=request.method,
            url=request.url,
            headers=tuple(headers),
            body=self._body(),
            fingerprint=self._feedback.fingerprint,
            is_stream=self._forwarder is not None,
            may_repeat=self._may_repeat(),
            remaining_s=self._target_request.remaining_s,
            send_within_s=expires_in_s,
        )
        return encode_call(member.address, message)

    def _resume_after(self, admission: Admission) -> int | None:
        resume_after = self._metadata.resume_after
        if self._forwarder is not None:
            resume_after = self._forwarder.last_event_id
        if resume_after is not None:
            self._deps.log.stream_resumed(
                self._metadata,
                admission.registration,
                resume_after=resume_after,
            )
        return resume_after
