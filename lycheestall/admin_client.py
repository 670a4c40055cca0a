"""The command line's HTTP client of a daemon's operators' interface."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http.client import HTTPException
from typing import Any, TypeVar
from urllib.error import HTTPError
from urllib.request import ProxyHandler, Request, build_opener

import click

__all__ = ["AdminAnswer", "AdminClient", "admin_options"]

TIMEOUT_S = 30.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

FunctionT = TypeVar("FunctionT", bound=Callable[..., Any])


@dataclass(frozen=True, slots=True)
class AdminAnswer:
    """A daemon's answer.

    Attributes:
        status: HTTP status; 0 when no usable answer came.
        document: The decoded JSON.
        error: Why no usable answer came, else empty.
    """

    status: int
    document: Any
    error: str = ""


class AdminClient:
    """Asks one daemon; no proxy is used.

    Args:
        url: Base URL of its operators' interface.
        key: An operator's bearer key; sent, never shown.
        timeout_s: The longest wait for an answer.
    """

    def __init__(
        self, url: str, key: str, *, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._url = url.rstrip("/")
        self._key = key
        self._timeout_s = timeout_s
        self._opener = build_opener(ProxyHandler({}))

    def get(self, path: str) -> AdminAnswer:
        """Asks for a document.

        Args:
            path: A path such as ``/admin/rules``.
        """
        return self._ask(path, None)

    def post(self, path: str, document: object) -> AdminAnswer:
        """Sends a document.

        Args:
            path: A path such as ``/admin/rules``.
            document: What to send as JSON.
        """
        return self._ask(path, json.dumps(document).encode())

    def _ask(self, path: str, body: bytes | None) -> AdminAnswer:
        headers = {
            "authorization": f"Bearer {self._key}",
            "content-type": "application/json",
        }
        try:
            request = Request(self._url + path, body, headers)
            with self._opener.open(
                request, timeout=self._timeout_s
            ) as response:
                content = response.read(MAX_ANSWER_BYTES)
                return AdminAnswer(response.status, json.loads(content))
        except HTTPError as error:
            return _refusal(error)
        except (OSError, HTTPException, ValueError) as error:
            return AdminAnswer(0, None, f"{type(error).__name__}: {error}")


def _refusal(error: HTTPError) -> AdminAnswer:
    try:
        return AdminAnswer(error.code, json.loads(error.read()))
    except (OSError, HTTPException, ValueError):
        return AdminAnswer(error.code, None, f"HTTP status {error.code}")


def admin_options(command: FunctionT) -> FunctionT:
    """Adds the options that say which daemon to ask.

    Args:
        command: A command that takes ``url`` and ``key``.
    """
    url = click.option(
        "--url",
        envvar="LYCHEESTALL_URL",
        required=True,
        help="Base URL of a daemon's operators' interface.",
    )
    key = click.option(
        "--key",
        envvar="LYCHEESTALL_KEY",
        required=True,
        help="An operator's bearer key.",
    )
    return url(key(command))
