"""The daemon's settings, as dataclasses that a JSON file is read into.

``settings show`` prints the attribute descriptions of these docstrings.
"""

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
    """Addresses that this daemon listens on.

    Attributes:
        host: IP address of all listeners.
        callers_port: Port of the caller API over HTTP.
        mesh_port: Port for websocket connections of the other daemons.
        admin_port: Port of the admin API over HTTP, with metrics, health,
            status and rules.
    """

    __pydantic_config__ = _STRICT

    host: str
    callers_port: int
    mesh_port: int
    admin_port: int


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Base URLs of the platform's services, and log stream names.

    Attributes:
        log_url: The append-only log service.
        vm_list_url: The list of live and leaving VMs.
        weight_store_url: The weight store; empty if there is none.
        cell_stream: The log stream of this cell's records.
        rules_stream: The log stream that rules are published on.
    """

    __pydantic_config__ = _STRICT

    log_url: str
    vm_list_url: str
    weight_store_url: str = ""
    cell_stream: str = "cell"
    rules_stream: str = "rules"


@dataclass(frozen=True, slots=True)
class AccountSettings:
    """A client account and the digests of its bearer keys.

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
    """Mutual TLS between daemons; the files are reloaded when they change.

    Attributes:
        certificate_file: This daemon's certificate, PEM.
        key_file: The certificate's private key, PEM.
        authority_file: CA certificates that peers are verified against,
            PEM.
    """

    __pydantic_config__ = _STRICT

    certificate_file: str
    key_file: str
    authority_file: str


@dataclass(frozen=True, slots=True)
class TuningSettings:
    """Timing and size parameters that a deployment may change.

    Attributes:
        partitions: Number of hash partitions of the programs; must be the
            same on all VMs.
        heartbeat_interval_s: Interval between heartbeats to a peer.
        lease_s: Duration of a session's lease, counted from when it was
            requested.
        lease_margin_s: How long a successor waits after a lease expires.
        renewal_interval_s: Interval between session renewals in the log.
        log_flush_s: Minimum time between two appends by a cell's VMs;
            limits the cell's load on the log.
        drain_limit_s: Maximum duration of the graceful shutdown.
        gap_hold_s: How long a call waits for missing earlier calls of its
            program.
        answer_retention_s: How long a completed answer can be fetched.
        rules_stale_s: After this long without news of the rules, no new
            work is accepted.
        program_idle_s: A program without a call for this long is ended.
        program_keep_s: How long programs and idempotency keys are kept;
            an older program is ended.
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
        vm: This VM's id, as in the platform's VM list.
        zone: This VM's availability zone.
        listen: Addresses that the daemon listens on.
        platform: The platform's services.
        accounts: The client accounts that may make calls.
        receipt_keys: Hex keys that sign receipts, newest first; must be
            the same on all VMs.
        cell: The cell that this VM belongs to.
        tls: Mutual TLS between daemons; null is valid only if the daemon
            listens on a loopback address.
        tuning: Timing and size parameters.
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
