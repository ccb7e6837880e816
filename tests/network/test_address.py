"""Parsing of addresses."""

from __future__ import annotations

import pytest

from quota_gateway.network.address import AddressError, parse_address


def test_an_address_is_parsed() -> None:
    assert parse_address("127.0.0.1:65535") == ("127.0.0.1", 65535)


@pytest.mark.parametrize(
    "text", ["", "h", "h:", ":1", "h:0", "h:65536", "h:+1", "h:1.0", "h:\u00b2", "h:\u0661"]
)
def test_a_malformed_address_is_an_address_error(text: str) -> None:
    """Guards against an untyped error: some characters count as digits but form no number."""
    with pytest.raises(AddressError):
        parse_address(text)
