"""The cost of a decision, a change of the list and a tick does not grow with the length of the list.

The tests count the executed lines of the policy. Ratios of times bound the work that a single line does
inside the interpreter.
"""

from __future__ import annotations

import statistics
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
from tests.policy.traffic import THOUSANDS_OF_GATEWAYS, start_servers

POLICY_FOLDER = f"{Path(quota_gateway.policy.__file__).parent}/"
FEW_SERVERS = 200
MANY_SERVERS = 20_000


def count_lines(call: Callable[[], object]) -> int:
    """Return how many lines of the policy a call executes; each iteration of a loop counts."""
    count = 0

    def trace(frame: FrameType, event: str, arg: Any) -> Any:
        nonlocal count
        if not frame.f_code.co_filename.startswith(POLICY_FOLDER):
            return None
        count += event == "line"
        return trace

    previous_trace = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous_trace)
    return count


def host_with_servers(count: int) -> ScriptedHost:
    host = ScriptedHost(make_endpoints(count), THOUSANDS_OF_GATEWAYS)
    host.warm_up()
    return host


def send_requests(host: ScriptedHost, subset_full: bool = False) -> None:
    """Send requests and serve each; with a full subset, the policy samples the remaining endpoints too."""
    for _ in range(40):
        for server in host.gateway.load_balancer.endpoints.subset.values() if subset_full else ():
            server.in_flight = 99
        request_id, actions = host.request()
        host.now_ms += 10.0
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK)


def replace_server(host: ScriptedHost) -> None:
    """Remove a server from the list and add a new process of it."""
    draining = Endpoint("s3", "a", state=EndpointState.DRAINING)
    host.handle(EndpointUpdate(UpdateKind.DELTA, (draining,)))
    start_servers(host, "s3")


def tick(host: ScriptedHost) -> None:
    """Run one tick of the gateway."""
    host.gateway.tick(host.now_ms)


STEPS: dict[str, Callable[[ScriptedHost], None]] = {
    "decision": send_requests,
    "decision beside a full subset": lambda host: send_requests(host, subset_full=True),
    "change": replace_server,
    "tick": tick,
}


@pytest.mark.parametrize("step", STEPS)
def test_lines_executed_do_not_grow_with_the_list(step: str) -> None:
    few_lines, many_lines = (
        count_lines(partial(STEPS[step], host_with_servers(count))) for count in (FEW_SERVERS, MANY_SERVERS)
    )
    assert 0 < many_lines <= 1.5 * few_lines


def test_time_does_not_grow_with_the_list() -> None:
    """Compares the processor time of the thread on both lists, in the median of several rounds.

    Wall-clock time includes preemption by other processes. The speed of a core changes with the load on its
    neighbours, so the two times of a ratio are taken right after each other.
    """
    hosts = {count: host_with_servers(count) for count in (FEW_SERVERS, MANY_SERVERS)}
    ratios: dict[str, list[float]] = {step: [] for step in STEPS}
    for _ in range(15):
        for step, call in STEPS.items():
            costs_s: dict[int, float] = {}
            for count, host in hosts.items():
                start_s = time.thread_time()
                call(host)
                costs_s[count] = time.thread_time() - start_s
            ratios[step].append(costs_s[MANY_SERVERS] / costs_s[FEW_SERVERS])
    growth = {step: statistics.median(step_ratios) for step, step_ratios in ratios.items()}
    assert growth["decision"] <= 1.5
    assert growth["decision beside a full subset"] <= 1.5
    assert growth["tick"] <= 2.0
    # An insertion into the hash ring moves the rest of the ring in memory.
    assert growth["change"] <= 4.0


def test_first_snapshot_costs_in_proportion_to_its_length() -> None:
    def lines_for(count: int) -> int:
        listed = make_endpoints(count)
        return count_lines(lambda: ScriptedHost(listed, THOUSANDS_OF_GATEWAYS))

    assert lines_for(MANY_SERVERS) <= 1.1 * 10 * lines_for(MANY_SERVERS // 10)


def test_unchanged_snapshot_costs_a_few_lines_per_server() -> None:
    host = host_with_servers(MANY_SERVERS)
    index = host.gateway.load_balancer.endpoints
    unchanged = EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(MANY_SERVERS))
    positions = list(index.ring.positions)
    subset = dict(index.subset)
    assert count_lines(lambda: host.handle(unchanged)) <= 7 * MANY_SERVERS
    assert (index.ring.positions, index.subset) == (positions, subset)


def test_cost_of_a_chunk_does_not_grow_with_the_list() -> None:
    host = ScriptedHost((), THOUSANDS_OF_GATEWAYS)
    snapshot = EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(MANY_SERVERS))
    costs = [count_lines(partial(host.handle, chunk)) for chunk in split_update(snapshot, ())]
    assert len(costs) == 80
    assert max(costs) <= 2.5 * costs[0]
