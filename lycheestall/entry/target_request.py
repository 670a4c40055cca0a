"""Encodes a caller's request for a target."""

from __future__ import annotations

from ..clock import Clock
from ..ids import TargetId
from .accounts import Account
from .configuration import Route, Service
from .header_codec import HeaderCodec
from .http_messages import Header, Request, encode_request
from .message_metadata import RequestMetadata
from .urgency import urgency

__all__ = ["TargetRequest"]


class TargetRequest:
    """A request as its targets receive it.

    Args:
        headers: Writes the headers.
        clock: Tells how much time is left.
        request: The caller's request.
        metadata: Its metadata.
        route: Its route.
        service: Settings of the route's service, None if it is not
            configured.
        deadline: When the request must have been answered.
        authenticated: Whether the configuration has accounts.
        account: The account that the request belongs to, if any.
    """

    def __init__(
        self,
        headers: HeaderCodec,
        clock: Clock,
        request: Request,
        metadata: RequestMetadata,
        route: Route,
        service: Service | None,
        *,
        deadline: float,
        authenticated: bool = False,
        account: Account | None = None,
    ) -> None:
        self._headers = headers
        self._clock = clock
        self._request = request
        self._metadata = metadata
        self._route = route
        self._is_engine = service is not None and service.engine is not None
        self._deadline = deadline
        self._authenticated = authenticated
        self._account = account

    @property
    def remaining_s(self) -> float:
        """Seconds left until the request's deadline."""
        return self._deadline - self._clock.seconds()

    def headers(
        self, target: TargetId, *, resume_after: int | None
    ) -> list[Header]:
        """Returns the headers to send now.

        Args:
            target: The only target that may run the request.
            resume_after: ID of the last event that was received, if the
                stream is resumed.
        """
        return self._headers.target_headers(
            self._request.headers,
            target=target,
            remaining_s=self.remaining_s,
            urgency=self._urgency(),
            resume_after=resume_after,
            authenticated=self._authenticated,
            account=self._account.account if self._account else None,
        )

    def encode(
        self, target: TargetId, body: bytes, *, resume_after: int | None
    ) -> bytes:
        """Returns the bytes to send now.

        Args:
            target: The only target that may run the request.
            body: The body, which may differ from the caller's.
            resume_after: ID of the last event that was received, if the
                stream is resumed.
        """
        headers = self.headers(target, resume_after=resume_after)
        return encode_request(
            self._request.method, self._request.url, headers, body
        )

    def _urgency(self) -> int | None:
        if not self._is_engine:
            return None
        deadline_s = self._metadata.program_deadline_s
        priority = self._route.priority
        if self._account is not None and self._account.priority is not None:
            priority = self._account.priority
        return urgency(
            priority,
            program_deadline_s=deadline_s,
            late=deadline_s is not None and deadline_s <= 0,
        )
