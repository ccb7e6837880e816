"""Client commands. A request is validated completely before any of it reaches a quota or a server.

`CALL.GET` and `CALL.POST` take a customer id, a request id, a comma-separated list of `name=value` fields and
an optional body:

    CALL.POST 00000000b4d65521 9b1f03aa5c7e2d41 c=order,t=basic,d=480,k=5c0f6e1a2b3d4c59 BODY

The fields are `c` class, `t` plan, `d` time left in milliseconds, `k` idempotency key, `units` quota units,
`spread` number of gateways that the customer's requests come through, `first` the first of these gateways.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TypeGuard, TypeVar

from quota_gateway.network import resp
from quota_gateway.settings import Idempotency, Settings

READ_VERB = b"CALL.GET"  # requests that are idempotent by nature
WRITE_VERB = b"CALL.POST"
REQUEST_VERBS = (READ_VERB, WRITE_VERB)
QUIT_VERB = b"QUIT"
MAX_ECHOED_VERB_BYTES = 64  # of an unknown command, in the error about it

MAX_FIELDS_BYTES = 512
MAX_CUSTOMER = 1 << 33  # customer ids are below this
MIN_TIME_LEFT_MS = 1.0

_CUSTOMER = re.compile(rb"[0-9a-fA-F]{16}")
_TOKEN = re.compile(rb"[!-~]{1,64}")  # request ids and idempotency keys: printable ASCII without a space
_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,9})?")
_INTEGER = re.compile(rb"[0-9]{1,6}")

_Value = TypeVar("_Value")


class CommandError(ValueError):
    """A well-formed command that can't be served. Its text is sent to the client."""


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """The most that one request may ask for."""

    max_units: float
    max_time_left_ms: float  # longer deadlines are shortened to this, so that no request is held for minutes


@dataclass(slots=True)
class RequestCommand:
    """A parsed request command, with the parts from which it is encoded again for a server."""

    request_id: bytes
    class_name: str
    plan: str
    customer: str
    time_left_ms: float
    units: float
    customer_gateways: int
    encoded_head: bytes  # array header, verb, customer and request id
    fields_around_time: tuple[bytes, bytes]  # the field list up to and with "d=", and after its number
    encoded_body: bytes  # empty without a body

    def encode(self, time_left_ms: int) -> bytes:
        """Encode the client's command for a server, unchanged but for the time left."""
        fields = b"%b%d%b" % (self.fields_around_time[0], time_left_ms, self.fields_around_time[1])
        return b"%b%b%b" % (self.encoded_head, resp.encode_bulk(fields), self.encoded_body)


class CommandParser:
    """Validates request commands against the classes, plans and limits of the settings."""

    def __init__(self, settings: Settings, limits: RequestLimits) -> None:
        self.gateway_count = settings.gateway_count
        self.limits = limits
        self.plans = {plan.name.encode(): plan.name for plan in settings.plans}
        self.classes = {cls.name.encode(): (cls.name, cls.idempotency) for cls in settings.classes}

    def parse(self, words: list[bytes]) -> RequestCommand:
        """Validate a command whose verb is one of `REQUEST_VERBS`. Raises `CommandError`."""
        if not 4 <= len(words) <= 5:
            raise CommandError("wrong number of arguments")
        customer, request_id, text = words[1:4]
        _check_identifiers(customer, request_id)
        fields, fields_around_time = _split_fields(text)
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
            # All gateways must use one spelling: accounting windows and counter keys derive from it.
            customer=customer.lower().decode(),
            time_left_ms=min(time_left_ms, self.limits.max_time_left_ms),
            units=units,
            customer_gateways=customer_gateways,
            encoded_head=b"*%d\r\n%b" % (len(words), b"".join([resp.encode_bulk(w) for w in words[:3]])),
            fields_around_time=fields_around_time,
            encoded_body=resp.encode_bulk(words[4]) if len(words) == 5 else b"",
        )

    def _class_name(self, verb: bytes, fields: dict[bytes, bytes]) -> str:
        """Return the name of the request's class, once verb and idempotency key fit it."""
        class_name, idempotency = _lookup(self.classes, fields, b"c", "class")
        if (idempotency is Idempotency.IDEMPOTENT) != (verb == READ_VERB):
            raise CommandError("this class goes by the other command")
        key_expected = b"k" in fields or idempotency is Idempotency.KEYED
        if key_expected and _TOKEN.fullmatch(fields.get(b"k", b"")) is None:
            raise CommandError("no idempotency key")
        return class_name


def is_command(message: object) -> TypeGuard[list[bytes]]:
    """Tell whether a message is a command: a non-empty array of bulk strings."""
    return isinstance(message, list) and bool(message) and all(type(word) is bytes for word in message)


def answer_connection_command(verb: bytes, words: list[bytes]) -> bytes:
    """Return the encoded reply to a command that is no request. Raises `CommandError` for an unknown one.

    `CLIENT` and `SELECT` are accepted without effect, for the sake of client libraries that send them.
    """
    if verb == b"PING":
        if len(words) > 2:
            raise CommandError("wrong number of arguments for 'ping'")
        return resp.encode_bulk(words[1]) if len(words) == 2 else resp.PONG
    if verb in (b"CLIENT", b"SELECT", QUIT_VERB):
        return resp.OK
    raise CommandError(f"unknown command '{verb[:MAX_ECHOED_VERB_BYTES].decode('ascii', 'replace')}'")


def _check_identifiers(customer: bytes, request_id: bytes) -> None:
    if _CUSTOMER.fullmatch(customer) is None or int(customer, 16) >= MAX_CUSTOMER:
        raise CommandError("bad customer")
    if _TOKEN.fullmatch(request_id) is None:
        raise CommandError("bad request id")


def _split_fields(text: bytes) -> tuple[dict[bytes, bytes], tuple[bytes, bytes]]:
    """Return the fields by name, and the list's text before and after the number of `d`."""
    if len(text) > MAX_FIELDS_BYTES:
        raise CommandError("bad fields")
    fields: dict[bytes, bytes] = {}
    around_time: tuple[bytes, bytes] | None = None
    position = 0
    for field in text.split(b","):
        name, equals, value = field.partition(b"=")
        if not equals or not name or name in fields:
            raise CommandError("bad fields")
        fields[name] = value
        if name == b"d":
            around_time = text[: position + 2], text[position + len(field) :]
        position += len(field) + 1
    if around_time is None:
        raise CommandError("no time left given")
    return fields, around_time


def _lookup(table: Mapping[bytes, _Value], fields: dict[bytes, bytes], name: bytes, kind: str) -> _Value:
    """Return the entry of `table` that the field names; `kind` says in an error what it should be."""
    try:
        return table[fields[name]]
    except KeyError:
        raise CommandError(f"unknown {kind}") from None


def _decimal(fields: dict[bytes, bytes], name: bytes, maximum: float, default: bytes) -> float:
    """Return a non-negative number. `float` alone would accept `nan`, `1_0`, `1e9` and white space."""
    text = fields.get(name, default)
    if _DECIMAL.fullmatch(text) is None or float(text) > maximum:
        raise CommandError(f"bad number for {name.decode()}")
    return float(text)


def _integer(fields: dict[bytes, bytes], name: bytes, minimum: int, maximum: int, default: int) -> int:
    """Return an integer in its range, or the default if the field is absent."""
    text = fields.get(name)
    if text is None:
        return default
    if _INTEGER.fullmatch(text) is None or not minimum <= int(text) <= maximum:
        raise CommandError(f"bad number for {name.decode()}")
    return int(text)
