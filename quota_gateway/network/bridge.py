"""The bridge between sockets and policy: events go in, the actions returned are carried out in order.

The policy must not be called from within a call. Whatever completes while actions are being carried out is
therefore queued as an event and handed over afterwards, one event at a time. Whatever the policy does, and
whether or not it fails, each request gets exactly one final answer within its deadline.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.address import Address
from quota_gateway.network.attempt import Attempt
from quota_gateway.network.attempt_result import AttemptResult
from quota_gateway.network.clock import Clock
from quota_gateway.network.commands import RequestCommand
from quota_gateway.network.counter_client import CounterClient
from quota_gateway.network.discovery.endpoint_list import VersionedUpdate
from quota_gateway.network.in_flight_request import InFlightRequest
from quota_gateway.network.load_report import parse_load_report
from quota_gateway.network.log_setup import EventMessage, log_event
from quota_gateway.network.server_pool import ServerPools
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
from quota_gateway.policy_api.endpoints import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
    split_update,
)
from quota_gateway.policy_api.events import (
    DID_NOT_RUN,
    AttemptCompleted,
    CallOutcome,
    ClientDisconnected,
    CounterReply,
    Event,
    Request,
    TimerFired,
)

log = logging.getLogger("quota_gateway")

TIMER_RETRY_MS = 250.0  # a timer whose event made the policy fail fires again after this
TIMER_SLACK_S = 0.001  # the loop's clock is coarse, and a timer must not fire early


class Policy(Protocol):
    """The policy, as far as the bridge needs it."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event and return the actions to carry out, in order."""


