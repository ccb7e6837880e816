"""Hosts policies for the simulator: translates between its JSON lines and the policy's contract.

Run as ``python -m quota_gateway.simulator_adapter``. Each line of standard input is a batch of messages, and
is answered by a line of actions on standard output. The simulator wire specification defines both. Only this
module maps the names on the wire to those of the policy's contract. It makes no decisions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from enum import Enum
from typing import Any, TextIO, TypeVar

from quota_gateway.logfmt import format_event
from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogEvent,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    CounterReply,
    Event,
    Request,
    ResponseStarted,
    TimerFired,
)
from quota_gateway.settings import (
    decode_settings,
    number_or,
)

OUTCOME_NAMES = {
    "pass": CallOutcome.OK,
    "fault": CallOutcome.ERROR,
    "no_room": CallOutcome.REJECTED,
    "too_slow": CallOutcome.TIMEOUT,
    "no_route": CallOutcome.UNREACHABLE,
    "cut": CallOutcome.RESET,
    "undone": CallOutcome.CANCELLED,
    "stale_send": CallOutcome.NOT_SENT,
}
STATE_NAMES = {
    "active": EndpointState.ACTIVE,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}
UPDATE_KIND_NAMES = {
    "incr": UpdateKind.DELTA,
    "total": UpdateKind.SNAPSHOT,
    "warm_copy": UpdateKind.CACHED_SNAPSHOT,
    "lost": UpdateKind.WATCH_FAILED,
}
# Number of arguments of each kind of message. Missing trailing arguments count as null.
ARGUMENT_COUNTS = {
    "create": 3,
    "shutdown": 1,
    "directory": 2,
    "topology": 4,
    "accept": 11,
    "streaming": 4,
    "ended": 10,
    "gone": 2,
    "alarm": 2,
    "echo": 5,
    "whisper": 3,
    "ledger_reply": 5,
}
ENDPOINT_COLUMNS = 7  # columns of a row of a `directory` message
MAX_QUOTED_CHARACTERS = 200  # maximum length of the quotation of a message in an error

E = TypeVar("E", bound=Enum)
WireAction = list[Any]  # name and arguments of an action on the wire


class WireError(ValueError):
    """A line or message from the simulator that violates the wire specification."""


class GatewayHost:
    """The gateways of one process. They share the endpoint lists from the wire and nothing else."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}  # keys are gateway ids
        self._report_fields: dict[int, list[str]] = {}  # columns of load reports; keys are gateway ids
        # Keys are the numbers of the lists on the wire.
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}

    def handle_line(self, text: str) -> str:
        """Process a line with one batch of messages; return the line with the actions, without a line break.

        Raises `WireError` for a batch or a message that can't be decoded. The messages before it in the batch
        are processed, but their actions are lost.
        """
        try:
            batch = json.loads(text)
            now_ms = float(batch["moment_ms"])
            inbox = batch["inbox"]
        except (ValueError, KeyError, TypeError) as error:
            quoted = text[:MAX_QUOTED_CHARACTERS]
            raise WireError(f"expected an object with moment_ms and inbox ({error!r}): {quoted!r}") from error
        if not isinstance(inbox, list):
            quoted = text[:MAX_QUOTED_CHARACTERS]
            raise WireError(f"inbox: expected an array, got {type(inbox).__name__}: {quoted!r}")
        actions: list[WireAction] = []
        for message in inbox:
            actions += self._handle_message(now_ms, message)
        return json.dumps({"actions": actions}, separators=(",", ":"))

    def _handle_message(self, now_ms: float, message: Any) -> list[WireAction]:
        """Process one message: update the lists and gateways here, or pass an event to a gateway."""
        with _wire_errors(message):
            kind, arguments = _split_message(message)
            if kind == "directory":
                self._endpoint_lists[int(arguments[0])] = tuple(_decode_endpoint(row) for row in arguments[1])
                return []
            gateway_id = int(arguments[0])
            if kind == "shutdown":
                self.gateways.pop(gateway_id, None)
                return []
        if kind == "create":
            return self._create_gateway(gateway_id, message, arguments)
        with _wire_errors(message):
            if gateway_id not in self.gateways:
                raise WireError(f"{kind!r} message for gateway {gateway_id}, which does not exist")
            event = self._decode_event(kind, gateway_id, arguments)
        if event is None:
            return []
        return _run_policy(gateway_id, lambda: self.gateways[gateway_id].handle(now_ms, event))

    def _create_gateway(self, gateway_id: int, message: Any, arguments: Sequence[Any]) -> list[WireAction]:
        with _wire_errors(message):
            raw_settings = arguments[2] or {}
            settings = decode_settings(raw_settings)
            seed = int(arguments[1])
            reporting = raw_settings.get("reporting") or {}
            self._report_fields[gateway_id] = list(reporting.get("fields") or [])

        def create() -> list[Action]:
            self.gateways[gateway_id] = Gateway(settings, seed)
            return []

        return _run_policy(gateway_id, create)

    def _decode_event(self, kind: str, gateway_id: int, arguments: Sequence[Any]) -> Event | None:
        """Decode an event of the policy's contract; None for messages that have no counterpart in it."""
        match kind:
            case "accept":
                return _decode_request(arguments)
            case "ended":
                return _decode_attempt_completed(arguments, self._report_fields.get(gateway_id, []))
            case "topology":
                return self._decode_endpoint_update(arguments)
            case "gone":
                return ClientDisconnected(str(arguments[1]))
            case "alarm":
                return TimerFired(int(arguments[1]))
            case "ledger_reply":
                return _decode_counter_reply(arguments)
            case "streaming":
                return ResponseStarted(str(arguments[1]), int(number_or(arguments[2])))
        return None

    def _decode_endpoint_update(self, arguments: Sequence[Any]) -> EndpointUpdate:
        kind = _decode_name(UPDATE_KIND_NAMES, arguments[1], "kind of endpoint list")
        if kind is UpdateKind.WATCH_FAILED:
            return EndpointUpdate(kind)
        return EndpointUpdate(kind, self._endpoint_lists[int(arguments[3])])


