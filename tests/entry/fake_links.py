"""The links of one VM to its targets, which can fail."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.entry.fake_network import FakeTransport


class LinkFault(Enum):
    """How the links between a VM and its targets fail.

    Attributes:
        SILENT: Nothing arrives; connections neither open nor close.
        REFUSED: Open connections live on, new ones are refused.
        RESET: Open connections are reset, new ones are refused.
    """

    SILENT = "silent"
    REFUSED = "refused"
    RESET = "reset"


class TargetLink:
    """The links of one VM to its targets.

    Attributes:
        fault: How they fail now; None while they work.
    """

    def __init__(self) -> None:
        self.fault: LinkFault | None = None
        self._hosts: frozenset[str] | None = None
        self._held: list[Callable[[], None]] = []
        self._connections: list[FakeTransport] = []

    def cut(
        self, fault: LinkFault, *, hosts: Iterable[str] | None = None
    ) -> None:
        """Lets the links fail.

        Args:
            fault: How.
            hosts: The targets that they lead to; None for all.
        """
        self.fault = fault
        self._hosts = None if hosts is None else frozenset(hosts)
        if fault is LinkFault.RESET:
            for transport in self._connections:
                if self.fault_to(transport.host) is not None:
                    assert transport.peer is not None
                    transport.peer.abortConnection()

    def fault_to(self, host: str) -> LinkFault | None:
        """Returns how the link to a target fails, None if it works."""
        if self._hosts is not None and host not in self._hosts:
            return None
        return self.fault

    def heal(self) -> None:
        """Lets the links work again; what was on the way arrives."""
        self.fault = None
        held, self._held = self._held, []
        for deliver in held:
            deliver()

    def add(self, transport: FakeTransport) -> None:
        """Adds an open connection."""
        self._connections.append(transport)

    def deliver(self, host: str, call: Callable[[], None]) -> None:
        """Delivers something now, or once the link is no longer silent."""
        if self.fault_to(host) is LinkFault.SILENT:
            self._held.append(call)
        else:
            call()
