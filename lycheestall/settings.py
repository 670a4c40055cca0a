"""The daemon's settings: a JSON file checked against dataclasses."""

from __future__ import annotations

from dataclasses import dataclass, field

from pydantic import ConfigDict

from .ids import AccountId, CellId, VmId, ZoneId

__all__ = [
    "AccountSettings",
    "ListenSettings",
    "PlatformSettings",
    "Settings",
    "TlsSettings",
    "TuningSettings",
]

_STRICT = ConfigDict(extra="forbid", strict=True)


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses this daemon serves, by IP number.

    Attributes:
        host: IP address of every listener.
        callers_port: Callers' HTTP interface.
        mesh_port: Other daemons' websocket connections.
        admin_port: Metrics, health, status and rule publishing.
    """

    __pydantic_config__ = _STRICT

    host: str
    callers_port: int
    mesh_port: int
    admin_port: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are, as base URLs.

    Attributes:
        log_url: The append-only log service.
        vm_list_url: The list of live and leaving VMs.
        weight_store_url: The weight store; empty when there is none.
        cell_stream: The log stream this cell keeps.
        rules_stream: The log stream operators publish on.
    """

    __pydantic_config__ = _STRICT

    log_url: str
    vm_list_url: str
    weight_store_url: str = ""
    cell_stream: str = "cell"
    rules_stream: str = "rules"


@dataclass(frozen=True, slots=True)
class AccountSettings:
    """A caller's account and the digests of its bearer keys.

    Attributes:
        account: The account's name.
        key_sha256: Hex SHA-256 digests of the accepted bearer keys.
        operator: Whether the keys may publish rules and read status.
    """

    __pydantic_config__ = _STRICT

    account: AccountId
    key_sha256: list[str]
    operator: bool = False


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Mutual TLS between daemons; files are read again when they change.

    Attributes:
        certificate_file: This daemon's certificate, PEM.
        key_file: Its private key, PEM.
        authority_file: Certificates that sign valid peers, PEM.
    """

    __pydantic_config__ = _STRICT

    certificate_file: str
    key_file: str
    authority_file: str


@dataclass(frozen=True, slots=True)
class TuningSettings:
    """Times and sizes that a deployment may change.

    Attributes:
        partitions: Hash ranges of programs; the same on all VMs.
        heartbeat_interval_s: Between heartbeats to a peer.
        lease_s: How long authority lasts from when it was asked for.
        lease_margin_s: What a successor waits on top of the lease.
        renewal_interval_s: Between session renewals in the log.
        log_flush_s: Least time between two appends of a cell's VMs; it
            bounds what the cell asks of the log.
        drain_limit_s: The longest graceful shutdown.
        gap_hold_s: How long a call waits for the calls before it.
        answer_retention_s: How long a finished answer can be fetched.
        rules_stale_s: Without news for this long, no new work is taken.
        program_idle_s: A program without a call for this long is ended.
        program_keep_s: How long programs and idempotency keys are kept;
            a program that is older is ended.
    """

    __pydantic_config__ = _STRICT

    partitions: int = 64
    heartbeat_interval_s: float = 0.5
    lease_s: float = 4.0
    lease_margin_s: float = 1.0
    renewal_interval_s: float = 1.0
    log_flush_s: float = 0.02
    drain_limit_s: float = 600.0
    gap_hold_s: float = 2.0
    answer_retention_s: float = 300.0
    rules_stale_s: float = 5.0
    program_idle_s: float = 1800.0
    program_keep_s: float = 86400.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon.

    Attributes:
        vm: This VM's id, as the platform's list names it.
        zone: Its availability zone.
        listen: What it serves.
        platform: What it uses.
        accounts: Who may call.
        receipt_keys: Hex keys that sign receipts, newest first; the
            same on all VMs.
        cell: The cell this VM belongs to.
        tls: Mutual TLS between daemons; null for loopback trials.
        tuning: Times and sizes.
    """

    __pydantic_config__ = _STRICT

    vm: VmId
    zone: ZoneId
    listen: ListenSettings
    platform: PlatformSettings
    accounts: list[AccountSettings]
    receipt_keys: list[str]
    cell: CellId = CellId("main")
    tls: TlsSettings | None = None
    tuning: TuningSettings = field(default_factory=TuningSettings)