@contextmanager
def _wire_errors(message: Any) -> Iterator[None]:
    """Convert the exceptions that a malformed message causes in a decoder to `WireError`."""
    try:
        yield
    except WireError:
        raise
    except (ValueError, KeyError, TypeError, IndexError, AttributeError) as error:
        quoted = json.dumps(message)[:MAX_QUOTED_CHARACTERS]
        raise WireError(f"malformed message ({error!r}): {quoted}") from error


def _run_policy(gateway_id: int, policy_call: Callable[[], list[Action]]) -> list[WireAction]:
    """Run a call to a gateway and encode its actions.

    An exception becomes a single `die` action with the exception's type and text.
    """
    try:
        actions = policy_call()
    except Exception as error:
        return [["die", gateway_id, f"{type(error).__name__}: {error}"]]
    return [encode_action(gateway_id, action) for action in actions]


def _split_message(message: Any) -> tuple[str, list[Any]]:
    """Return the kind of a message and its arguments, padded with None."""
    kind = message[0]
    arguments = list(message[1:])
    count = ARGUMENT_COUNTS.get(kind)
    if count is None:
        raise WireError(f"unknown kind of message {kind!r}; expected one of {', '.join(ARGUMENT_COUNTS)}")
    return kind, arguments + [None] * (count - len(arguments))


def _decode_name(names: dict[str, E], value: Any, meaning: str) -> E:
    """Return the enum member for a name on the wire; `meaning` describes the name in the error."""
    try:
        return names[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {meaning} {value!r}; expected one of {', '.join(names)}") from None


def _decode_endpoint(row: Sequence[Any]) -> Endpoint:
    columns = [*row, *[None] * ENDPOINT_COLUMNS][:ENDPOINT_COLUMNS]
    weight, started_ms, zone, cell, _server_kind, server_id, state = columns
    return Endpoint(
        server_id=str(server_id),
        zone=str(zone),
        cell=int(number_or(cell)),
        weight=number_or(weight, 1.0),
        started_ms=number_or(started_ms),
        state=_decode_name(STATE_NAMES, state, "server state"),
    )


def _decode_request(arguments: Sequence[Any]) -> Request:
    return Request(
        request_id=str(arguments[1]),
        class_name=str(arguments[2]),
        plan=str(arguments[3]),
        customer=str(arguments[4]),
        time_left_ms=number_or(arguments[5]),
        units=number_or(arguments[6], 1.0),
        customer_gateways=max(1, int(number_or(arguments[7], 1))),
    )


def _decode_attempt_completed(arguments: Sequence[Any], report_fields: Sequence[str]) -> AttemptCompleted:
    report = dict(zip(report_fields, arguments[9] or [], strict=False))
    return AttemptCompleted(
        request_id=str(arguments[1]),
        attempt=int(number_or(arguments[2])),
        server_id=str(arguments[3]),
        outcome=_decode_name(OUTCOME_NAMES, arguments[4], "outcome"),
        duration_ms=number_or(arguments[5]),
        request_completed=bool(arguments[6]),
        queue_length=_reported_number(report.get("waiting")),
        active_requests=_reported_number(report.get("active")),
    )


def _decode_counter_reply(arguments: Sequence[Any]) -> CounterReply:
    return CounterReply(
        key=int(arguments[2]),
        total=number_or(arguments[3]),
        outcome=_decode_name(OUTCOME_NAMES, arguments[4], "outcome"),
        duration_ms=number_or(arguments[1]),
    )


def _reported_number(value: Any) -> float | None:
    """Return a number of a load report, or None if the value is missing or not a number."""
    return float(value) if isinstance(value, int | float) and not isinstance(value, bool) else None


def encode_action(gateway_id: int, action: Action) -> WireAction:
    """Return the name and arguments of a gateway's action on the wire."""
    match action:
        case StartAttempt(request_id, server_id, timeout_ms):
            return ["hand_off", gateway_id, request_id, timeout_ms, server_id]
        case Reject(request_id, retry_after_ms):
            return ["bounce", gateway_id, request_id, retry_after_ms]
        case Fail(request_id):
            return ["give_up", gateway_id, request_id]
        case CancelAttempt(request_id, attempt):
            return ["recall", gateway_id, request_id, attempt]
        case SetTimer(token, at_ms):
            return ["remind", gateway_id, token, at_ms]
        case IncrementCounter(key, amount, ttl_ms):
            return ["incr", gateway_id, key, amount, ttl_ms]
        case WatchEndpoints():
            return ["tail", gateway_id, True]
        case LogEvent(event, fields):
            return ["say_log", gateway_id, format_event(event, fields)]


def serve(lines: Iterable[str], out: TextIO) -> int:
    """Answer every line until the input ends or a line can't be decoded; return the exit status, 0 or 1."""
    host = GatewayHost()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.handle_line(line)
        except WireError as error:
            print(f"quota_gateway.simulator_adapter: {error}", file=sys.stderr)
            return 1
        out.write(reply + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout))
