"""The configuration of a gateway process: a JSON file named by EDGE_CONFIG, and environment variables.

The deployment specification defines the keys of the file. This module maps them to `GatewayConfig`;
`quota_gateway.settings` decodes the nested `settings` object.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from quota_gateway.network.address import Address, parse_address
from quota_gateway.network.discovery.endpoint_list import VersionedUpdate, parse_endpoint_list
from quota_gateway.settings import (
    NetworkSettings,
    Settings,
    SettingsError,
    decode_network_settings,
    decode_settings,
    number_or,
)

DEFAULT_NAME = "gateway"
DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MAX_MEMORY_MB = 192.0
MIN_MEMORY_MB = 16.0  # shares of less would leave no room for a single long request
BYTES_PER_MB = 1024 * 1024
MIN_SOCKETS = 64  # with fewer, the reserved descriptors leave too few for clients and servers

T = TypeVar("T")


class ConfigError(Exception):
    """The configuration can't be used; the message is one line for the operator."""


class ConfigFileError(ConfigError):
    """EDGE_CONFIG is not set, or its file can't be read or holds no settings."""


class ConfigValueError(ConfigError):
    """A value of the configuration can't be used; `key` is its path in the file."""

    def __init__(self, key: str, problem: str, file: str = "") -> None:
        super().__init__(f"bad configuration{f' in {file}' if file else ''}: {key}: {problem}")
        self.key = key
        self.problem = problem


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """The decoded configuration of a gateway process."""

    name: str
    listen_address: Address
    discovery_address: Address
    counter_address: Address | None
    seed: int
    max_sockets: int
    max_memory_bytes: int  # the platform kills a process that uses more
    cached_endpoints: VersionedUpdate | None  # endpoint list from before the start
    settings: Settings
    network: NetworkSettings


def load_config(environ: Mapping[str, str]) -> GatewayConfig:
    """Read the file that EDGE_CONFIG names; raises `ConfigError`."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigFileError(
            "EDGE_CONFIG is not set: set it to the path of the JSON configuration (see --help), "
            "or run `quota-gateway demo` to try a gateway"
        )
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigFileError(f"can't read {path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigFileError(f'{path} holds no settings: expected a JSON object with an object "settings"')
    try:
        return decode_config(raw, environ)
    except ConfigValueError as error:
        raise ConfigValueError(error.key, error.problem, path) from None


def decode_config(raw: Mapping[str, Any], environ: Mapping[str, str]) -> GatewayConfig:
    """Decode a configuration, whose `settings` must be an object; raises `ConfigValueError`.

    The environment variables supply the name and the addresses that the file does not set.
    """
    listen = raw.get("listen") or environ.get("EDGE_LISTEN")
    discovery = raw.get("discovery") or environ.get("EDGE_DISCOVERY")
    settings, network = _decode_settings(raw["settings"])
    counter = raw.get("counter") if settings.counter_enabled else None
    known = raw.get("known")
    return GatewayConfig(
        name=str(raw.get("name") or environ.get("EDGE_NAME") or DEFAULT_NAME),
        listen_address=_parse("listen", listen, parse_address),
        discovery_address=_parse("discovery", discovery, parse_address),
        counter_address=_parse("counter", counter, parse_address) if counter else None,
        seed=_parse("seed", raw.get("seed") or 0, _parse_seed),
        max_sockets=_parse("limits.sockets", _nested(raw, "limits").get("sockets"), _parse_max_sockets),
        max_memory_bytes=_parse(
            "limits.memory_mb", _nested(raw, "limits").get("memory_mb"), _parse_max_memory_bytes
        ),
        cached_endpoints=_parse("known", known, _parse_cached_endpoints) if known else None,
        settings=settings,
        network=network,
    )


def _parse(key: str, value: Any, parser: Callable[[Any], T]) -> T:
    """Return the parsed value; raises `ConfigValueError` with the key if the parser rejects the value."""
    try:
        return parser(value)
    except (TypeError, ValueError) as error:
        raise ConfigValueError(key, str(error)) from None


def _nested(raw: Mapping[str, Any], key: str) -> Mapping[str, Any]:
    """Return the object under a key; an empty one if the key is missing or holds no object."""
    value = raw.get(key)
    return value if isinstance(value, dict) else {}


def _decode_settings(raw: Mapping[str, Any]) -> tuple[Settings, NetworkSettings]:
    try:
        settings = decode_settings(raw)
        network = decode_network_settings(raw)
    except SettingsError as error:
        raise ConfigValueError(f"settings.{error.key}", error.problem) from None
    if not settings.classes:
        raise ConfigValueError("settings.profiles", "expected at least one request class")
    if not settings.plans:
        raise ConfigValueError("settings.packages", "expected at least one plan")
    return settings, network


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ValueError(f"expected a hexadecimal number, got {value!r}") from None


def _parse_max_sockets(value: Any) -> int:
    max_sockets = int(_parse_limit(value, DEFAULT_MAX_SOCKETS))
    if max_sockets < MIN_SOCKETS:
        raise ValueError(f"expected at least {MIN_SOCKETS}, got {max_sockets}")
    return max_sockets


def _parse_max_memory_bytes(value: Any) -> int:
    """Return the memory limit in bytes; one under `MIN_MEMORY_MB` counts as that much."""
    return int(max(MIN_MEMORY_MB, _parse_limit(value, DEFAULT_MAX_MEMORY_MB)) * BYTES_PER_MB)


def _parse_limit(value: Any, default: float) -> float:
    """Return a finite number; null, a missing value and booleans give the default."""
    try:
        limit = number_or(value, default)
    except (TypeError, ValueError, OverflowError):
        raise ValueError(f"expected a number, got {value!r}") from None
    if not math.isfinite(limit):
        raise ValueError(f"expected a number, got {value!r}")
    return limit


def _parse_cached_endpoints(value: Any) -> VersionedUpdate:
    return parse_endpoint_list(value, cached=True)
