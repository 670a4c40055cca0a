"""Tests of the settings checks and the settings description."""

from __future__ import annotations

import copy
import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheestall.settings import Settings
from lycheestall.settings_check import check_settings, load_settings
from lycheestall.settings_description import describe_settings

DIGEST = "0a" * 32
KEY = "5ec2e7" * 8
VALID_SETTINGS: dict[str, Any] = {
    "vm": "bhuj-a-1",
    "zone": "bhuj-a",
    "listen": {
        "host": "127.0.0.1",
        "callers_port": 8101,
        "mesh_port": 8102,
        "admin_port": 8103,
    },
    "platform": {
        "log_url": "http://127.0.0.1:8201",
        "vm_list_url": "http://127.0.0.1:8202",
    },
    "accounts": [{"account": "crew-banni", "key_sha256": [DIGEST]}],
    "receipt_keys": [KEY],
}


def changed(path: str, value: object) -> dict[str, Any]:
    document = copy.deepcopy(VALID_SETTINGS)
    node: Any = document
    *parents, last = path.split(".")
    for part in parents:
        node = node[int(part)] if part.isdigit() else node.setdefault(part, {})
    node[int(last) if last.isdigit() else last] = value
    return document


def error_paths(document: object) -> list[str]:
    found = check_settings(json.dumps(document), file="f")
    assert not isinstance(found, Settings)
    return [error.path for error in found]


def test_valid_settings_are_read() -> None:
    found = check_settings(json.dumps(VALID_SETTINGS), file="f")
    assert isinstance(found, Settings)
    assert found.tuning.partitions == 64


@pytest.mark.parametrize(
    ("path", "value", "error"),
    [
        ("listen.host", "localhost", "$.listen.host"),
        ("listen.host", "10.0.0.4", "$.tls"),
        ("listen.mesh_port", 8101, "$.listen.mesh_port"),
        ("listen.mesh_port", 0, "$.listen.mesh_port"),
        ("listen.mesh_port", "8102", "$.listen.mesh_port"),
        ("listen.port", 1, "$.listen.port"),
        ("platform.log_url", "127.0.0.1", "$.platform.log_url"),
        ("platform.rules_stream", "cell", "$.platform.rules_stream"),
        ("receipt_keys.0", "nothex", "$.receipt_keys[0]"),
        ("receipt_keys", [], "$.receipt_keys"),
        ("accounts.0.key_sha256.0", "zz", "$.accounts[0].key_sha256[0]"),
        ("accounts.0.operator", "yes", "$.accounts[0].operator"),
        ("tuning.heartbeat_interval_s", 3.0, "$.tuning.heartbeat_interval_s"),
        ("tuning.renewal_interval_s", 2.5, "$.tuning.renewal_interval_s"),
        ("tuning.lease_margin_s", 4.0, "$.tuning.lease_margin_s"),
        ("tuning.lease_s", 0.0, "$.tuning.lease_s"),
        ("tuning.log_flush_s", 1.0, "$.tuning.log_flush_s"),
        ("tuning.rules_stale_s", 0.5, "$.tuning.rules_stale_s"),
        ("tuning.partitions", 0, "$.tuning.partitions"),
        ("tls", {"key_file": "k"}, "$.tls.certificate_file"),
        ("vm", "", "$.vm"),
    ],
)
def test_error_has_the_path_of_the_setting(
    path: str, value: object, error: str
) -> None:
    assert error in error_paths(changed(path, value))


def test_all_errors_are_reported_at_once() -> None:
    document = changed("listen.host", 5)
    document["unknown"] = 1
    del document["zone"]
    document["accounts"].append({"acount": "x"})
    assert set(error_paths(document)) >= {
        "$.listen.host",
        "$.unknown",
        "$.zone",
        "$.accounts[1].account",
        "$.accounts[1].acount",
    }


def test_account_names_and_keys_must_be_unique() -> None:
    document = changed("accounts", VALID_SETTINGS["accounts"] * 2)
    assert error_paths(document) == [
        "$.accounts[1].account",
        "$.accounts[1].key_sha256",
    ]


@pytest.mark.parametrize(
    "text", ["", "{", "[]", "null", "NaN", '{"vm": 1, "vm": 2}', "[" * 9999]
)
def test_text_without_a_settings_object_is_an_error(text: str) -> None:
    assert not isinstance(check_settings(text, file="f"), Settings)


def test_unreadable_file_is_an_error(tmp_path: Path) -> None:
    found = load_settings(str(tmp_path / "none.json"))
    assert not isinstance(found, Settings)
    assert found[0].path == "$"


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_errors_never_show_secrets(value: object) -> None:
    secret = "c0ffee" * 11
    invalid = [changed("receipt_keys", secret), changed("accounts", secret)]
    invalid.append(changed("accounts.0.key_sha256", [secret, value]))
    invalid.append(changed("receipt_keys", [secret + "!", value]))
    for document in invalid:
        found = check_settings(json.dumps(document), file="f")
        assert not isinstance(found, Settings)
        assert all(secret not in str(error) for error in found)


def test_description_has_every_default_and_no_secret() -> None:
    settings = check_settings(json.dumps(VALID_SETTINGS), file="f")
    assert isinstance(settings, Settings)
    shown = {item.path: item for item in describe_settings(settings)}
    lease = shown["$.tuning.lease_s"]
    assert (lease.value, lease.default, lease.unit) == (
        "4.0",
        "4.0",
        "seconds",
    )
    assert all(item.meaning for item in shown.values())
    assert KEY not in str(shown) and DIGEST not in str(shown)
    assert "$.tls.key_file" in {item.path for item in describe_settings()}
