"""The configuration file: defaults, environment variables, and errors that name the key."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.network.config import (
    BYTES_PER_MB,
    DEFAULT_MAX_MEMORY_MB,
    DEFAULT_MAX_SOCKETS,
    MIN_MEMORY_MB,
    ConfigFileError,
    ConfigValueError,
    decode_config,
    load_config,
)
from quota_gateway.policy_api.endpoints import UpdateKind
from tests.network.gateway_fixture import raw_config
from tests.network.samples import SETTINGS
from tests.network.scripted_peers import server_row


def test_a_complete_file_is_decoded() -> None:
    config = decode_config(raw_config(5, 6, [server_row("s0", 7)], 8), {})
    assert config.name == "n0"
    assert config.listen_address == ("127.0.0.1", 8)
    assert config.discovery_address == ("127.0.0.1", 5)
    assert config.counter_address == ("127.0.0.1", 6)
    assert config.seed == 0x8C1F30D27A5BE964
    assert config.max_sockets == 1024
    assert config.cached_endpoints is not None
    assert config.cached_endpoints.version == 1
    assert config.cached_endpoints.update.kind is UpdateKind.CACHED_SNAPSHOT


def test_environment_variables_supply_what_the_file_does_not_set() -> None:
    environ = {"EDGE_NAME": "n7", "EDGE_LISTEN": "10.0.0.1:1", "EDGE_DISCOVERY": "10.0.0.2:2"}
    config = decode_config({"settings": SETTINGS}, environ)
    assert config.name == "n7"
    assert config.listen_address == ("10.0.0.1", 1)
    assert config.discovery_address == ("10.0.0.2", 2)
    assert config.counter_address is None
    assert config.seed == 0
    assert config.max_sockets == DEFAULT_MAX_SOCKETS
    assert config.cached_endpoints is None
    assert decode_config(raw_config(5, 6, []), environ).name == "n0"


def test_a_counter_that_the_settings_disable_is_ignored() -> None:
    raw = raw_config(5, 6, []) | {"settings": SETTINGS | {"domain": {"counter": False}}}
    assert decode_config(raw, {}).counter_address is None


@pytest.mark.parametrize(
    ("memory_mb", "expected_mb"),
    [(32, 32.0), (96.5, 96.5), (None, DEFAULT_MAX_MEMORY_MB), (0, MIN_MEMORY_MB), (5, MIN_MEMORY_MB)],
)
def test_a_small_memory_limit_does_not_keep_the_gateway_from_starting(
    memory_mb: float | None, expected_mb: float
) -> None:
    config = decode_config(raw_config(5, 6, []) | {"limits": {"memory_mb": memory_mb}}, {})
    assert config.max_memory_bytes == expected_mb * BYTES_PER_MB


@pytest.mark.parametrize(
    ("key", "change"),
    [
        ("listen", {"listen": "nowhere"}),
        ("discovery", {"discovery": "127.0.0.1:99999"}),
        ("counter", {"counter": 5}),
        ("seed", {"seed": "xyz"}),
        ("limits.sockets", {"limits": {"sockets": 63}}),
        ("limits.sockets", {"limits": {"sockets": []}}),
        ("known", {"known": {"version": 1}}),
        ("known", {"known": [1]}),
        ("settings.profiles", {"settings": SETTINGS | {"profiles": []}}),
        ("settings.packages", {"settings": SETTINGS | {"packages": None}}),
        ("settings.packages[0].per_second", {"settings": SETTINGS | {"packages": [{"per_second": "x"}]}}),
        ("settings.limits.conn_idle_ms", {"settings": SETTINGS | {"limits": {"conn_idle_ms": []}}}),
        ("settings.profiles[1]", {"settings": SETTINGS | {"profiles": [{"name": "read"}, None]}}),
        ("settings.domain", {"settings": SETTINGS | {"domain": 5}}),
        ("settings.balancers", {"settings": SETTINGS | {"balancers": math.inf}}),
        ("limits.sockets", {"limits": {"sockets": math.inf}}),
        ("limits.memory_mb", {"limits": {"memory_mb": "much"}}),
        ("limits.memory_mb", {"limits": {"memory_mb": math.inf}}),
        ("listen", {"listen": "127.0.0.1:\u00b2"}),
        ("listen", {"listen": "127.0.0.1:" + "1" * 5000}),
        ("known", {"known": {"version": math.inf, "servers": []}}),
    ],
)
def test_an_error_names_the_key_and_the_file(tmp_path: Path, key: str, change: dict[str, Any]) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(raw_config(5, 6, []) | change))
    with pytest.raises(ConfigValueError) as caught:
        load_config({"EDGE_CONFIG": str(path)})
    assert caught.value.key == key
    assert str(caught.value).startswith(f"bad configuration in {path}: {key}: ")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("text", ["", "{", "[]", "{}", '{"settings":5}', "[" * 100_000])
def test_an_error_names_a_file_without_settings(tmp_path: Path, text: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    with pytest.raises(ConfigFileError, match=str(path)):
        load_config({"EDGE_CONFIG": str(path)})


def test_an_error_says_that_edge_config_is_not_set() -> None:
    with pytest.raises(ConfigFileError, match="EDGE_CONFIG is not set"):
        load_config({})
