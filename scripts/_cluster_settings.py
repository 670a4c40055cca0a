"""Entry VM settings, API keys and rules of an end-to-end deployment."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import urlsplit

from lycheestall.accounts import key_digest

__all__ = [
    "ADMIN_PORT",
    "BUDGET_TOKENS",
    "KEY_BY_ACCOUNT",
    "MESH_PORT",
    "OPERATOR_KEY",
    "PORT",
    "RULES",
    "vm_settings",
]

PORT = 8080
MESH_PORT = 8081
ADMIN_PORT = 8082
OPERATOR_KEY = "operator-key"
KEY_BY_ACCOUNT = {"snowline": "snowline-key", "bronze": "bronze-key"}
BUDGET_TOKENS = 60_000
RULES = f"""\
budget of everyone is {BUDGET_TOKENS} tokens  # Meena, planning crew
operation POST /orders of application poles is non-idempotent  # Harsh
operation POST /placements of application poles is non-idempotent  # Harsh
operation POST /metal-orders of application foundry is non-idempotent  # Aigul
operation POST /invoices of application foundry is non-idempotent  # Aigul
operation POST /check of application survey is idempotent  # Meena
"""


def vm_settings(
    name: str,
    zone: str,
    url: Callable[[str], str],
    *,
    receipt_key: str,
    tuning: dict[str, Any],
) -> dict[str, Any]:
    """Returns the contents of a daemon's settings file.

    Args:
        name: The VM's name.
        zone: The VM's availability zone.
        url: Returns the base URL of a process by its name.
        receipt_key: The key with which all VMs sign receipts.
        tuning: The ``tuning`` section of the settings.
    """
    accounts = [
        {"account": account, "key_sha256": [key_digest(key)]}
        for account, key in KEY_BY_ACCOUNT.items()
    ]
    operators = {
        "account": "operators",
        "key_sha256": [key_digest(OPERATOR_KEY)],
        "operator": True,
    }
    return {
        "vm": name,
        "zone": zone,
        "listen": {
            "host": urlsplit(url(name)).hostname,
            "callers_port": PORT,
            "mesh_port": MESH_PORT,
            "admin_port": ADMIN_PORT,
        },
        "platform": {
            "log_url": url("log"),
            "vm_list_url": url("vm-list"),
            "weight_store_url": url("weights"),
        },
        "accounts": [*accounts, operators],
        "receipt_keys": [receipt_key],
        "tuning": tuning,
    }
