"""What all runs of requests on a VM share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .attempt_timeouts import AttemptTimeouts
from .connection_pool import ConnectionPool
from .decision_log import DecisionLog
from .header_codec import HeaderCodec
from .target_chooser import TargetChooser
from .target_table import TargetRegistration, TargetTable
from .turn_tokens import TurnTokens

__all__ = ["RunParts"]


@dataclass(frozen=True, slots=True)
class RunParts:
    """What all runs of this VM share.

    Attributes:
        clock: Times the requests.
        headers: Reads and writes headers.
        chooser: Chooses targets.
        timeouts: Says when an attempt is overdue.
        table: The registered targets.
        tokens: Token budgets.
        crashed: Reports a target lost while it ran a request.
        refused: Whether a request crashes its targets.
        pool_of: Returns the connections to a target.
        log: Takes the decisions.
    """

    clock: Any
    headers: HeaderCodec
    chooser: TargetChooser
    timeouts: AttemptTimeouts
    table: TargetTable
    tokens: TurnTokens
    crashed: Callable[[str], object]
    refused: Callable[[str], bool]
    pool_of: Callable[[TargetRegistration], ConnectionPool]
    log: DecisionLog
