"""The HTTP client of the admin API, for the command line."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any, TypeVar
from urllib.error import HTTPError
from urllib.request import ProxyHandler, Request, build_opener

import click

__all__ = ["AdminClient", "AdminResult", "admin_options"]

TIMEOUT_S = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


@dataclass(frozen=True, slots=True)
class AdminResult:
    """The result of a request to the admin API.

    Attributes:
        status: HTTP status; 0 if no valid response was received.
        document: The decoded JSON body, None if there is none.
        error: Why there is no valid response or body, else empty.
    """

    status: int
    document: Any
    error: str = ""


class AdminClient:
    """Sends requests to one daemon; proxy settings are ignored.

    Args:
        url: Base URL of the daemon's admin API.
        key: An operator's bearer key; never printed.
        timeout_s: Seconds to wait for the response.
    """

    def __init__(
        self, url: str, key: str, *, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._key = key
        self._timeout_s = timeout_s
        self._opener = build_opener(ProxyHandler({}))

    def get(self, path: str) -> AdminResult:
        """Fetches a document.

        Args:
            path: A path such as ``/admin/rules``.
        """
        return self._request(path, None)

    def post(self, path: str, document: object) -> AdminResult:
        """Posts a document.

        Args:
            path: A path such as ``/admin/rules``.
            document: The request body, to be encoded as JSON.
        """
        return self._request(path, json.dumps(document).encode())

    def _request(self, path: str, body: bytes | None) -> AdminResult:
        headers = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
        }
        try:
            request = Request(self._url + path, body, headers)
            with self._opener.open(
                request, timeout=self._timeout_s
            ) as response:
                content = response.read(MAX_RESPONSE_BYTES)
                return AdminResult(response.status, json.loads(content))
        except HTTPError as error:
            return _error_result(error)
        except (OSError, HTTPException, ValueError) as error:
            return AdminResult(0, None, f"{type(error).__name__}: {error}")


def _error_result(error: HTTPError) -> AdminResult:
    try:
        return AdminResult(error.code, json.loads(error.read()))
    except (OSError, HTTPException, ValueError):
        return AdminResult(error.code, None, f"HTTP status {error.code}")


def admin_options(command: FunctionT) -> FunctionT:
    """Adds the ``--url`` and ``--key`` options to a command.

    Args:
        command: A command that takes ``url`` and ``key``.
    """
    url = click.option(
        "--url",
        envvar="LYCHEESTALL_URL",
        required=True,
        help="Base URL of a daemon's admin API.",
    )
    key = click.option(
        "--key",
        envvar="LYCHEESTALL_KEY",
        required=True,
        help="An operator's bearer key.",
    )
    return url(key(command))
