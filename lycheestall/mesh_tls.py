"""Mutual TLS between daemons, with files read again when they change."""

from __future__ import annotations

import ipaddress
import os
import ssl
from typing import Any

from .ids import VmId
from .settings import TlsSettings

__all__ = ["TlsContexts", "certificate_names", "is_loopback"]


def is_loopback(host: str) -> bool:
    """Returns whether an address is a loopback IP number.

    Args:
        host: An IP address; a name counts as not loopback.
    """
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def certificate_names(certificate: dict[str, Any] | None) -> frozenset[VmId]:
    """Returns the VM ids that a peer's certificate names.

    Args:
        certificate: What ``ssl.SSLObject.getpeercert`` returns.

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
    """Builds TLS contexts from files, anew whenever the files change.

    Peers are checked against the deployment's authority; the caller
    compares ``certificate_names`` with the VM id the peer gives.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._stamp: tuple[tuple[int, int], ...] = ()
        self._client: ssl.SSLContext | None = None
        self._server: ssl.SSLContext | None = None

    def changed(self) -> bool:
        """Returns whether the files differ from what is in use."""
        return self._read_stamp() != self._stamp

    def client(self) -> ssl.SSLContext:
        """Returns the context for connections that are dialled."""
        self._refresh()
        assert self._client is not None
        return self._client

    def server(self) -> ssl.SSLContext:
        """Returns the context for connections that are accepted."""
        self._refresh()
        assert self._server is not None
        return self._server

    def _refresh(self) -> None:
        if self._client is not None and not self.changed():
            return
        stamp = self._read_stamp()
        client = self._load(ssl.PROTOCOL_TLS_CLIENT)
        server = self._load(ssl.PROTOCOL_TLS_SERVER)
        self._client, self._server, self._stamp = client, server, stamp

    def _load(self, protocol: int) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._settings.certificate_file, self._settings.key_file
        )
        context.load_verify_locations(self._settings.authority_file)
        return context

    def _read_stamp(self) -> tuple[tuple[int, int], ...]:
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
