"""Conversations in the soak: what callers were told, what targets received."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

PROBE_LIMIT_S = 15.0
"""Seconds after the last fault within which a kept turn must be found; VMs
that were killed last may still be starting."""
NOT_FOUND = 404


@dataclass(frozen=True)
class AnsweredTurn:
    """A turn that a caller got a complete answer to.

    Attributes:
        request: Its request ID.
        prompt: The whole prompt that its target should have received.
        output: The data of its events.
        store_undisturbed: Whether the store was reachable by all VMs from a
            second before the turn to its end.
    """

    request: str
    prompt: bytes
    output: bytes
    store_undisturbed: bool


class SoakConversations:
    """Callers' own record of their conversations, and the checks on it.

    Args:
        chances: Determines what is continued.
    """

    def __init__(self, chances: random.Random) -> None:
        self._random = chances
        self._expected: dict[str, bytes] = {}
        self.answered: list[AnsweredTurn] = []
        self.received: dict[str, bytes] = {}
        self.violations: list[str] = []
        self.counts: Counter[str] = Counter()

    def choose_previous(self) -> AnsweredTurn | None:
        """Returns a recent turn to continue from, or None for a new one."""
        if not self.answered or self._random.random() < 0.2:
            return None
        return self._random.choice(self.answered[-8:])

    def begin(
        self, request: str, new_input: bytes, previous: AnsweredTurn | None
    ) -> None:
        """Notes a turn that is about to be sent."""
        before = b""
        if previous is not None:
            before = previous.prompt + previous.output
        self._expected[request] = before + new_input

    def end(
        self,
        request: str,
        previous: AnsweredTurn | None,
        *,
        status: int,
        whole: bool,
        body: bytes,
        store_undisturbed: bool,
    ) -> AnsweredTurn | None:
        """Checks an answer; returns the turn if it was answered whole."""
        self.counts[f"{status}{'' if whole else ' cut'}"] += 1
        if status == NOT_FOUND and previous is not None:
            self.violations.append(
                f"lost: {previous.request} was denied to {request}"
            )
        if status != 200 or not whole:
            return None
        lines = body.split(b"\n")
        output = b"".join(
            line[6:] + b"\n" for line in lines if line.startswith(b"data: ")
        )
        turn = AnsweredTurn(
            request, self._expected[request], output, store_undisturbed
        )
        self.answered.append(turn)
        return turn

    def check_prompts(self) -> None:
        """Compares what targets received with what callers remember."""
        for request, body in self.received.items():
            expected = self._expected.get(request)
            if expected is not None and body != expected:
                self.violations.append(
                    f"prompt: {request} was run with {len(body)} bytes, "
                    f"not with its {len(expected)}"
                )

    async def check_all_found(
        self, ask: Callable[..., object], now: Callable[[], float]
    ) -> None:
        """Continues from turns that must not be lost after all faults.

        Args:
            ask: Sends a turn that continues from another one; returns an
                awaitable of the answered turn or None.
            now: Returns the time.
        """
        deadline = now() + PROBE_LIMIT_S
        for turn in self.answered[-6:]:
            if not turn.store_undisturbed:
                continue
            found = await ask(turn)  # type: ignore[misc]
            while found is None and now() < deadline:
                found = await ask(turn)  # type: ignore[misc]
            if found is None:
                self.violations.append(f"lost: {turn.request} is not found")
