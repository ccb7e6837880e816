"""Drives one real policy with scripted requests and events, so that its costs can be measured."""

from __future__ import annotations

from collections import deque

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import Action, IncrementCounter, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, CounterReply, Request, TimerFired
from quota_gateway.settings import Idempotency, Plan, RequestClass, Settings, SlowStartSettings

GATEWAY_COUNT = 2_100  # gateways of the capacity target
POLICY_SEED = 7
START_MS = 1_000_000.0
REQUEST_INTERVAL_MS = 10.0  # 100 requests/s: the peak rate of the capacity target, per gateway
TICK_INTERVAL_MS = 250.0
TICK_TOKEN = 0  # token of the policy's periodic timer
REQUEST_CLASS = "valuacion"
PLAN = "basico"
DEADLINE_MS = 2500.0
GATEWAYS_PER_CUSTOMER = 3

# Slow start, attempts, Retry-After and counter timeout have the default values of simulated gateways.
SETTINGS = Settings(
    zone="z0",
    gateway_count=GATEWAY_COUNT,
    classes=(RequestClass(REQUEST_CLASS, 1000.0, 1.0, Idempotency.IDEMPOTENT),),
    plans=(Plan(PLAN, rate=1000.0, burst=4000.0),),
    slow_start=SlowStartSettings(0.17, 18000.0, 3.0, 3000.0),
    max_attempts=5,
    max_retry_after_ms=500.0,
    counter_timeout_ms=80.0,
    gateway_index=1234,
)
SETTINGS_WITH_COUNTER = Settings(
    zone=SETTINGS.zone,
    gateway_count=GATEWAY_COUNT,
    classes=SETTINGS.classes,
    plans=(Plan(PLAN, rate=1.65, burst=16.0),),
    slow_start=SETTINGS.slow_start,
    max_attempts=5,
    max_retry_after_ms=500.0,
    counter_enabled=True,
    counter_timeout_ms=80.0,
)


def endpoint_records(count: int) -> tuple[Endpoint, ...]:
    """Return warm, active servers, evenly spread over three zones."""
    return tuple(Endpoint(f"s-{i:08x}", f"z{i % 3}") for i in range(count))


class ScriptedGateway:
    """A real policy whose attempts and counter calls succeed immediately.

    Attributes:
        policy: the policy under measurement.
        endpoints: its endpoint list.
        now_ms: the current time passed to the policy.
        attempts: number of attempts that the policy has started.
    """

    def __init__(
        self, servers: int, settings: Settings = SETTINGS, request_interval_ms: float = REQUEST_INTERVAL_MS
    ) -> None:
        self.policy = Gateway(settings, POLICY_SEED)
        self.now_ms = START_MS
        self.attempts = 0
        self.endpoints = endpoint_records(servers)
        self._request_interval_ms = request_interval_ms
        self._requests = 0
        self._changes = 0
        self.policy.handle(self.now_ms, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.endpoints))

    def request(self, customer: str) -> None:
        """Send a request, and complete the attempts and counter calls that the policy starts for it."""
        self.now_ms += self._request_interval_ms
        self._requests += 1
        request_id = f"r{self._requests}"
        request = Request(request_id, REQUEST_CLASS, PLAN, customer, DEADLINE_MS, 1.0, GATEWAYS_PER_CUSTOMER)
        pending: deque[Action] = deque(self.policy.handle(self.now_ms, request))
        while pending:
            action = pending.popleft()
            if isinstance(action, StartAttempt):
                self.attempts += 1
                completed = AttemptCompleted(request_id, 0, action.server_id, CallOutcome.OK, 100.0, True)
                pending.extend(self.policy.handle(self.now_ms, completed))
            elif isinstance(action, IncrementCounter):
                reply = CounterReply(action.key, max(0.0, action.amount), CallOutcome.OK, 1.0)
                pending.extend(self.policy.handle(self.now_ms, reply))

    def tick(self) -> None:
        """Advance the time by one interval of the periodic timer, and fire the timer."""
        self.now_ms += TICK_INTERVAL_MS
        self.tick_at_once()

    def tick_at_once(self) -> None:
        """Fire the periodic timer without advancing the time."""
        self.policy.handle(self.now_ms, TimerFired(TICK_TOKEN))

    def change_endpoint(self) -> None:
        """Send a delta with one server, which alternately drains and becomes active again."""
        self._changes += 1
        endpoint = self.endpoints[(self._changes - 1) // 2 % len(self.endpoints)]
        state = EndpointState.DRAINING if self._changes % 2 else EndpointState.ACTIVE
        changed = Endpoint(endpoint.server_id, endpoint.zone, state=state)
        self.policy.handle(self.now_ms, EndpointUpdate(UpdateKind.DELTA, (changed,)))

    def handle_first_list(self) -> None:
        """Create a policy, and send it the endpoint list as a cached snapshot."""
        update = EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.endpoints)
        Gateway(SETTINGS, POLICY_SEED).handle(START_MS, update)

    def handle_snapshot(self) -> None:
        """Send the unchanged endpoint list again, as a snapshot."""
        self.policy.handle(self.now_ms, EndpointUpdate(UpdateKind.SNAPSHOT, self.endpoints))
