"""A scripted host: passes events to one gateway and records the actions.

It models no servers and no network; tests complete attempts themselves.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypedDict, TypeVar, Unpack

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome, Event, Request, TimerFired
from quota_gateway.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
    SlowStartSettings,
)
from tests.policy.fake_counter import FakeCounter, holds_usage

ActionT = TypeVar("ActionT")

SETTINGS = Settings(
    zone="a",
    gateway_count=2,
    classes=(
        RequestClass("read", 1000.0, 1.0, Idempotency.IDEMPOTENT),
        RequestClass("order", 1000.0, 2.0, Idempotency.KEYED, DeduplicationScope.ALL, 2000.0),
        RequestClass("bid", 1000.0, 2.0, Idempotency.KEYED, DeduplicationScope.ZONE, 2000.0),
        RequestClass("charge", 1000.0, 2.0, Idempotency.NON_IDEMPOTENT),
    ),
    plans=(
        Plan("rate", rate=2.0, burst=6.0, over_quota_cost=0.5),
        Plan("hard", rate=2.0, burst=6.0, hard_limit_rate=4.0, hard_limit_burst=12.0, hard_limit_slack=2.0),
        Plan("open", max_in_flight=2),
        Plan("wide", rate=1000.0, burst=4000.0),
    ),
    slow_start=SlowStartSettings(
        initial_capacity_share=0.25, warm_up_ms=10_000.0, overload_factor=2.0, overload_window_ms=1000.0
    ),
    max_attempts=4,
    max_retry_after_ms=500.0,
    counter_enabled=True,
)


class RequestFields(TypedDict, total=False):
    """Optional fields of a request; `ScriptedHost.request` defines the defaults."""

    class_name: str
    plan: str
    customer: str
    units: float
    time_left_ms: float
    gateways: int
    request_id: str


def make_endpoints(count: int, zones: str = "a", started_ms: float = 0.0) -> tuple[Endpoint, ...]:
    """Return endpoints s0, s1, ... distributed over the zones in turn; each letter of `zones` is a zone."""
    return tuple(Endpoint(f"s{i}", zones[i % len(zones)], started_ms=started_ms) for i in range(count))


class ScriptedHost:
    """The host of one gateway. Only the test advances its clock."""

    def __init__(
        self, endpoints: Sequence[Endpoint] = (), settings: Settings = SETTINGS, seed: int = 1
    ) -> None:
        self.gateway = Gateway(settings, seed)
        self.counter = FakeCounter()
        self.now_ms = 1000.0
        self.actions: list[tuple[float, Action]] = []  # all actions so far, with the time of their return
        self.attempts: dict[str, list[str]] = {}  # server ids of the attempts, by request id
        self.request_count = 0
        self.reply_count = 0
        self._timers: list[tuple[float, int]] = []  # expiry time and token of pending timers
        self._pending_calls: list[IncrementCounter] = []
        if endpoints:
            self.handle(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(endpoints)))

    def handle(self, event: Event) -> list[Action]:
        """Pass one event to the gateway; record and return its actions."""
        actions = self.gateway.handle(self.now_ms, event)
        for action in actions:
            self.actions.append((self.now_ms, action))
            if isinstance(action, SetTimer):
                self._timers.append((action.at_ms, action.token))
            if isinstance(action, IncrementCounter):
                self._pending_calls.append(action)
            if isinstance(action, StartAttempt):
                self.attempts.setdefault(action.request_id, []).append(action.server_id)
        return actions

    def advance(self, ms: float) -> list[Action]:
        """Advance the clock by `ms`; fire timers that expire, in order, and return the resulting actions."""
        end_ms = self.now_ms + ms
        actions: list[Action] = []
        while self._timers and min(self._timers)[0] <= end_ms:
            at_ms, token = min(self._timers)
            self._timers.remove((at_ms, token))
            self.now_ms = max(self.now_ms, at_ms)
            actions += self.handle(TimerFired(token))
        self.now_ms = end_ms
        return actions

    def request(
        self,
        class_name: str = "read",
        plan: str = "wide",
        customer: str = "c",
        units: float = 1.0,
        time_left_ms: float = 3000.0,
        gateways: int = 2,
        request_id: str = "",
    ) -> tuple[str, list[Action]]:
        """Send a request of a client; if it waits for the counter, the counter replies at once.

        Returns the request id and the resulting actions.
        """
        self.request_count += 1
        request_id = request_id or f"r{self.request_count}"
        request = Request(request_id, class_name, plan, customer, time_left_ms, units, gateways)
        actions = self.handle(request)
        waits_for_counter = of_type(actions, IncrementCounter) and not of_type(actions, StartAttempt)
        if waits_for_counter and not final_answers(actions):
            actions = actions + self.reply_to_calls()
        return request_id, actions

    def complete(
        self,
        request_id: str,
        attempt: int,
        outcome: CallOutcome,
        duration_ms: float = 20.0,
        request_completed: bool | None = None,
    ) -> list[Action]:
        """Complete an attempt. By default, `CallOutcome.OK` also completes the request."""
        server_id = self.attempts[request_id][attempt]
        completed = outcome is CallOutcome.OK if request_completed is None else request_completed
        return self.handle(AttemptCompleted(request_id, attempt, server_id, outcome, duration_ms, completed))

    def serve(self, duration_ms: float = 20.0, **fields: Unpack[RequestFields]) -> bool:
        """Send a request and complete its attempt at once; return whether it was admitted."""
        request_id, actions = self.request(**fields)
        if not of_type(actions, StartAttempt):
            return False
        self.complete(request_id, 0, CallOutcome.OK, duration_ms)
        return True

    def reply_to_calls(self) -> list[Action]:
        """Reply to every pending counter call; return the resulting actions.

        Lease calls that result from these replies are answered too. Calls that result from the replies to
        lease calls stay pending until the next time.
        """
        calls = self._pending_calls
        self._pending_calls = []
        self.reply_count += len(calls)
        actions: list[Action] = []
        for call in calls:
            actions += self.reply(call)
        for call in [call for call in self._pending_calls if not holds_usage(call)]:
            self._pending_calls.remove(call)
            actions += self.reply(call)
        return actions

    def reply(self, call: IncrementCounter) -> list[Action]:
        """Pass the counter's reply to one call."""
        return self.handle(self.counter.increment(self.now_ms, call))

    def warm_up(self, seconds: float = 4.0) -> None:
        """Send steady traffic, each request served in 20 ms, so that the gateway learns means and rates."""
        for _ in range(int(seconds * 20)):
            request_id, actions = self.request(customer="warm-up")
            self.now_ms += 20.0
            if of_type(actions, StartAttempt):
                self.complete(request_id, 0, CallOutcome.OK)
            self.advance(30.0)
            self.reply_to_calls()


def of_type(actions: Sequence[Action], kind: type[ActionT]) -> list[ActionT]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def final_answers(actions: Sequence[Action]) -> list[Reject | Fail]:
    """Return the final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]
