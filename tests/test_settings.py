"""Decoding of the settings object: defaults, ignored values, and errors that name the key."""

from __future__ import annotations

from typing import Any

import pytest

from quota_gateway.settings import (
    Idempotency,
    NetworkSettings,
    SettingsError,
    decode_network_settings,
    decode_settings,
)


def test_missing_settings_get_safe_defaults() -> None:
    settings = decode_settings({"profiles": [{"name": "x"}, None], "packages": None, "limits": None})
    assert settings.classes[0].idempotency is Idempotency.NON_IDEMPOTENT
    assert settings.max_attempts == 1
    assert settings.gateway_count == 1
    assert not settings.counter_enabled
    assert settings.plans == ()


@pytest.mark.parametrize(
    ("key", "raw"),
    [
        ("balancers", {"balancers": "many"}),
        ("me", {"me": float("nan")}),
        ("profiles[1].aim_ms", {"profiles": [None, {"aim_ms": {}}]}),
        ("packages[0].max_out", {"packages": [{"max_out": "x"}]}),
        ("safety.fall_ms", {"safety": {"fall_ms": []}}),
        ("prices.cross_zone", {"prices": {"cross_zone": "x"}}),
    ],
)
def test_error_names_the_key_of_a_value_of_the_wrong_type(key: str, raw: dict[str, Any]) -> None:
    with pytest.raises(SettingsError, match="not a number") as caught:
        decode_settings(raw)
    assert caught.value.key == key


def test_missing_network_settings_get_their_defaults() -> None:
    defaults = NetworkSettings(250.0, 15_000.0, 250.0, 1e6, 60_000.0)
    assert decode_network_settings({"profiles": []}) == defaults
    assert decode_network_settings({"profiles": [{}], "domain": None, "limits": 5}) == defaults
    partly_limited = [{"hard_limit_ms": 900.0}, {"hard_limit_ms": None}]
    assert decode_network_settings({"profiles": partly_limited}) == defaults


def test_network_settings_are_decoded() -> None:
    raw = {
        "profiles": [{"hard_limit_ms": 900.0}, {"hard_limit_ms": 1700}],
        "limits": {"connect_timeout_ms": 1.0, "conn_idle_ms": "2"},
        "safety": {"drain_grace_ms": 3.0},
        "domain": {"max_units": 4},
    }
    assert decode_network_settings(raw) == NetworkSettings(1.0, 2.0, 3.0, 4.0, 1700.0)


@pytest.mark.parametrize(
    ("key", "raw"),
    [
        ("profiles", {}),
        ("profiles[0]", {"profiles": [5]}),
        ("profiles[0].hard_limit_ms", {"profiles": [{"hard_limit_ms": "x"}]}),
        ("domain", {"profiles": [], "domain": 5}),
        ("domain.max_units", {"profiles": [], "domain": {"max_units": []}}),
        ("limits.connect_timeout_ms", {"profiles": [], "limits": {"connect_timeout_ms": "x"}}),
    ],
)
def test_error_names_the_key_of_an_invalid_network_setting(key: str, raw: dict[str, Any]) -> None:
    with pytest.raises(SettingsError) as caught:
        decode_network_settings(raw)
    assert caught.value.key == key
