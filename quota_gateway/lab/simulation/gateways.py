"""Simulated gateways: the real policy without sockets; its actions are carried out on the models."""

from __future__ import annotations

import time

from quota_gateway.lab.simulation.clients import Answer
from quota_gateway.lab.simulation.counter_calls import CounterCalls
from quota_gateway.lab.simulation.endpoint_notices import EndpointNotices
from quota_gateway.lab.simulation.endpoint_watch import EndpointWatch
from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.network import Location
from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.records import ClientAttempt
from quota_gateway.lab.simulation.server_attempts import ServerAttempts
from quota_gateway.network.process import FIRST_LIST_TIMEOUT_S
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
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import ClientDisconnected, Event, Request, TimerFired
from quota_gateway.settings import Settings

REQUEST_CLASS = "valuacion"
SEED_BITS = 32  # of a policy's own random generator


class SimulatedGateway:
    """One gateway's machine, with the process that runs on it, if one does.

    Clients see it as a `ClientFacingGateway`, the parts that carry out its actions as a `GatewayHost`.
    Moments are in simulated time, ms.

    Attributes:
        incarnation: counts the processes; what was meant for an earlier one is not delivered to a later one.
        policy: the decisions of the process; None while it is down.
        pending: requests that await their answer, by request id.
        known_version: of the endpoint list, which a restarted process begins with.
        died_at: when the last process was killed; 0: none was.
        failure_noticed_at: when clients notice that.
        started_at: when the present process was restarted.
        ready_at: when it takes requests.
    """

    def __init__(
        self, environment: Environment, index: int, location: Location, pool: int, settings: Settings
    ) -> None:
        self.location = location
        self.pool_number = pool
        self.settings = settings
        self.incarnation = 0
        self.alive = False
        self.died_at = 0.0
        self.failure_noticed_at = 0.0
        self.started_at = 0.0
        self.ready_at = 0.0
        self.policy: Gateway | None = None
        self.pending: dict[str, ClientAttempt] = {}
        self.known_version = 0
        self._environment = environment
        self._rng = random_stream(environment.seed, "gateway", index)
        self._last_event_ns = 0  # processor time of the last event
        self.notices = EndpointNotices(environment, location)
        self.attempts = ServerAttempts(environment, self, self.notices, settings.max_attempts)
        self.counter_calls = CounterCalls(environment, self, settings.counter_timeout_ms)
        self.watch = EndpointWatch(
            environment.scheduler,
            environment.discovery,
            location,
            pool,
            settings.gateway_count,
            environment.seed,
            index,
            self._receive_update,
        )

    # --- process lifecycle --------------------------------------------------------------------------------

    def start(self, cached: EndpointUpdate, version: int) -> None:
        """Start a process from nothing but a cached endpoint list, and its version."""
        self.incarnation += 1
        self.alive = True
        self.policy = Gateway(self.settings, self._rng.getrandbits(SEED_BITS))
        self.known_version = version
        self.notices.record(cached)
        self.post(cached)
        self.watch.start(version)

    def kill(self) -> None:
        """End the process: what it held is reset, and its machine refuses connections until it is back."""
        environment = self._environment
        self.alive, self.policy = False, None
        self.died_at = environment.scheduler.now
        failover_ms = self._rng.uniform(*environment.experiment.clients.failover_ms)
        self.failure_noticed_at = self.died_at + failover_ms
        self.known_version = self.watch.version or 0
        self.watch.stop()
        pending, self.pending = self.pending, {}
        for attempt in pending.values():
            if attempt.current is not None:
                self.attempts.abort(attempt.current)
            environment.clients.reset(attempt)
        self.counter_calls.clear()
        self.attempts.clear()

    def restart(self) -> None:
        """Start the next process, with nothing but the endpoint list that the last one had (brief 2.1)."""
        environment = self._environment
        self.notices.clear()
        endpoints = environment.discovery.histories[self.pool_number].at_version(self.known_version)
        self.started_at = environment.scheduler.now
        self.ready_at = self.started_at + 1000.0 * FIRST_LIST_TIMEOUT_S
        self.start(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, endpoints), self.known_version)

    # --- clients ------------------------------------------------------------------------------------------

    def accept(self, attempt: ClientAttempt) -> None:
        """Take a client's attempt."""
        self.pending[attempt.request_id] = attempt
        tenant = attempt.request.tenant
        self.post(
            Request(
                attempt.request_id,
                REQUEST_CLASS,
                tenant.plan.name,
                tenant.key,
                attempt.deadline - attempt.arrived_at,
                attempt.request.units,
                tenant.gateway_count,
            )
        )
        attempt.waiting_ns = self._last_event_ns

    def disconnect(self, attempt: ClientAttempt) -> None:
        """Note that the client has gone, or gave up."""
        if self.pending.pop(attempt.request_id, None) is not None:
            self.post(ClientDisconnected(attempt.request_id))

    def record_wait(self, attempt: ClientAttempt) -> None:
        """Record how long an attempt waited, once, when it is first forwarded or rejected."""
        if not attempt.wait_recorded:
            attempt.wait_recorded = True
            wait_us = 1000.0 * (self._environment.scheduler.now - attempt.arrived_at)
            processor_us = (attempt.waiting_ns + self._last_event_ns) / 1000.0
            self._environment.metrics.wait_us.record(wait_us)
            self._environment.processor_time.added_us.record(wait_us + processor_us)

    def _answer(self, request_id: str, answer: Answer, retry_after_ms: float = 0.0) -> None:
        """Give the policy's own final answer. A rejection promises that no attempt ran."""
        attempt = self.pending.pop(request_id, None)
        if attempt is None or attempt.closed:
            return
        self.record_wait(attempt)
        if answer is Answer.REJECTED:
            if not attempt.forwarded:
                self._environment.quotas.record_rejected(attempt)
            elif attempt.current is not None:
                answer = Answer.FAILED
        self._environment.clients.complete(attempt, answer, retry_after_ms)

    # --- policy -------------------------------------------------------------------------------------------

    def post(self, event: Event) -> None:
        """Hand an event to the policy, measure its processor time, and carry out its actions."""
        if self.policy is None:
            return
        before = time.process_time_ns()
        actions = self.policy.handle(self._environment.scheduler.now, event)
        self._last_event_ns = time.process_time_ns() - before
        self._environment.processor_time.record(type(event).__name__, self._last_event_ns)
        for action in actions:
            self._carry_out(action)

    def post_to(self, incarnation: int, event: Event) -> None:
        """Hand over an event that is meant for one process, if that still runs."""
        if incarnation == self.incarnation and self.alive:
            self.post(event)

    def _carry_out(self, action: Action) -> None:
        match action:
            case StartAttempt():
                self.attempts.start(action)
            case SetTimer(token, at_ms):
                scheduler = self._environment.scheduler
                scheduler.schedule_at(at_ms, self.post_to, self.incarnation, TimerFired(token))
            case IncrementCounter():
                self.counter_calls.send(action)
            case Reject(request_id, retry_after_ms):
                self._answer(request_id, Answer.REJECTED, retry_after_ms)
            case Fail(request_id):
                self._answer(request_id, Answer.FAILED)
            case CancelAttempt(request_id, number):
                self.attempts.cancel(request_id, number)
            case LogEvent(name, fields):
                self._environment.metrics.log_lines[f"{name} {dict(fields).get('state', '')}".rstrip()] += 1
            case WatchEndpoints():
                pass  # the watch runs from the start

    # --- discovery ----------------------------------------------------------------------------------------

    def _receive_update(self, update: EndpointUpdate) -> None:
        """Take an answer of discovery."""
        if not self.alive:
            return
        scheduler = self._environment.scheduler
        if self.watch.responses == 1 and self.died_at:
            self.ready_at = min(self.ready_at, scheduler.now)
            self._environment.metrics.recovery_us.record(1000.0 * (scheduler.now - self.started_at))
        self.notices.record(update)
        if update.endpoints or update.kind is UpdateKind.SNAPSHOT:
            self.post(update)
