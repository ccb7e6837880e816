"""Parsing and validation of client commands.

A request is validated completely before it counts against a quota or is sent to a server. `CALL.GET` and
`CALL.POST` take a customer id, a request id, a comma-separated list of `name=value` fields and an optional
body:

    CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41 c=order,t=basic,d=480,k=5c0f6e1a2b3d4c59 BODY

The fields are:

    c       class of the request
    t       plan of the customer
    d       time left until the client's deadline, in milliseconds
    k       idempotency key
    units   quota units that the request uses
    spread  number of gateways through which the customer's requests come
    first   index of the first of these gateways
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeGuard, TypeVar

from quota_gateway.network import resp
from quota_gateway.settings import Idempotency, Settings

READ_VERB = b"CALL.GET"  # requests of idempotent classes
WRITE_VERB = b"CALL.POST"  # requests of all other classes
REQUEST_VERBS = (READ_VERB, WRITE_VERB)
QUIT_VERB = b"QUIT"
MAX_ECHOED_VERB_BYTES = 64  # limit on the part of an unknown verb that its error repeats

MAX_FIELDS_BYTES = 512
CUSTOMER_ID_BOUND = 1 << 33  # exclusive upper bound
MIN_TIME_LEFT_MS = 1.0  # requests with less time left are invalid

_CUSTOMER_ID = re.compile(rb"[0-9a-fA-F]{16}")
_TOKEN = re.compile(rb"[!-~]{1,64}")  # request ids and idempotency keys: printable ASCII without a space
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
_INTEGER = re.compile(rb"[0-9]{1,6}")

_Value = TypeVar("_Value")


class CommandError(ValueError):
    """A well-formed RESP command with invalid content. The text is sent to the client in the error reply."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the units and the deadline of one request."""

    max_units: float  # requests that use more are invalid
    max_time_left_ms: float  # longer deadlines are shortened to this, so that no request is held for minutes


@dataclass(slots=True)
class RequestCommand:
    """A parsed request command, with the encoded parts from which the command for a server is built."""

    request_id: bytes
    class_name: str
    plan: str
    customer: str  # customer id in lower-case hexadecimal
    time_left_ms: float
    units: float
    customer_gateways: int  # number of gateways through which the customer's requests come
    encoded_head: bytes  # array header, verb, customer id and request id
    fields_around_time: tuple[bytes, bytes]  # the field list before and after the value of `d`
    encoded_body: bytes  # empty if the command has no body

    def size_bytes(self) -> int:
        """Return the bytes of the encoded parts, which are held while the request is in flight."""
        return len(self.encoded_head) + sum(map(len, self.fields_around_time)) + len(self.encoded_body)

    def encode(self, time_left_ms: int) -> bytes:
        """Encode the client's command for a server, unchanged except for the time left."""
        fields = b"%b%d%b" % (self.fields_around_time[0], time_left_ms, self.fields_around_time[1])
        return b"%b%b%b" % (self.encoded_head, resp.encode_bulk(fields), self.encoded_body)


class CommandParser:
    """Parses request commands and validates them against the classes, plans and limits of the settings."""

    def __init__(self, settings: Settings, limits: RequestLimits) -> None:
        self.gateway_count = settings.gateway_count
        self.limits = limits
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.idempotency) for cls in settings.classes}

    def parse(self, words: list[bytes]) -> RequestCommand:
        """Parse a command whose verb is one of `REQUEST_VERBS`; raises `CommandError` if it is invalid."""
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        customer, request_id, field_list = words[1:4]
        _check_identifiers(customer, request_id)
        fields, fields_around_time = _split_fields(field_list)
        class_name = self._class_name(words[0].upper(), fields)
        customer_gateways = _integer(fields, b"spread", 1, self.gateway_count, 1)
        _integer(fields, b"first", 0, self.gateway_count - 1, 0)
        units = _decimal(fields, b"units", self.limits.max_units, b"1")
        if not units:
            raise CommandError("bad number for units")
        time_left_ms = _decimal(fields, b"d", float("inf"), b"")
        if time_left_ms < MIN_TIME_LEFT_MS:
            raise CommandError("bad number for d")
        return RequestCommand(
            request_id=request_id,
            class_name=class_name,
            plan=_lookup(self.plans, fields, b"t", "plan"),
            # All gateways must use the same spelling: accounting windows and counter keys derive from it.
            customer=customer.lower().decode(),
            time_left_ms=min(time_left_ms, self.limits.max_time_left_ms),
            units=units,
            customer_gateways=customer_gateways,
            encoded_head=b"*%d\r\n%b"
            % (len(words), b"".join([resp.encode_bulk(word) for word in words[:3]])),
            fields_around_time=fields_around_time,
            encoded_body=resp.encode_bulk(words[4]) if len(words) == 5 else b"",
        )

    def _class_name(self, verb: bytes, fields: dict[bytes, bytes]) -> str:
        """Return the name of the request's class after checking that verb and idempotency key suit it."""
        class_name, idempotency = _lookup(self.classes, fields, b"c", "class")
        if (idempotency is Idempotency.IDEMPOTENT) != (verb == READ_VERB):
            raise CommandError("this class goes by the other command")
        key_must_be_valid = b"k" in fields or idempotency is Idempotency.KEYED
        if key_must_be_valid and _TOKEN.fullmatch(fields.get(b"k", b"")) is None:
            raise CommandError("no idempotency key")
        return class_name


