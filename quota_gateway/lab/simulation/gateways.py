"""Simulated gateways: the real policy, whose actions are carried out on the models instead of on sockets."""

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
POLICY_SEED_BITS = 32  # Size of the seed of a policy's random generator.


class SimulatedGateway:
    """The machine of one gateway, and the process that runs on it unless the gateway is down.

    The class implements `ClientFacingGateway` for clients, and `GatewayHost` for the components that carry
    out the policy's actions. All times are simulated, in ms.

    Attributes:
        incarnation: number of processes started so far; events for an earlier process are not delivered to a
            later one.
        policy: the policy of the running process; None while the gateway is down.
        pending: client attempts that await their answer, by request id.
        known_version: version of the endpoint list that the running process started with; while the gateway
            is down, that the next process starts with.
        died_at: time at which a process was last killed; 0 if none was.
        failure_noticed_at: time at which the load balancer notices that kill.
        started_at: time of the last restart.
        ready_at: time from which a restarted gateway accepts requests.
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
        self._last_event_ns = 0  # Processor time of the policy for the latest event, ns.
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
        """Start a process, which knows only a cached endpoint list and its version."""
        self.incarnation += 1
        self.alive = True
        self.policy = Gateway(self.settings, self._rng.getrandbits(POLICY_SEED_BITS))
        self.known_version = version
        self.notices.record(cached)
        self.post(cached)
        self.watch.start(version)

    def kill(self) -> None:
        """Kill the process: its client connections are reset, and new ones are refused until the restart."""
        environment = self._environment
        self.alive = False
        self.policy = None
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
        """Start the next process, which knows only the endpoint list that the killed one had."""
        environment = self._environment
        self.notices.clear()
        endpoints = environment.discovery.histories[self.pool_number].at_version(self.known_version)
        self.started_at = environment.scheduler.now
        self.ready_at = self.started_at + 1000.0 * FIRST_LIST_TIMEOUT_S
        self.start(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, endpoints), self.known_version)

    # --- clients ------------------------------------------------------------------------------------------

    def accept(self, attempt: ClientAttempt) -> None:
        """Pass a client's attempt to the policy."""
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
        """Tell the policy that the client disconnected or timed out."""
        if self.pending.pop(attempt.request_id, None) is not None:
            self.post(ClientDisconnected(attempt.request_id))

    def record_wait(self, attempt: ClientAttempt) -> None:
        """Record the wait of an attempt when it is first forwarded or rejected; later calls do nothing."""
        if not attempt.wait_recorded:
            attempt.wait_recorded = True
            wait_us = 1000.0 * (self._environment.scheduler.now - attempt.arrived_at)
            processor_us = (attempt.waiting_ns + self._last_event_ns) / 1000.0
            self._environment.metrics.wait_us.record(wait_us)
            self._environment.processor_time.added_us.record(wait_us + processor_us)

    def _answer(self, request_id: str, answer: Answer, retry_after_ms: float = 0.0) -> None:
        """Deliver the policy's final answer to the client.

        A rejection promises that no server ran the request, so it becomes a failure while an attempt is in
        flight.
        """
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
        """Pass an event to the policy, measure its processor time, and carry out its actions."""
        if self.policy is None:
            return
        processor_ns_before = time.process_time_ns()
        actions = self.policy.handle(self._environment.scheduler.now, event)
        self._last_event_ns = time.process_time_ns() - processor_ns_before
        self._environment.processor_time.record(type(event).__name__, self._last_event_ns)
        for action in actions:
            self._carry_out(action)

    def post_to(self, incarnation: int, event: Event) -> None:
        """Pass an event to the policy if the process that it is meant for still runs."""
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
                pass  # The watch is started together with the process.

    # --- discovery ----------------------------------------------------------------------------------------

    def _receive_update(self, update: EndpointUpdate) -> None:
        """Process a response of discovery; the first one after a restart makes the gateway ready."""
        if not self.alive:
            return
        scheduler = self._environment.scheduler
        if self.watch.responses == 1 and self.died_at:
            self.ready_at = min(self.ready_at, scheduler.now)
            self._environment.metrics.recovery_us.record(1000.0 * (scheduler.now - self.started_at))
        self.notices.record(update)
        if update.endpoints or update.kind is UpdateKind.SNAPSHOT:
            self.post(update)
