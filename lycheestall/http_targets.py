"""Creates HTTP clients of targets."""

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

__all__ = ["HttpTargetFactory"]

MAX_CONNECTIONS_PER_HOST = 64
CONNECTION_IDLE_TIMEOUT_S = 20


class HttpTargetFactory(TargetFactory):
    """Creates HTTP clients of targets that share one connection pool.

    Args:
        reactor: The running Twisted reactor.

    Attributes:
        client: The shared client, also used for the platform's services.
    """

    def __init__(self, reactor: Any) -> None:
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_HOST
        pool.cachedConnectionTimeout = CONNECTION_IDLE_TIMEOUT_S
        # By default, the pool retries PUT and DELETE requests.
        pool.retryAutomatically = False
        self.client = HttpClient(reactor, pool)

    def engine(self, entry: VmEntry) -> Engine:
        """Returns an HTTP client of a model engine."""
        return HttpEngine(self.client, TargetId(entry.vm), _url(entry))

    def application(self, entry: VmEntry) -> Application:
        """Returns an HTTP client of an application or tool."""
        return HttpApplication(self.client, TargetId(entry.vm), _url(entry))


def _url(entry: VmEntry) -> str:
    host = f"[{entry.host}]" if ":" in entry.host else entry.host
    return f"http://{host}:{entry.port}"
