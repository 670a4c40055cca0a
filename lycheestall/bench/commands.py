"""The ``bench`` command group with all its commands."""

from __future__ import annotations

from .cli import bench_group
from .load_cli import load_command
from .slopes import slopes_command

__all__ = ["bench_group"]

bench_group.add_command(load_command)
bench_group.add_command(slopes_command)