class PolicyBridge:
    """Hosts the policy: turns what happens on sockets into events, and actions into what happens there."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        server_pools: ServerPools,
        counter: CounterClient | None,
    ) -> None:
        self.loop = loop
        self.clock = Clock()
        self.policy = policy
        self.server_pools = server_pools
        self.counter = counter  # None: every increment is unreachable
        self.in_flight: dict[str, InFlightRequest] = {}  # by ref
        self.attempts: dict[tuple[str, int], Attempt] = {}  # in flight, by ref and number
        self.started_ms: dict[str, float] = {}  # Unix time of each server's last start, by server id
        self.shutting_down = False  # requests are rejected on arrival
        self._request_count = 0
        self._events: deque[Event] = deque()
        self._dispatching = False

    # --- events to the policy ----------------------------------------------------------------------------

    def post_event(self, event: Event) -> None:
        """Hand an event to the policy, after the actions of the event being handled, if there is one."""
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                self._dispatch(self._events.popleft())
        finally:
            self._dispatching = False

    def _dispatch(self, event: Event) -> None:
        """Handle one event and carry out its actions. A failure in either costs no request its answer."""
        try:
            actions = self.policy.handle(self.clock.now_ms(), event)
        except Exception:
            log_event(log, logging.ERROR, "policy_failed", exc_info=True, policy_event=type(event).__name__)
            self._recover_from_failed_event(event)
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log_event(log, logging.ERROR, "action_failed", exc_info=True, action=type(action).__name__)
                if isinstance(action, StartAttempt | Reject | Fail):
                    self.close_request(action.request_id)

    def _recover_from_failed_event(self, event: Event) -> None:
        """Answer the request of an event that the policy failed on, or keep its timer going."""
        if isinstance(event, Request | AttemptCompleted):
            self.close_request(event.request_id)
        elif isinstance(event, TimerFired):
            self._set_timer(event.token, self.clock.now_ms() + TIMER_RETRY_MS)

    # --- requests ----------------------------------------------------------------------------------------

    def accept_request(self, command: RequestCommand, send_reply: Callable[[bytes], None]) -> InFlightRequest:
        """Take charge of a client's request.

        `send_reply` is called at most once, with the encoded final answer, possibly before this returns. It
        is not called after `cancel_request`.
        """
        self._request_count += 1
        ref = str(self._request_count)
        deadline = self.loop.time() + command.time_left_ms / 1000.0
        request = InFlightRequest(ref, command, deadline, send_reply)
        self.in_flight[ref] = request
        request.deadline_timer = self.loop.call_at(deadline, self.close_request, ref)
        if self.shutting_down:
            self._reject(ref, 0.0)  # another gateway can serve it at once
            return request
        self.post_event(
            Request(
                ref,
                command.class_name,
                command.plan,
                command.customer,
                command.time_left_ms,
                command.units,
                command.customer_gateways,
            )
        )
        return request

    def cancel_request(self, request: InFlightRequest) -> None:
        """Give up a request whose client has disconnected: what was not written yet is not sent any more."""
        if self._remove_request(request):
            self.post_event(ClientDisconnected(request.ref))
            if request.attempt is not None and not request.attempt.may_have_run:
                request.attempt.cancel()

    def close_request(self, ref: str) -> None:
        """Answer a request in the policy's place, at its deadline or after a failure, and cancel it there."""
        request = self.in_flight.get(ref)
        if request is not None:
            self._reject(ref, 0.0)
            if request.attempt is not None:
                request.attempt.cancel()
            self.post_event(ClientDisconnected(ref))

    def shut_down(self) -> None:
        """Answer all requests in flight and reject those that still arrive."""
        self.shutting_down = True
        for ref in list(self.in_flight):
            self.close_request(ref)

    def _reject(self, ref: str, retry_after_ms: float) -> None:
        """Reject a request, or fail it if it may have run: a rejection promises that it has not."""
        request = self.in_flight.get(ref)
        if request is not None:
            reply = resp.FAILED if request.may_have_run() else resp.encode_busy(retry_after_ms)
            self._answer(ref, reply)

    def _answer(self, ref: str, reply: bytes) -> None:
        """Send the final answer. Without effect on a request that was answered or cancelled before."""
        request = self.in_flight.get(ref)
        if request is not None and self._remove_request(request):
            request.send_reply(reply)

    def _remove_request(self, request: InFlightRequest) -> bool:
        """Remove a request from those in flight; False if it was not among them."""
        if self.in_flight.pop(request.ref, None) is None:
            return False
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        return True

    # --- endpoints ---------------------------------------------------------------------------------------

    def endpoint_update_steps(self, versioned: VersionedUpdate) -> Iterator[None]:
        """Apply an endpoint update step by step; other work may be done between the steps.

        A long snapshot is split, endpoints that are gone or draining first.
        """
        for part in split_update(versioned.update, list(self.server_pools.pools)):
            self._apply_endpoint_update(part, versioned.addresses)
            yield

    def _apply_endpoint_update(self, update: EndpointUpdate, addresses: dict[str, Address]) -> None:
        """Update the pools, then the policy, so that nothing is written to a server that must get nothing."""
        for endpoint in update.endpoints:
            self._apply_endpoint(endpoint, addresses)
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            self._remove_unlisted({endpoint.server_id for endpoint in update.endpoints})
        self.post_event(update)

    def _apply_endpoint(self, endpoint: Endpoint, addresses: dict[str, Address]) -> None:
        server_id = endpoint.server_id
        if endpoint.state is EndpointState.ACTIVE:
            restarted = self.started_ms.get(server_id, endpoint.started_ms) != endpoint.started_ms
            self.started_ms[server_id] = endpoint.started_ms
            self.server_pools.activate(server_id, addresses[server_id], restarted)
        elif endpoint.state is EndpointState.DRAINING:
            self.server_pools.drain(server_id)
        else:
            self.server_pools.remove(server_id)
            self.started_ms.pop(server_id, None)  # ids are never used again

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Forget the servers that a snapshot does not list."""
        for server_id in [known for known in self.server_pools.pools if known not in listed]:
            self.server_pools.remove(server_id)
        self.started_ms = {known: at for known, at in self.started_ms.items() if known in listed}

    # --- actions of the policy ---------------------------------------------------------------------------

    def _perform(self, action: Action) -> None:
        """Carry out one action."""
        match action:
            case StartAttempt():
                self._start_attempt(action)
            case Reject(request_id, retry_after_ms):
                self._reject(request_id, retry_after_ms)
            case Fail(request_id):
                self._answer(request_id, resp.FAILED)
            case CancelAttempt(request_id, number):
                attempt = self.attempts.get((request_id, number))
                if attempt is not None:
                    attempt.cancel()
            case SetTimer(token, at_ms):
                self._set_timer(token, at_ms)
            case IncrementCounter(key, amount, ttl_ms):
                self._increment_counter(key, amount, ttl_ms)
            case WatchEndpoints():
                pass  # the watch runs from the start
            case LogEvent(event, fields):
                log.info(EventMessage(event, dict(fields)))

    def _set_timer(self, token: int, at_ms: float) -> None:
        """Post `TimerFired` at the time or after."""
        delay_s = max(0.0, at_ms - self.clock.now_ms()) / 1000.0
        self.loop.call_later(delay_s + TIMER_SLACK_S, self.post_event, TimerFired(token))

    def _increment_counter(self, key: int, amount: float, ttl_ms: float) -> None:
        """Call the shared counter."""

        def on_reply(total: float, outcome: CallOutcome, duration_ms: float) -> None:
            self.post_event(CounterReply(key, total, outcome, duration_ms))

        if self.counter is None:
            on_reply(0.0, CallOutcome.UNREACHABLE, 0.0)
        else:
            self.counter.increment(key, amount, ttl_ms, on_reply)

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, or complete it unsent where it must not be sent."""
        ref, server_id = action.request_id, action.server_id
        request = self.in_flight.get(ref)
        if request is None:
            self.post_event(AttemptCompleted(ref, 0, server_id, CallOutcome.NOT_SENT, 0.0, True))
            return
        number = request.attempts_started
        request.attempts_started += 1
        timeout_s = request.attempt_timeout_s(self.loop.time(), action.timeout_ms)
        # This host carries one attempt of a request at a time.
        if request.attempt is not None or timeout_s <= 0:
            self.post_event(AttemptCompleted(ref, number, server_id, CallOutcome.NOT_SENT, 0.0, False))
            return
        pool = self.server_pools.writable_pool(server_id)
        if pool is None:
            self.post_event(AttemptCompleted(ref, number, server_id, CallOutcome.UNREACHABLE, 0.0, False))
            return

        def on_complete(result: AttemptResult) -> None:
            self._complete_attempt(request, number, server_id, result)

        attempt = Attempt(pool, request.command.encode, timeout_s, on_complete)
        request.attempt = self.attempts[ref, number] = attempt
        attempt.start()

    def _complete_attempt(
        self, request: InFlightRequest, number: int, server_id: str, result: AttemptResult
    ) -> None:
        """Answer the client, if the attempt succeeded, and then tell the policy."""
        attempt = self.attempts.pop((request.ref, number))
        request.attempt = None
        if result.outcome not in DID_NOT_RUN:
            request.completed_attempt_may_have_run = True
        duration_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        if result.outcome is CallOutcome.OK and result.value is not None:
            self._answer(request.ref, resp.encode_bulk(result.value))
        report = parse_load_report(result.load_report)
        self.post_event(
            AttemptCompleted(
                request.ref,
                number,
                server_id,
                result.outcome,
                duration_ms,
                request_completed=request.ref not in self.in_flight,
                queue_length=report.queue_length,
                active_requests=report.active_requests,
            )
        )
