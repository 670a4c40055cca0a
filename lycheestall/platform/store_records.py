"""Decodes the operators' configuration and targets' registrations."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from ..entry.configuration import (
    CallerLimits,
    Configuration,
    EngineTraits,
    RetrySafety,
    Route,
    Service,
    ServiceId,
    WeightedService,
)
from ..entry.record_decoder import RecordDecoder, UnreadableRecord
from ..entry.target_table import TargetRegistration
from ..ids import TargetId
from .account_records import conceal_keys, decode_accounts
from .registrations import decode_registration

__all__ = ["PlatformRecordDecoder"]

_CONFIGURATION_KEY = b"config"
_DEFAULT_MAX_ATTEMPTS = 3
"""Targets per request for routes without ``max_attempts``."""


class PlatformRecordDecoder(RecordDecoder):
    """Decodes the platform's JSON records."""

    def is_configuration(self, key: bytes) -> bool:
        """Returns whether the record with this key is the configuration."""
        return key == _CONFIGURATION_KEY

    def decode_configuration(
        self, value: bytes
    ) -> Configuration | UnreadableRecord:
        """Decodes a configuration."""
        try:
            return _configuration(orjson.loads(value))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            return UnreadableRecord(f"{type(error).__name__}: {error}")

    def conceal_keys(self, value: bytes) -> bytes:
        """Returns a configuration with digests in place of API keys."""
        return conceal_keys(value)

    def decode_registration(
        self, target: TargetId, value: bytes
    ) -> TargetRegistration | UnreadableRecord:
        """Decodes a target's registration."""
        return decode_registration(target, value)


def _configuration(document: Mapping[str, Any]) -> Configuration:
    services = [_service(entry) for entry in document["services"]]
    accounts = decode_accounts(document)
    return Configuration(
        version=int(document["version"]),
        routes=tuple(_route(entry) for entry in document["routes"]),
        service_by_id={service.service: service for service in services},
        limits=_limits(document.get("limits") or {}),
        accounts=accounts.accounts,
        account_problems=tuple(accounts.problems),
    )


def _service(entry: Mapping[str, Any]) -> Service:
    engine = entry.get("engine")
    traits = None
    if engine:
        traits = EngineTraits(
            batch_slots=int(engine.get("slots", 1)),
            # "stride" is the number of tokens per stream event.
            tokens_per_event=int(engine.get("stride", 1)),
            memory_tokens=int(engine.get("kv_tokens") or 0),
        )
    return Service(
        service=ServiceId(entry["name"]),
        max_connections=int(entry.get("max_conns") or 0),
        engine=traits,
    )


def _route(entry: Mapping[str, Any]) -> Route:
    is_stream = entry["kind"] == "stream"
    split = entry.get("traffic_split")
    if split:
        services = tuple(
            WeightedService(ServiceId(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        services = (WeightedService(ServiceId(entry["service"]), 1.0),)
    timeout_ms = entry.get("timeout_ms") or 60_000
    return Route(
        name=str(entry.get("name", "")),
        host=str(entry["host"]).lower(),
        path_prefix=str(entry["path_prefix"]),
        services=services,
        retry_safety=_retry_safety(entry, is_stream=is_stream),
        is_stream=is_stream,
        timeout_s=float(timeout_ms) / 1000.0,
        latency_objective_s=float(entry.get("target_latency_ms") or timeout_ms)
        / 1000.0,
        event_gap_s=float(entry.get("gap_aim_ms") or timeout_ms) / 1000.0,
        # 0 is the highest priority.
        priority=int(entry.get("priority") or 0),
        max_attempts=int(entry.get("max_attempts") or _DEFAULT_MAX_ATTEMPTS),
        keeps_conversations=is_stream and bool(entry.get("retain_context")),
        retention_s=float(entry.get("retention_s") or 0.0),
        anonymous=bool(entry.get("anonymous")),
        session_affinity=bool(entry.get("session_affinity")),
    )


def _retry_safety(entry: Mapping[str, Any], *, is_stream: bool) -> RetrySafety:
    if is_stream:
        return (
            RetrySafety.RESUMABLE
            if entry.get("resumable")
            else RetrySafety.ONCE
        )
    return (
        RetrySafety.IDEMPOTENT if entry["kind"] == "safe" else RetrySafety.ONCE
    )


def _limits(entry: Mapping[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=int(
            entry.get("max_header_bytes") or defaults.header_bytes
        ),
        body_bytes=int(entry.get("max_body_bytes") or defaults.body_bytes),
        header_timeout_s=_seconds_from_ms(entry, "header_timeout_ms")
        or defaults.header_timeout_s,
        idle_timeout_s=_seconds_from_ms(entry, "idle_timeout_ms")
        or defaults.idle_timeout_s,
    )


def _seconds_from_ms(entry: Mapping[str, Any], name: str) -> float:
    return float(entry.get(name) or 0) / 1000.0