def is_command(message: object) -> TypeGuard[list[bytes]]:
    """Return whether a message is a command: a non-empty array of bulk strings."""
    return isinstance(message, list) and bool(message) and all(type(word) is bytes for word in message)


def answer_connection_command(verb: bytes, words: list[bytes]) -> bytes:
    """Return the encoded reply to a command that is not a request; raises `CommandError`.

    `CLIENT` and `SELECT` are accepted without effect, because client libraries send them.
    """
    if verb == b"PING":
        if len(words) > 2:
            raise CommandError("wrong number of arguments for 'ping'")
        return resp.encode_bulk(words[1]) if len(words) == 2 else resp.PONG
    if verb in (b"CLIENT", b"SELECT", QUIT_VERB):
        return resp.OK
    raise CommandError(f"unknown command '{verb[:MAX_ECHOED_VERB_BYTES].decode('ascii', 'replace')}'")


def _check_identifiers(customer: bytes, request_id: bytes) -> None:
    if _CUSTOMER_ID.fullmatch(customer) is None or int(customer, 16) >= CUSTOMER_ID_BOUND:
        raise CommandError("bad customer")
    if _TOKEN.fullmatch(request_id) is None:
        raise CommandError("bad request id")


def _split_fields(field_list: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """Return the fields by name, and the text of the list before and after the value of field `d`."""
    if len(field_list) > MAX_FIELDS_BYTES:
        raise CommandError("bad fields")
    fields: dict[bytes, bytes] = {}
    around_time: tuple[bytes, bytes] | None = None
    position = 0
    for field in field_list.split(b","):
        name, equals, value = field.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad fields")
        fields[name] = value
        if name == b"d":
            around_time = field_list[: position + 2], field_list[position + len(field) :]
        position += len(field) + 1
    if around_time is None:
        raise CommandError("no time left given")
    return fields, around_time


def _lookup(table: Mapping[bytes, _Value], fields: dict[bytes, bytes], name: bytes, kind: str) -> _Value:
    """Return the entry of `table` that the field refers to; `kind` describes the entries in the error."""
    try:
        return table[fields[name]]
    except KeyError:
        raise CommandError(f"unknown {kind}") from None


def _decimal(fields: dict[bytes, bytes], name: bytes, maximum: float, default: bytes) -> float:
    """Return a number from 0 to `maximum`, or `default` if the field is absent.

    The pattern is stricter than `float`, which also accepts `nan`, `1_0`, `1e9` and white space.
    """
    text = fields.get(name, default)
    if _DECIMAL.fullmatch(text) is None or float(text) > maximum:
        raise CommandError(f"bad number for {name.decode()}")
    return float(text)


def _integer(fields: dict[bytes, bytes], name: bytes, minimum: int, maximum: int, default: int) -> int:
    """Return an integer from `minimum` to `maximum`, or `default` if the field is absent."""
    text = fields.get(name)
    if text is None:
        return default
    if _INTEGER.fullmatch(text) is None or not minimum <= int(text) <= maximum:
        raise CommandError(f"bad number for {name.decode()}")
    return int(text)
