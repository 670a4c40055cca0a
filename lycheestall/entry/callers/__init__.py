"""Connections of callers and of other VMs, and the bounds on them."""

from __future__ import annotations

from .bounds import (
    ConnectionBounds,
    caller_bounds,
    peer_bounds,
    status_bounds,
)
from .caller_connection import CallerConnection
from .caller_factory import CallerFactory
from .connection_budget import ConnectionBudget, Decision, Standing, Usage
from .connection_log import ConnectionLog
from .refusals import LimitCause, Refusal
from .request_reader import RequestReader

__all__ = [
    "CallerConnection",
    "CallerFactory",
    "ConnectionBounds",
    "ConnectionBudget",
    "Decision",
    "LimitCause",
    "ConnectionLog",
    "Refusal",
    "RequestReader",
    "Standing",
    "Usage",
    "caller_bounds",
    "peer_bounds",
    "status_bounds",
]
