"""Parsers of discovery's endpoint list: one decodes it at once, the other works in steps.

Discovery sends ``{"version": 41, "full": true, "servers": [...]}``, where `full` is true for a snapshot and
false for a delta. Both parsers return the same `VersionedUpdate` for the same list and raise
`EndpointListError` for malformed input.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from quota_gateway.network.address import Address, parse_address
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind

# Longer bodies are parsed in steps: parsing a list of 20,000 servers at once would block the event loop, and
# with it all requests, for 0.1 s.
INCREMENTAL_PARSE_MIN_BYTES = 128 * 1024
ENDPOINTS_PER_STEP = 250

STATES_BY_NAME = {
    "Ready": EndpointState.ACTIVE,
    "Terminating": EndpointState.DRAINING,
    "Gone": EndpointState.GONE,
}

# Exceptions that decoding a malformed list can raise.
_DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError, RecursionError)


class EndpointListError(ValueError):
    """The input is not a valid endpoint list, or the list is not applicable."""


@dataclass(slots=True)
class VersionedUpdate:
    """An update to the endpoint list, its version, and the address of each server by id.

    The policy gets only `update`: it doesn't need the other two.
    """

    version: int
    update: EndpointUpdate
    addresses: dict[str, Address] = field(default_factory=dict)


def parse_endpoint_list(raw: Any, cached: bool = False) -> VersionedUpdate:
    """Parse a list that has been decoded from JSON; raises `EndpointListError`.

    `cached` marks a list from before the start of the process; its `full` is ignored.
    """
    builder = _UpdateBuilder()
    try:
        kind = UpdateKind.CACHED_SNAPSHOT if cached else _update_kind(raw["full"])
        for row in raw["servers"]:
            builder.add(row)
        return builder.build(raw["version"], kind)
    except _DECODE_ERRORS as error:
        raise _list_error(error) from None


class IncrementalListParser:
    """Parses an encoded list in steps, so that the caller can do other work between them.

    The caller exhausts `steps()` and then calls `result()`.
    """

    _WHITESPACE = re.compile(r"[ \t\n\r]*")
    _DECODER = json.JSONDecoder()

    def __init__(self, body: bytes) -> None:
        self._body = body
        self._text = ""
        self._position = 0
        self._members: dict[str, Any] = {}  # members of the top-level object; True in place of the servers
        self._builder = _UpdateBuilder()

    @property
    def parsed_endpoints(self) -> int:
        """The number of endpoints parsed so far."""
        return len(self._builder.endpoints)

    def steps(self) -> Iterator[None]:
        """Parse at most `ENDPOINTS_PER_STEP` endpoints between two yields; raises `EndpointListError`."""
        try:
            self._text = self._body.decode()
            yield from self._parse_object()
        except _DECODE_ERRORS as error:
            raise _list_error(error) from None

    def result(self) -> VersionedUpdate:
        """Return the update after all steps are done; raises `EndpointListError`."""
        try:
            kind = _update_kind(self._members["full"])
            if "servers" not in self._members:
                raise KeyError("servers")
            return self._builder.build(self._members["version"], kind)
        except _DECODE_ERRORS as error:
            raise _list_error(error) from None

    def _parse_object(self) -> Iterator[None]:
        """Parse the top-level object, which spans the whole text."""
        self._expect("{")
        while True:
            key = self._parse_value()
            self._expect(":")
            if key == "servers":
                self._builder = _UpdateBuilder()
                yield from self._parse_endpoints()
                self._members[key] = True
            else:
                self._members[key] = self._parse_value()
            if self._skip_separator("}"):
                break
        if self._peek():
            raise EndpointListError(f"unexpected text after the endpoint list at character {self._position}")

    def _parse_endpoints(self) -> Iterator[None]:
        self._expect("[")
        if self._peek() == "]":
            self._position += 1
            return
        while True:
            self._builder.add(self._parse_value())
            if self._skip_separator("]"):
                return
            if self.parsed_endpoints % ENDPOINTS_PER_STEP == 0:
                yield

    def _peek(self) -> str:
        """Skip whitespace; return the next character, or an empty string at the end of the text."""
        match = self._WHITESPACE.match(self._text, self._position)
        self._position = match.end() if match else self._position
        return self._text[self._position : self._position + 1]

    def _expect(self, character: str) -> None:
        if self._peek() != character:
            raise EndpointListError(f"expected {character!r} at character {self._position}")
        self._position += 1

    def _skip_separator(self, closing: str) -> bool:
        """Skip a comma or the `closing` character of an object or array; return whether it was `closing`."""
        closed = self._peek() == closing
        self._expect(closing if closed else ",")
        return closed

    def _parse_value(self) -> Any:
        self._peek()
        value, self._position = self._DECODER.raw_decode(self._text, self._position)
        return value


class _UpdateBuilder:
    """Decodes the entries of the `servers` array one by one and builds the update from them."""

    def __init__(self) -> None:
        self.endpoints: list[Endpoint] = []
        self.addresses: dict[str, Address] = {}

    def add(self, row: dict[str, Any]) -> None:
        self.endpoints.append(_decode_endpoint(row))
        if row.get("addr"):
            self.addresses[str(row["id"])] = parse_address(row["addr"])

    def build(self, version: Any, kind: UpdateKind) -> VersionedUpdate:
        """Return the update; raises `EndpointListError` if an active endpoint has no address."""
        for endpoint in self.endpoints:
            if endpoint.state is EndpointState.ACTIVE and endpoint.server_id not in self.addresses:
                raise EndpointListError(f"server {endpoint.server_id!r} is active but has no 'addr'")
        return VersionedUpdate(int(version), EndpointUpdate(kind, tuple(self.endpoints)), self.addresses)


def _decode_endpoint(row: dict[str, Any]) -> Endpoint:
    """Decode one entry of the `servers` array.

    An unknown state is read as draining, so that the server gets no new requests.
    """
    return Endpoint(
        server_id=str(row["id"]),
        zone=str(row.get("zone", "")),
        cell=int(row.get("cell") or 0),
        weight=float(row.get("weight") or 1.0),
        started_ms=float(row.get("started_ms") or 0.0),
        state=STATES_BY_NAME.get(str(row.get("state")), EndpointState.DRAINING),
    )


def _update_kind(full: Any) -> UpdateKind:
    return UpdateKind.SNAPSHOT if full else UpdateKind.DELTA


def _list_error(error: Exception) -> EndpointListError:
    """Return the `EndpointListError` for an exception that decoding a list has raised."""
    if isinstance(error, EndpointListError):
        return error
    if isinstance(error, KeyError):
        return EndpointListError(f"missing key {error} in the endpoint list")
    return EndpointListError(f"not an endpoint list: {error or type(error).__name__}")
