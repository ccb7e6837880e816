"""A fake of the shared counter: named totals with INCRTTL over RESP2, in partitions of bounded capacity.

The fake follows the protocol specification of the counter. Each name belongs to one partition, which serves
its calls one by one. A call that would be queued for longer than `max_queue_wait_ms` is rejected with
``-BUSY`` and adds nothing. The amount of any other call is added when the call is served, whether or not the
caller is still connected.

Differences from the real counter: the connection limit applies to all gateways together, since gateways on
one loopback address cannot be distinguished, and no calls are rejected before a run begins.
"""

from __future__ import annotations

import math
import time
import zlib
from dataclasses import dataclass

from quota_gateway.lab.fakes.faults import MALFORMED_REPLIES, Fault, FaultKind
from quota_gateway.lab.fakes.resp_server import (
    BUSY_REPLY,
    CONNECTION_COMMAND_REPLIES,
    UNKNOWN_COMMAND_REPLY,
    PendingReply,
    RespServer,
    bulk_string,
)

INVALID_CALL_REPLY = b"-ERR no such call\r\n"
MAX_NAME_BYTES = 64
MAX_AMOUNT = 1e9
MAX_TTL_MS = 60_000.0
EXPIRE_EVERY_CALLS = 1024  # number of calls between two removals of expired names
SUPPORTED_FAULTS = (
    FaultKind.RESET,
    FaultKind.NO_REPLY,
    FaultKind.DELAY,
    FaultKind.MALFORMED_REPLY,
    FaultKind.UNAVAILABLE,
)


@dataclass(frozen=True, slots=True)
class CounterModel:
    """Capacity and timing of the counter.

    Raises:
        ValueError: a value is out of range.
    """

    partitions: int = 1
    calls_per_s: float = 5000.0  # capacity of one partition
    reply_delay_ms: float = 0.0  # delay between the end of a call's service and its reply
    max_queue_wait_ms: float = 100.0
    idle_timeout_ms: float = 10_000.0
    max_connections: int = 1024  # while more are open, a connection is reset at its first command

    def __post_init__(self) -> None:
        times = (self.reply_delay_ms, self.max_queue_wait_ms, self.idle_timeout_ms)
        has_capacity = math.isfinite(self.calls_per_s) and self.calls_per_s > 0
        if self.partitions < 1 or self.max_connections < 1 or not has_capacity:
            raise ValueError(
                "a counter must have partitions >= 1, max_connections >= 1 and a finite calls_per_s > 0,"
                f" not {self.partitions}, {self.max_connections} and {self.calls_per_s}"
            )
        if not all(math.isfinite(time_ms) and time_ms >= 0.0 for time_ms in times):
            raise ValueError(
                "reply_delay_ms, max_queue_wait_ms and idle_timeout_ms of a counter must be finite"
                f" and at least 0, not {times}"
            )


@dataclass(slots=True)
class CounterValue:
    """The total of one name. The first call sets its expiry; later calls do not extend it."""

    total: float
    expires_at: float  # seconds of `time.monotonic`


@dataclass(frozen=True, slots=True)
class IncrementCall:
    """A well-formed ``INCRTTL NAME AMOUNT TTL``."""

    name: bytes
    amount: float
    ttl_ms: float


class FakeCounter(RespServer):
    """The fake of the shared counter. It counts increment calls and their rejections."""

    def __init__(self, model: CounterModel, seed: int = 0) -> None:
        super().__init__(SUPPORTED_FAULTS, seed, model.idle_timeout_ms / 1000.0)
        self.model = model
        self.call_count = 0
        self.rejected_count = 0
        self._values: dict[bytes, CounterValue] = {}
        self._partition_free_at = [0.0] * model.partitions

    def handle_command(self, pending: PendingReply, arguments: list[bytes]) -> None:
        """Serve an increment call, or reply to any other command at once."""
        command = arguments[0].upper()
        if len(self.connections) > self.model.max_connections and pending.first_on_connection:
            pending.connection.reset()
        elif command == b"INCRTTL":
            self._handle_increment(pending, arguments)
        else:
            pending.complete(CONNECTION_COMMAND_REPLIES.get(command, UNKNOWN_COMMAND_REPLY))

    def total(self, name: bytes) -> float | None:
        """Return the total of a name; None if the name is unknown or has expired."""
        value = self._values.get(name)
        return value.total if value is not None and value.expires_at > time.monotonic() else None

    def _handle_increment(self, pending: PendingReply, arguments: list[bytes]) -> None:
        self.call_count += 1
        call = _parse_increment(arguments)
        if call is None:
            pending.complete(INVALID_CALL_REPLY)
            return
        fault = self.faults.draw()
        wait_s = self._reserve_service(call.name)
        if wait_s is None or (fault is not None and fault.kind is FaultKind.UNAVAILABLE):
            self.rejected_count += 1
            pending.complete(BUSY_REPLY)
            return
        self.loop.call_later(wait_s, self._increment, pending, call, fault)

    def _reserve_service(self, name: bytes) -> float | None:
        """Reserve the next service slot of the name's partition.

        Returns:
            Seconds until the call has been served; None if it would be queued for too long.
        """
        partition = zlib.crc32(name) % self.model.partitions
        now = time.monotonic()
        starts_at = max(now, self._partition_free_at[partition])
        if starts_at - now > self.model.max_queue_wait_ms / 1000.0:
            return None
        self._partition_free_at[partition] = starts_at + 1.0 / self.model.calls_per_s
        return self._partition_free_at[partition] - now

    def _increment(self, pending: PendingReply, call: IncrementCall, fault: Fault | None) -> None:
        now = time.monotonic()
        value = self._values.get(call.name)
        if value is None or value.expires_at <= now:
            value = self._values[call.name] = CounterValue(0.0, now + call.ttl_ms / 1000.0)
        value.total += call.amount
        if not self.call_count % EXPIRE_EVERY_CALLS:
            self._values = {name: each for name, each in self._values.items() if each.expires_at > now}
        self._reply(pending, b"%.10g" % value.total, fault)

    def _reply(self, pending: PendingReply, total: bytes, fault: Fault | None) -> None:
        delay_ms = self.model.reply_delay_ms
        if fault is not None:
            match fault.kind:
                case FaultKind.RESET:
                    pending.connection.reset()
                    return
                case FaultKind.NO_REPLY:
                    return
                case FaultKind.MALFORMED_REPLY:
                    pending.complete(self.rng.choice(MALFORMED_REPLIES))
                    return
            delay_ms += fault.delay_ms
        if delay_ms:
            self.loop.call_later(delay_ms / 1000.0, pending.complete, bulk_string(total))
        else:
            pending.complete(bulk_string(total))


def _parse_increment(arguments: list[bytes]) -> IncrementCall | None:
    """Parse ``INCRTTL NAME AMOUNT TTL``; None if it is not valid. The TTL is limited to the maximum."""
    if len(arguments) != 4 or not 1 <= len(arguments[1]) <= MAX_NAME_BYTES:
        return None
    try:
        amount = float(arguments[2])
        ttl_ms = float(arguments[3])
    except ValueError:
        return None
    if not (math.isfinite(amount) and abs(amount) <= MAX_AMOUNT and ttl_ms >= 1.0):
        return None
    return IncrementCall(arguments[1], amount, min(ttl_ms, MAX_TTL_MS))
