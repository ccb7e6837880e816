"""One real policy under script: the requests and events that its costs are measured with."""

from __future__ import annotations

from collections import deque

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import Action, IncrementCounter, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, CounterReply, Request, TimerFired
from quota_gateway.settings import Idempotency, Plan, RequestClass, Settings, SlowStartSettings

GATEWAYS = 2_100  # the letter of 2026-12-02
POLICY_SEED = 7
START_MS = 1_000_000.0
REQUEST_INTERVAL_MS = 10.0  # 100 requests a second: the letter's peak over its gateways
TICK_INTERVAL_MS = 250.0
TICK_TOKEN = 0  # of the policy's periodic timer
REQUEST_CLASS = "valuacion"
PLAN = "basico"
DEADLINE_MS = 2500.0
GATEWAYS_PER_CUSTOMER = 3

SETTINGS = Settings(
    zone="z0",
    gateway_count=GATEWAYS,
    classes=(RequestClass(REQUEST_CLASS, 1000.0, 1.0, Idempotency.IDEMPOTENT),),
    plans=(Plan(PLAN, rate=1000.0, burst=4000.0),),
    slow_start=SlowStartSettings(0.17, 18000.0, 3.0, 3000.0),  # brief 8.2
    max_attempts=5,  # brief 7.5
    max_retry_after_ms=500.0,
    counter_timeout_ms=80.0,  # brief 7.6
    gateway_index=1234,
)
SETTINGS_WITH_COUNTER = Settings(
    zone=SETTINGS.zone,
    gateway_count=GATEWAYS,
    classes=SETTINGS.classes,
    plans=(Plan(PLAN, rate=1.65, burst=16.0),),
    slow_start=SETTINGS.slow_start,
    max_attempts=5,
    max_retry_after_ms=500.0,
    counter_enabled=True,
    counter_timeout_ms=80.0,
)


def endpoint_records(count: int) -> tuple[Endpoint, ...]:
    """Return warm servers in three zones."""
    return tuple(Endpoint(f"s-{i:08x}", f"z{i % 3}") for i in range(count))


class ScriptedGateway:
    """A policy whose attempts and counter calls are answered at once.

    Attributes:
        now: the time that the policy is given, ms.
        attempts: attempts that it has started.
    """

    def __init__(
        self, servers: int, settings: Settings = SETTINGS, request_interval_ms: float = REQUEST_INTERVAL_MS
    ) -> None:
        self.policy = Gateway(settings, POLICY_SEED)
        self.now = START_MS
        self.attempts = 0
        self.endpoints = endpoint_records(servers)
        self._request_interval_ms = request_interval_ms
        self._requests = self._changes = 0
        self.policy.handle(self.now, EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.endpoints))

    def request(self, customer: str) -> None:
        """Send a request, and answer all that its decision leads to."""
        self.now += self._request_interval_ms
        self._requests += 1
        request_id = f"r{self._requests}"
        request = Request(request_id, REQUEST_CLASS, PLAN, customer, DEADLINE_MS, 1.0, GATEWAYS_PER_CUSTOMER)
        pending: deque[Action] = deque(self.policy.handle(self.now, request))
        while pending:
            action = pending.popleft()
            if isinstance(action, StartAttempt):
                self.attempts += 1
                completed = AttemptCompleted(request_id, 0, action.server_id, CallOutcome.OK, 100.0, True)
                pending.extend(self.policy.handle(self.now, completed))
            elif isinstance(action, IncrementCounter):
                reply = CounterReply(action.key, max(0.0, action.amount), CallOutcome.OK, 1.0)
                pending.extend(self.policy.handle(self.now, reply))

    def tick(self) -> None:
        """Let the periodic timer fire after its interval."""
        self.now += TICK_INTERVAL_MS
        self.tick_at_once()

    def tick_at_once(self) -> None:
        """Let the periodic timer fire with no time passing."""
        self.policy.handle(self.now, TimerFired(TICK_TOKEN))

    def change_endpoint(self) -> None:
        """Let one server drain, or come back."""
        self._changes += 1
        endpoint = self.endpoints[(self._changes - 1) // 2 % len(self.endpoints)]
        state = EndpointState.DRAINING if self._changes % 2 else EndpointState.ACTIVE
        changed = Endpoint(endpoint.server_id, endpoint.zone, state=state)
        self.policy.handle(self.now, EndpointUpdate(UpdateKind.DELTA, (changed,)))

    def handle_first_list(self) -> None:
        """Hand the endpoint list to a new policy, as a cached snapshot."""
        update = EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, self.endpoints)
        Gateway(SETTINGS, POLICY_SEED).handle(START_MS, update)

    def handle_snapshot(self) -> None:
        """Hand over the endpoint list again, unchanged."""
        self.policy.handle(self.now, EndpointUpdate(UpdateKind.SNAPSHOT, self.endpoints))
