"""A gateway's calls to the shared counter: one reply per call, delivered in the order of a key's calls."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from functools import partial

from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.gateway_host import GatewayHost
from quota_gateway.lab.simulation.metrics import Message, Role
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.wire_sizes import incrttl
from quota_gateway.policy_api.actions import IncrementCounter
from quota_gateway.policy_api.events import CallOutcome, CounterReply

REPLY_BYTES = 16  # Size of a reply of the counter.


@dataclass(slots=True, eq=False)
class PendingCall:
    """A call whose reply has not been delivered to the policy.

    Attributes:
        sent_at: time at which the call was sent, ms.
        incarnation: the gateway process that sent it; its reply is not delivered to a later one.
        outcome: outcome of the call; None until the reply or the timeout.
        total: total of the key after the call; 0 unless the outcome is OK.
    """

    key: int
    sent_at: float
    incarnation: int
    outcome: CallOutcome | None = None
    total: float = 0.0


class CounterCalls:
    """Sends calls, and delivers the replies for each key in the order of the calls."""

    def __init__(self, environment: Environment, host: GatewayHost, timeout_ms: float) -> None:
        self._environment = environment
        self._host = host
        self._timeout_ms = timeout_ms
        self._pending: dict[int, deque[PendingCall]] = {}  # Calls by key, oldest first.

    @property
    def pending_count(self) -> int:
        """Number of calls whose reply has not been delivered."""
        return sum(len(calls) for calls in self._pending.values())

    def clear(self) -> None:
        """Drop all pending calls after the gateway's process was killed."""
        self._pending.clear()

    def add_pending(self, key: int) -> PendingCall:
        """Add a pending call for a key, and return it."""
        call = PendingCall(key, self._environment.scheduler.now, self._host.incarnation)
        self._pending.setdefault(key, deque()).append(call)
        return call

    def send(self, action: IncrementCounter) -> None:
        """Send a call; it completes with the counter's reply or with a timeout."""
        environment = self._environment
        host = self._host
        counter = environment.counter
        scheduler = environment.scheduler
        location, partition = counter.partition_of(host.location.region, action.key)
        size = len(incrttl(action.key, action.amount, action.ttl_ms))
        environment.metrics.count_message(Role.COUNTER, Message.CALLS, size)
        call = self.add_pending(action.key)
        scheduler.schedule_after(self._timeout_ms, self.complete, call, CallOutcome.TIMEOUT, 0.0)
        delay = environment.network.sample_delay(host.location, location)
        if delay is not None:
            reply = partial(self._return_reply, call, location)
            scheduler.schedule_after(
                delay, counter.call, partition, action.key, action.amount, action.ttl_ms, reply
            )

    def complete(self, call: PendingCall, outcome: CallOutcome, total: float) -> None:
        """Record the reply or timeout of a call, whichever comes first, and deliver the replies now ready."""
        if call.outcome is None and call.incarnation == self._host.incarnation and self._host.alive:
            call.outcome = outcome
            call.total = total
            self._deliver(call.key)

    def _return_reply(
        self, call: PendingCall, location: Location, outcome: CallOutcome, total: float
    ) -> None:
        """Send the counter's reply to the gateway; it may be lost on the way."""
        delay = self._environment.network.sample_delay(location, self._host.location)
        if delay is not None:
            self._environment.scheduler.schedule_after(delay, self.complete, call, outcome, total)

    def _deliver(self, key: int) -> None:
        """Deliver the replies for a key to the policy, up to the first call that has none yet."""
        calls = self._pending.get(key)
        while calls and (outcome := calls[0].outcome) is not None:
            call = calls.popleft()
            if not calls:
                del self._pending[key]
            environment = self._environment
            environment.metrics.count_message(Role.COUNTER, f"answered_{outcome.value}", REPLY_BYTES)
            duration_ms = environment.scheduler.now - call.sent_at
            self._host.post(CounterReply(key, call.total, outcome, duration_ms))
