"""Messages about the load and the speed of targets."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ...ids import TargetId
from ..token_ledger import HolderId
from .speed_estimates import SpeedKey, SpeedSums
from .work import WorkKind

__all__ = [
    "MAX_ROWS",
    "ONE_VM",
    "ShareFigures",
    "decode_figures",
    "encode_figures",
]

MAX_ROWS = 96
"""Largest number of loads, and of speeds, in a message. A collector answers
each VM of its group twice a second or more, so messages must stay cheap to
encode."""

ONE_VM = -1
"""In place of a group number: figures of the sender alone (a report), or the
sums of all groups (the reply to one)."""


@dataclass(frozen=True, slots=True)
class ShareFigures:
    """What one VM, one group or all groups know of the targets.

    VMs share no clock, so times are sent as ages.

    Attributes:
        holder: The VM that sends it.
        group: Number of the group that the figures are about; ``ONE_VM`` if
            they are about the sender.
        heard: Number of VMs that the loads count.
        age_s: Mean age of the loads in seconds.
        loads: Running requests by target, those that aren't 0.
        speeds: Observations by target and kind of work; of one VM, those
            since its last report.
    """

    holder: HolderId
    group: int
    heard: int
    age_s: float
    loads: Mapping[TargetId, int]
    speeds: Mapping[SpeedKey, SpeedSums]


def encode_figures(message: ShareFigures) -> list[Any]:
    """Returns the fields of a message."""
    loads = [list(row) for row in message.loads.items()]
    speeds = [
        [
            key.target,
            int(key.kind),
            round(sums.log_sum, 3),
            round(sums.square_sum, 3),
            round(sums.weight, 3),
        ]
        for key, sums in message.speeds.items()
    ]
    return [
        message.holder,
        message.group,
        message.heard,
        round(message.age_s, 3),
        loads[:MAX_ROWS],
        speeds[:MAX_ROWS],
    ]


def decode_figures(fields: list[Any]) -> ShareFigures:
    """Returns the message with the given fields; further ones are ignored."""
    holder, group, heard, age_s, loads, speeds = fields[:6]
    return ShareFigures(
        HolderId(holder),
        group,
        heard,
        age_s,
        {TargetId(target): running for target, running in loads[:MAX_ROWS]},
        {
            SpeedKey(TargetId(row[0]), WorkKind(row[1])): SpeedSums(*row[2:5])
            for row in speeds[:MAX_ROWS]
        },
    )
