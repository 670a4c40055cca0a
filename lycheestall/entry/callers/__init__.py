"""Connections of callers and of other VMs to this VM."""

from .caller_connection import CallerConnection, CallerFactory

__all__ = ["CallerConnection", "CallerFactory"]
