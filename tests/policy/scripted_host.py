"""A scripted host: feeds events to one gateway and keeps the actions. It models no server and no network."""

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

A = TypeVar("A")

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
    """What a test may say of a request; `ScriptedHost.request` has the defaults."""

    class_name: str
    plan: str
    customer: str
    units: float
    time_left_ms: float
    gateways: int
    request_id: str


def make_endpoints(count: int, zones: str = "a", started_ms: float = 0.0) -> tuple[Endpoint, ...]:
    """Return servers s0, s1, ... spread over the zones."""
    return tuple(Endpoint(f"s{i}", zones[i % len(zones)], started_ms=started_ms) for i in range(count))


class ScriptedHost:
    """The host of one gateway; its clock moves only as the test says."""

    def __init__(
        self, endpoints: Sequence[Endpoint] = (), settings: Settings = SETTINGS, seed: int = 1
    ) -> None:
        self.gateway = Gateway(settings, seed)
        self.counter = FakeCounter()
        self.now_ms = 1000.0
        self.actions: list[tuple[float, Action]] = []  # all so far, and when they were returned
        self.attempts: dict[str, list[str]] = {}  # by request: ids of the servers that it was sent to
        self.request_count = 0
        self.reply_count = 0
        self._timers: list[tuple[float, int]] = []  # when due, and token
        self._pending_calls: list[IncrementCounter] = []
        if endpoints:
            self.handle(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(endpoints)))

    def handle(self, event: Event) -> list[Action]:
        """Hand over one event."""
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
        """Let time pass; due timers fire in order."""
        end_ms, actions = self.now_ms + ms, []
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
        """Send a client's request; where it waits for the counter, that replies at once.

        Returns its id and the actions that it brought about.
        """
        self.request_count += 1
        request_id = request_id or f"r{self.request_count}"
        request = Request(request_id, class_name, plan, customer, time_left_ms, units, gateways)
        actions = self.handle(request)
        waits = of_type(actions, IncrementCounter) and not of_type(actions, StartAttempt)
        if waits and not final_answers(actions):
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
        """Complete an attempt; unless told otherwise, a success completes the request."""
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
        """Reply to every pending counter call; return what that brought about.

        A call for a lease that comes of it is replied to as well, what comes of that the next time.
        """
        calls, self._pending_calls = self._pending_calls, []
        self.reply_count += len(calls)
        actions: list[Action] = []
        for call in calls:
            actions += self.reply(call)
        for call in [call for call in self._pending_calls if not holds_usage(call)]:
            self._pending_calls.remove(call)
            actions += self.reply(call)
        return actions

    def reply(self, call: IncrementCounter) -> list[Action]:
        """Let the counter reply to one call."""
        return self.handle(self.counter.increment(self.now_ms, call))

    def warm_up(self, seconds: float = 4.0) -> None:
        """Send ordinary traffic, each request served at once, so that means and rates are learned."""
        for _ in range(int(seconds * 20)):
            request_id, actions = self.request(customer="warm-up")
            self.now_ms += 20.0
            if of_type(actions, StartAttempt):
                self.complete(request_id, 0, CallOutcome.OK)
            self.advance(30.0)
            self.reply_to_calls()


def of_type(actions: Sequence[Action], kind: type[A]) -> list[A]:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, kind)]


def final_answers(actions: Sequence[Action]) -> list[Reject | Fail]:
    """Return the final answers among some actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]
