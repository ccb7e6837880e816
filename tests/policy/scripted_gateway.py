"""A scripted gateway: feeds events, keeps what comes back. It models no server, network or clock."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from typing import TypeVar

from quota_gateway.policy.gateway import Gateway
from quota_gateway.policy_api.actions import Action, Fail, IncrementCounter, Reject, SetTimer, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import (
    AttemptCompleted,
    CallOutcome,
    CounterReply,
    Event,
    Request,
    TimerFired,
)
from quota_gateway.settings import (
    DeduplicationScope,
    Idempotency,
    Plan,
    RequestClass,
    Settings,
    SlowStartSettings,
)

A = TypeVar("A")
COUNT_LIFE_MS = 10_000.0  # a name that lives longer counts use; the others add to no other one

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


def entries(count: int, zones: str = "a", started: float = 0.0) -> tuple[Endpoint, ...]:
    """Servers s0, s1, ... spread over the zones."""
    return tuple(Endpoint(f"s{i}", zones[i % len(zones)], started_ms=started) for i in range(count))


class Rig:
    """One gateway under script."""

    def __init__(
        self, servers: Sequence[Endpoint] = (), settings: Settings = SETTINGS, seed: int = 1
    ) -> None:
        self.gateway = Gateway(settings, seed)
        self.now = 1000.0
        self.log: list[tuple[float, Action]] = []
        self.serial = 0
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[str, list[str]] = {}
        self.ending: CallOutcome = CallOutcome.OK  # how calls to the counter end
        self.others = 0.0  # units that the other gateways add between two calls
        self._calls: list[IncrementCounter] = []  # that were not answered yet
        self._answered = 0
        self._totals: dict[int, float] = {}
        self._until: dict[int, float] = {}  # when a name is forgotten
        if servers:
            self.feed(EndpointUpdate(UpdateKind.CACHED_SNAPSHOT, tuple(servers)))

    def feed(self, event: Event) -> list[Action]:
        """Hands over one event."""
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, SetTimer):
                self.timers.append((action.at_ms, action.token))
            if isinstance(action, IncrementCounter):
                self._calls.append(action)
            if isinstance(action, StartAttempt):
                self.sent.setdefault(action.request_id, []).append(action.server_id)
        return actions

    def advance(self, ms: float) -> list[Action]:
        """Lets time pass; due timers fire in order."""
        end, out = self.now + ms, []
        while self.timers and min(self.timers)[0] <= end:
            at, token = min(self.timers)
            self.timers.remove((at, token))
            self.now = max(self.now, at)
            out += self.feed(TimerFired(token))
        self.now = end
        return out

    def ask(
        self,
        cls: str = "read",
        plan: str = "wide",
        customer: str = "c",
        units: float = 1.0,
        left: float = 3000.0,
        spread: int = 2,
        name: str = "",
    ) -> tuple[str, list[Action]]:
        """A client's request; where it waits for the counter, that answers at once."""
        self.serial += 1
        name = name or f"r{self.serial}"
        actions = self.feed(Request(name, cls, plan, customer, left, units, spread))
        if only(actions, IncrementCounter) and not only(actions, StartAttempt) and not finals(actions):
            actions = actions + self.answer_calls()
        return name, actions

    def end(
        self, name: str, attempt: int, ending: CallOutcome, took: float = 20.0, final: bool | None = None
    ) -> list[Action]:
        """An attempt's outcome."""
        server = self.sent[name][attempt]
        done = ending is CallOutcome.OK if final is None else final
        return self.feed(AttemptCompleted(name, attempt, server, ending, took, done))

    def answer_calls(self) -> list[Action]:
        """Answers every call to the counter that was not answered yet; returns what that brought about. A
        claim that comes of it is answered with them, what comes of that the next time."""
        fresh, self._calls = self._calls, []
        self._answered += len(fresh)
        actions: list[Action] = []
        for call in fresh:
            actions += self.answer(call)
        for call in [call for call in self._calls if call.ttl_ms < COUNT_LIFE_MS]:
            self._calls.remove(call)
            actions += self.answer(call)
        return actions

    def answer(self, call: IncrementCounter) -> list[Action]:
        """One answer of the counter, which forgets a name when its life is up."""
        if self.ending is CallOutcome.OK:
            if self._until.setdefault(call.key, self.now + call.ttl_ms) <= self.now:
                self._until[call.key], self._totals[call.key] = self.now + call.ttl_ms, 0.0
            used = self.others if call.ttl_ms >= COUNT_LIFE_MS else 0.0
            self._totals[call.key] = self._totals.get(call.key, 0.0) + call.amount + used
        return self.feed(CounterReply(call.key, self._totals.get(call.key, 0.0), self.ending))

    def warm_up(self, seconds: float = 4.0) -> None:
        """Ordinary traffic, each request served at once, so that means and rates are learned."""
        for _ in range(int(seconds * 20)):
            name, actions = self.ask(customer="warm-up")
            self.now += 20.0
            if only(actions, StartAttempt):
                self.end(name, 0, CallOutcome.OK)
            self.advance(30.0)
            self.answer_calls()


def only(actions: Sequence[Action], kind: type[A]) -> list[A]:
    """The actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def finals(actions: Sequence[Action]) -> list[Reject | Fail]:
    """The final answers."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def with_(settings: Settings, **changes: object) -> Settings:
    """Settings with other values."""
    return replace(settings, **changes)  # type: ignore[arg-type]
