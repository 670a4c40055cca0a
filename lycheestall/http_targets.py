"""Targets that are reached over HTTP."""

from __future__ import annotations

from typing import Any

from twisted.web.client import HTTPConnectionPool

from ._http_client import HttpClient
from .application_http import HttpApplication
from .engine_http import HttpEngine
from .ids import TargetId
from .platform_services import VmEntry
from .target_factory import TargetFactory
from .targets import Application, Engine

__all__ = ["HttpTargets"]

POOL_PER_HOST = 64
POOL_IDLE_S = 20


class HttpTargets(TargetFactory):
    """Makes HTTP clients that share one connection pool.

    Args:
        reactor: The running Twisted reactor.

    Attributes:
        client: The shared client, also for the platform's services.
    """

    def __init__(self, reactor: Any) -> None:
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = POOL_PER_HOST
        pool.cachedConnectionTimeout = POOL_IDLE_S
        # The pool would repeat PUT and DELETE by itself.
        pool.retryAutomatically = False
        self.client = HttpClient(reactor, pool)

    def engine(self, entry: VmEntry) -> Engine:
        """Returns a client of a model engine."""
        return HttpEngine(self.client, TargetId(entry.vm), _url(entry))

    def application(self, entry: VmEntry) -> Application:
        """Returns a client of an application runner or tool service."""
        return HttpApplication(self.client, TargetId(entry.vm), _url(entry))


def _url(entry: VmEntry) -> str:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    return f"http://{host}:{entry.port}"
