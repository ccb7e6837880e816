"""Addresses of TCP peers, as configuration and endpoint lists write them."""

from __future__ import annotations

Address = tuple[str, int]  # host and port, in the form that asyncio takes


class AddressError(ValueError):
    """A text that is not `host:port`."""


def parse_address(text: object) -> Address:
    """Parse `host:port` with a port from 1 to 65535; raises `AddressError`."""
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise AddressError(f"not an address (host:port): {text!r}")
    return host, int(port)
