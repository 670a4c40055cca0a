"""The ``bench`` commands together."""

from __future__ import annotations

from .bench_cli import bench_group
from .bench_load_cli import load_command
from .bench_slopes import slopes_command

__all__ = ["bench_group"]

bench_group.add_command(load_command)
bench_group.add_command(slopes_command)
