"""Mutual TLS between daemons; changed certificate files are reloaded."""

from __future__ import annotations

import ipaddress
import os
import ssl
from typing import Any

from .ids import VmId
from .settings import TlsSettings

__all__ = ["TlsContexts", "certificate_names", "is_loopback"]


def is_loopback(host: str) -> bool:
    """Returns whether an address is a loopback IP address.

    Args:
        host: An IP address; for a host name the result is False.
    """
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def certificate_names(certificate: dict[str, Any] | None) -> frozenset[VmId]:
    """Returns the VM ids that a peer's certificate was issued for.

    Args:
        certificate: The result of ``ssl.SSLObject.getpeercert``.

    Returns:
        The subject's common names and the DNS alternative names.
    """
    if not certificate:
        return frozenset()
    names: set[VmId] = set()
    for attributes in certificate.get("subject", ()):
        for key, value in attributes:
            if key == "commonName":
                names.add(VmId(value))
    for kind, value in certificate.get("subjectAltName", ()):
        if kind == "DNS":
            names.add(VmId(value))
    return frozenset(names)


class TlsContexts:
    """Creates TLS contexts and recreates them when their files change.

    Peer certificates are verified against the deployment's certificate
    authority. Host names are not checked; instead the caller compares
    ``certificate_names`` with the VM id in the peer's ``Hello``.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._file_stamps: tuple[tuple[int, int], ...] = ()
        self._client_context: ssl.SSLContext | None = None
        self._server_context: ssl.SSLContext | None = None

    def changed(self) -> bool:
        """Returns whether the files have changed since they were loaded."""
        return self._read_file_stamps() != self._file_stamps

    def client(self) -> ssl.SSLContext:
        """Returns the context for outgoing connections."""
        self._reload_if_changed()
        assert self._client_context is not None
        return self._client_context

    def server(self) -> ssl.SSLContext:
        """Returns the context for incoming connections."""
        self._reload_if_changed()
        assert self._server_context is not None
        return self._server_context

    def _reload_if_changed(self) -> None:
        if self._client_context is not None and not self.changed():
            return
        file_stamps = self._read_file_stamps()
        client = self._load_context(ssl.PROTOCOL_TLS_CLIENT)
        server = self._load_context(ssl.PROTOCOL_TLS_SERVER)
        self._client_context, self._server_context, self._file_stamps = (
            client,
            server,
            file_stamps,
        )

    def _load_context(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._settings.certificate_file, self._settings.key_file
        )
        context.load_verify_locations(self._settings.authority_file)
        return context

    def _read_file_stamps(self) -> tuple[tuple[int, int], ...]:
        paths = (
            self._settings.certificate_file,
            self._settings.key_file,
            self._settings.authority_file,
        )
        stamps: list[tuple[int, int]] = []
        for path in paths:
            status = os.stat(path)
            stamps.append((status.st_mtime_ns, status.st_size))
        return tuple(stamps)
