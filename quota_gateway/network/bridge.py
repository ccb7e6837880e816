"""The bridge between sockets and policy: posts events to the policy and carries out its actions in order.

Calls to the policy must not be nested. Events that occur while actions are being carried out are therefore
queued and handled afterwards, one at a time. Each request gets exactly one final answer within its deadline,
even if the policy gives none or raises an exception.

A request id in this module is the `policy_request_id` of an `InFlightRequest`.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

from quota_gateway.network import resp
from quota_gateway.network.address import Address
from quota_gateway.network.attempt import MIN_TIMEOUT_S, Attempt
from quota_gateway.network.attempt_result import AttemptResult
from quota_gateway.network.client_memory import ClientMemory
from quota_gateway.network.clock import Clock
from quota_gateway.network.commands import CommandError, RequestCommand
from quota_gateway.network.counter_client import CounterClient
from quota_gateway.network.discovery.endpoint_list import VersionedUpdate
from quota_gateway.network.in_flight_request import InFlightRequest
from quota_gateway.network.load_report import parse_load_report
from quota_gateway.network.log_setup import EventMessage, log_event
from quota_gateway.network.request_ids import RequestIds
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

TIMER_RETRY_MS = 250.0  # delay until a timer fires again after the policy failed on its event
TIMER_SLACK_S = 0.001  # added to delays: the event loop's clock is coarse, and no timer may fire early


class Policy(Protocol):
    """The part of the policy's interface that the bridge uses."""

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event at Unix time `now_ms`; return the actions to carry out, in order."""


class PolicyBridge:
    """Hosts the policy: reports network events to it and carries out its actions on the sockets.

    `overload_retry_after_ms` is the retry-after of requests that are rejected because the memory for clients
    is exhausted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        policy: Policy,
        server_pools: ServerPools,
        counter: CounterClient | None,
        client_memory: ClientMemory,
        overload_retry_after_ms: float = 0.0,
    ) -> None:
        self.loop = loop
        self.clock = Clock()
        self.policy = policy
        self.server_pools = server_pools
        self.client_memory = client_memory
        self.request_ids = RequestIds(loop, client_memory)
        self.overload_retry_after_ms = overload_retry_after_ms
        self.counter = counter  # None: every increment completes as UNREACHABLE
        self.in_flight: dict[str, InFlightRequest] = {}  # requests by policy request id
        self.attempts: dict[tuple[str, int], Attempt] = {}  # attempts in flight by request id and number
        self.shutting_down = False  # new requests are rejected on arrival
        self._request_count = 0
        self._events: deque[Event] = deque()
        self._dispatching = False

    # --- events to the policy ----------------------------------------------------------------------------

    def post_event(self, event: Event) -> None:
        """Hand an event to the policy, or queue it while another event is being handled."""
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
        """Have the policy handle one event, and carry out the actions that it returns.

        An exception in either is logged, and the request concerned still gets an answer.
        """
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
        """Answer the request of an event that the policy failed on, or set the event's timer again."""
        if isinstance(event, Request | AttemptCompleted):
            self.close_request(event.request_id)
        elif isinstance(event, TimerFired):
            self._set_timer(event.token, self.clock.now_ms() + TIMER_RETRY_MS)

    # --- requests ----------------------------------------------------------------------------------------

    def accept_request(
        self,
        command: RequestCommand,
        send_reply: Callable[[bytes], None],
        client_connected: Callable[[], bool],
    ) -> InFlightRequest:
        """Register a client's request and pass it to the policy.

        `send_reply` is called at most once, with the encoded final answer, possibly before this method
        returns. It is not called after `cancel_request`. `client_connected` asks the kernel whether the
        client is still connected; nothing is forwarded for a client that has left. Raises `CommandError` if
        the client's request id is in use.
        """
        if not self.request_ids.reserve(command.request_id):
            raise CommandError("this request id is in use")
        self._request_count += 1
        request_id = str(self._request_count)
        deadline = self.loop.time() + command.time_left_ms / 1000.0
        request = InFlightRequest(request_id, command, deadline, send_reply, client_connected)
        has_memory = not self.client_memory.is_exhausted
        self.client_memory.add(request.held_bytes)
        self.in_flight[request_id] = request
        request.deadline_timer = self.loop.call_at(deadline, self.close_request, request_id)
        if self.shutting_down:
            self._reject(request_id, 0.0)  # no retry-after: another gateway can serve it at once
            return request
        if not has_memory:
            self._reject(request_id, self.overload_retry_after_ms)
            return request
        self.post_event(
            Request(
                request_id,
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
        """Drop a request whose client has disconnected; cancel its attempt if nothing is written yet."""
        request.client_left = True
        if self._remove_request(request):
            self.post_event(ClientDisconnected(request.policy_request_id))
            if request.attempt is not None and not request.attempt.may_have_run:
                request.attempt.cancel()

    def close_request(self, request_id: str) -> None:
        """Answer a request without the policy, at its deadline, after a failure or at shutdown.

        Its attempt is cancelled, and the policy gets a `ClientDisconnected`.
        """
        request = self.in_flight.get(request_id)
        if request is not None:
            self._reject(request_id, 0.0)
            if request.attempt is not None:
                request.attempt.cancel()
            self.post_event(ClientDisconnected(request_id))

    def shut_down(self) -> None:
        """Answer all requests in flight and reject those that still arrive."""
        self.shutting_down = True
        for request_id in list(self.in_flight):
            self.close_request(request_id)

    def _reject(self, request_id: str, retry_after_ms: float) -> None:
        """Reject a request, or fail it if it may have run: a rejection promises that it has not run."""
        request = self.in_flight.get(request_id)
        if request is not None:
            reply = resp.FAILED if request.may_have_run() else resp.encode_busy(retry_after_ms)
            self._answer(request_id, reply)

    def _answer(self, request_id: str, reply: bytes) -> None:
        """Send the final answer; does nothing if the request was already answered or cancelled."""
        request = self.in_flight.get(request_id)
        if request is not None and self._remove_request(request):
            request.send_reply(reply)

    def _remove_request(self, request: InFlightRequest) -> bool:
        """Remove a request from those in flight; return False if it was not among them."""
        if self.in_flight.pop(request.policy_request_id, None) is None:
            return False
        self.client_memory.add(-request.held_bytes)
        request.release_command()
        self._release_id_if_over(request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        return True

    def _release_id_if_over(self, request: InFlightRequest) -> None:
        """Release the client's request id once the request is answered or cancelled and no attempt is left.

        If the client has left and the request may have run, the id stays in use until the deadline: the same
        request, sent again by another connection, would run a second time.
        """
        if request.policy_request_id in self.in_flight or request.attempt is not None:
            return
        request_id = request.command.request_id
        if request.client_left and request.may_have_run():
            self.request_ids.hold_until(request_id, request.deadline)
        else:
            self.request_ids.release(request_id)

    # --- endpoints ---------------------------------------------------------------------------------------

    def endpoint_update_steps(self, versioned_update: VersionedUpdate) -> Iterator[None]:
        """Apply an endpoint update in steps, between which the caller may do other work.

        A long snapshot is split into deltas; endpoints that are gone or draining come first.
        """
        for update in split_update(versioned_update.update, list(self.server_pools.pools)):
            self._apply_endpoint_update(update, versioned_update.addresses)
            yield

    def _apply_endpoint_update(self, update: EndpointUpdate, addresses: dict[str, Address]) -> None:
        """Update the pools, then notify the policy: its attempts must not reach a server that is removed."""
        for endpoint in update.endpoints:
            self._apply_endpoint(endpoint, addresses)
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            self._remove_unlisted({endpoint.server_id for endpoint in update.endpoints})
        self.post_event(update)

    def _apply_endpoint(self, endpoint: Endpoint, addresses: dict[str, Address]) -> None:
        server_id = endpoint.server_id
        if endpoint.state is EndpointState.ACTIVE:
            self.server_pools.activate(server_id, addresses[server_id], endpoint.started_ms)
        elif endpoint.state is EndpointState.DRAINING:
            self.server_pools.drain(server_id)
        else:
            self.server_pools.remove(server_id)

    def _remove_unlisted(self, listed: set[str]) -> None:
        """Remove the servers that a snapshot does not list."""
        unlisted = [server_id for server_id in self.server_pools.pools if server_id not in listed]
        for server_id in unlisted:
            self.server_pools.remove(server_id)

    # --- actions of the policy ---------------------------------------------------------------------------

    def _perform(self, action: Action) -> None:
        """Carry out one action of the policy."""
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
                pass  # the process starts the watch itself
            case LogEvent(event, fields):
                log.info(EventMessage(event, dict(fields)))

    def _set_timer(self, token: int, at_ms: float) -> None:
        """Post `TimerFired(token)` at Unix time `at_ms` or shortly after."""
        delay_s = max(0.0, at_ms - self.clock.now_ms()) / 1000.0
        self.loop.call_later(delay_s + TIMER_SLACK_S, self.post_event, TimerFired(token))

    def _increment_counter(self, key: int, amount: float, ttl_ms: float) -> None:
        """Increment the shared counter and post its reply."""

        def on_reply(total: float, outcome: CallOutcome, duration_ms: float) -> None:
            self.post_event(CounterReply(key, total, outcome, duration_ms))

        if self.counter is None:
            on_reply(0.0, CallOutcome.UNREACHABLE, 0.0)
        else:
            self.counter.increment(key, amount, ttl_ms, on_reply)

    def _start_attempt(self, action: StartAttempt) -> None:
        """Start an attempt, or complete it at once if its request can't be sent."""
        request_id = action.request_id
        server_id = action.server_id
        request = self.in_flight.get(request_id)
        if request is None:
            self.post_event(AttemptCompleted(request_id, 0, server_id, CallOutcome.NOT_SENT, 0.0, True))
            return
        number = request.attempts_started
        request.attempts_started += 1
        timeout_s = request.attempt_timeout_s(self.loop.time(), action.timeout_ms)
        # A request has at most one attempt in flight.
        if request.attempt is not None or timeout_s < MIN_TIMEOUT_S:
            self.post_event(AttemptCompleted(request_id, number, server_id, CallOutcome.NOT_SENT, 0.0, False))
            return
        pool = self.server_pools.writable_pool(server_id)
        if pool is None:
            self.post_event(
                AttemptCompleted(request_id, number, server_id, CallOutcome.UNREACHABLE, 0.0, False)
            )
            return

        def on_complete(result: AttemptResult) -> None:
            self._complete_attempt(request, number, server_id, result)

        write_before = self.clock.monotonic_s(action.write_before_ms)
        attempt = Attempt(pool, request, timeout_s, on_complete, write_before)
        request.attempt = attempt
        self.attempts[request_id, number] = attempt
        attempt.start()

    def _complete_attempt(
        self, request: InFlightRequest, number: int, server_id: str, result: AttemptResult
    ) -> None:
        """Send the client the value, if the attempt succeeded, and then notify the policy."""
        attempt = self.attempts.pop((request.policy_request_id, number))
        request.attempt = None
        if result.outcome not in DID_NOT_RUN:
            request.completed_attempt_may_have_run = True
        duration_ms = 1000.0 * (self.loop.time() - attempt.started_at)
        if request.policy_request_id not in self.in_flight:
            self._release_id_if_over(request)
        elif result.outcome is CallOutcome.OK and result.value is not None:
            self._answer(request.policy_request_id, resp.encode_bulk(result.value))
        report = parse_load_report(result.load_report)
        self.post_event(
            AttemptCompleted(
                request.policy_request_id,
                number,
                server_id,
                result.outcome,
                duration_ms,
                request_completed=request.policy_request_id not in self.in_flight,
                queue_length=report.queue_length,
                active_requests=report.active_requests,
            )
        )
