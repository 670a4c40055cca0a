"""Runs the command line as ``python -m lycheestall``."""

from __future__ import annotations

from .cli import main

main()
