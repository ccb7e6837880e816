"""What a decision, a change of the list and a tick cost does not grow with the list.

Counted are lines of the policy that are executed; what one line does inside the interpreter is held by ratios
of times.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import FrameType
from typing import Any

import pytest

import quota_gateway.policy
from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
    split_update,
)
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import THOUSANDS, start_servers

POLICY_FOLDER = f"{Path(quota_gateway.policy.__file__).parent}/"
FEW, MANY = 200, 20_000  # servers


def count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of the policy a call executes, each round of a loop anew."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.startswith(POLICY_FOLDER):
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def host_with_servers(count: int) -> ScriptedHost:
    host = ScriptedHost(make_endpoints(count), THOUSANDS)
    host.warm_up()
    return host


def decide(host: ScriptedHost, subset_full: bool = False) -> None:
    """Send requests, each served; with a full subset, the remaining endpoints are looked at too."""
    for _ in range(40):
        for server in host.gateway.load_balancer.endpoints.subset.values() if subset_full else ():
            server.in_flight = 99
        request_id, actions = host.request()
        host.now_ms += 10.0
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK)


def change(host: ScriptedHost) -> None:
    """Let a server go and come back."""
    draining = Endpoint("s3", "a", state=EndpointState.DRAINING)
    host.handle(EndpointUpdate(UpdateKind.DELTA, (draining,)))
    start_servers(host, "s3")


def tick(host: ScriptedHost) -> None:
    host.gateway.tick(host.now_ms)


STEPS: dict[str, Callable[[ScriptedHost], None]] = {
    "decision": decide,
    "decision beside a full subset": lambda host: decide(host, subset_full=True),
    "change": change,
    "tick": tick,
}


@pytest.mark.parametrize("step", STEPS)
def test_lines_executed_do_not_grow_with_the_list(step: str) -> None:
    few, many = (count_lines(partial(STEPS[step], host_with_servers(count))) for count in (FEW, MANY))
    assert 0 < many <= 1.5 * few


def test_time_does_not_grow_with_the_list() -> None:
    """The best of several rounds, so that what else the machine does counts for little."""
    hosts = {count: host_with_servers(count) for count in (FEW, MANY)}
    best: dict[tuple[str, int], float] = {}
    for _ in range(15):
        for step, call in STEPS.items():
            for count, host in hosts.items():
                start = time.perf_counter()
                call(host)
                spent = time.perf_counter() - start
                best[step, count] = min(spent, best.get((step, count), spent))
    assert best["decision", MANY] <= 1.5 * best["decision", FEW]
    assert best["decision beside a full subset", MANY] <= 1.5 * best["decision beside a full subset", FEW]
    assert best["tick", MANY] <= 2.0 * best["tick", FEW]
    assert best["change", MANY] <= 4.0 * best["change", FEW]  # the ring's rest moves in memory


def test_first_snapshot_costs_in_proportion_to_its_length() -> None:
    def lines_for(count: int) -> int:
        listed = make_endpoints(count)
        return count_lines(lambda: ScriptedHost(listed, THOUSANDS))

    assert lines_for(MANY) <= 1.1 * 10 * lines_for(MANY // 10)


def test_unchanged_snapshot_costs_little() -> None:
    host = host_with_servers(MANY)
    index = host.gateway.load_balancer.endpoints
    unchanged = EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(MANY))
    positions, subset = list(index.ring.positions), dict(index.subset)
    assert count_lines(lambda: host.handle(unchanged)) <= 7 * MANY
    assert (index.ring.positions, index.subset) == (positions, subset)


def test_chunk_costs_what_it_holds_and_a_sort() -> None:
    host = ScriptedHost((), THOUSANDS)
    snapshot = EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(MANY))
    costs = [count_lines(partial(host.handle, chunk)) for chunk in split_update(snapshot, ())]
    assert len(costs) == 80
    assert max(costs) <= 2.5 * costs[0]
