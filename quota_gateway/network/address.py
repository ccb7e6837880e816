"""Parsing of the TCP addresses in the configuration and in endpoint lists."""

from __future__ import annotations

Address = tuple[str, int]  # host and port, as asyncio's connect and listen functions expect them

MAX_PORT = 65535


class AddressError(ValueError):
    """An address that is not of the form `host:port`."""


def parse_address(text: object) -> Address:
    """Parse `host:port` with a port from 1 to 65535; raises `AddressError`."""
    host, colon, port = str(text).rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not colon or not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise AddressError(f"expected host:port with a port from 1 to {MAX_PORT}, got {text!r}")
    return host, int(port)
