"""Load balancing: the choice of the server for an attempt."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.policy.load_balancing import MAX_KINDS
from quota_gateway.policy_api.actions import Fail, StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from tests.policy.scripted_host import SETTINGS, ScriptedHost, final_answers, make_endpoints, of_type
from tests.policy.traffic import (
    FORTY_GATEWAYS,
    THOUSANDS_OF_GATEWAYS,
    serve_at_mean_pace,
    share_of_first_attempts,
)


@pytest.mark.parametrize(
    ("outcome", "duration_ms"),
    [(CallOutcome.ERROR, 1.0), (CallOutcome.REJECTED, 1.0), (CallOutcome.UNREACHABLE, 250.0)],
)
def test_quickly_failing_server_does_not_attract_requests(outcome: CallOutcome, duration_ms: float) -> None:
    host = ScriptedHost(make_endpoints(5))
    host.warm_up()
    assert share_of_first_attempts(host, "s0", 200, outcome, duration_ms) < 0.1


def test_slow_server_gets_fewer_requests() -> None:
    host = ScriptedHost(make_endpoints(5))
    host.warm_up()
    assert share_of_first_attempts(host, "s0", 300, CallOutcome.OK, 200.0) < 0.12


def test_unresponsive_server_gets_no_more_requests_even_before_a_timeout() -> None:
    host = ScriptedHost(make_endpoints(5))
    host.warm_up()
    unanswered = 0
    for _ in range(200):
        request_id, actions = host.request("charge")
        if host.attempts[request_id][0] == "s0":
            unanswered += 1
        elif of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK)
        host.advance(5.0)
    assert unanswered <= 6


@pytest.mark.parametrize("outcome", [CallOutcome.NOT_SENT, CallOutcome.CANCELLED])
def test_server_is_not_avoided_after_an_attempt_that_expected_no_response(outcome: CallOutcome) -> None:
    """Guards against a server that looks unresponsive for good: no response is outstanding any more."""
    host = ScriptedHost(make_endpoints(5))
    host.warm_up()
    request_id, _ = host.request()
    server_id = host.attempts[request_id][0]
    host.complete(request_id, 0, outcome, 1.0)
    host.advance(2000.0)
    assert share_of_first_attempts(host, server_id, 400, CallOutcome.OK, 20.0) > 0.1


def test_load_report_is_taken_into_account() -> None:
    host = ScriptedHost(make_endpoints(2))
    host.warm_up()
    request_id, _ = host.request()
    busy_id = host.attempts[request_id][0]
    host.handle(AttemptCompleted(request_id, 0, busy_id, CallOutcome.OK, 20.0, True, queue_length=40.0))
    request_ids = [host.request()[0] for _ in range(3)]
    assert all(host.attempts[request_id][0] != busy_id for request_id in request_ids)


# --- affinity of keyed requests ------------------------------------------------------------------------


def test_zone_keyed_request_stays_in_its_zone_once_it_may_have_run() -> None:
    for seed in range(20):
        host = ScriptedHost(make_endpoints(6, "abc"), seed=seed)
        request_id, _ = host.request("bid")
        first_id = host.attempts[request_id][0]
        host.now_ms += 100.0
        host.complete(request_id, 0, CallOutcome.TIMEOUT, 100.0)
        zones = {int(server_id[1:]) % 3 for server_id in host.attempts[request_id]}
        assert zones == {int(first_id[1:]) % 3}
        assert len(host.attempts[request_id]) == 2


def test_zone_keyed_request_without_a_server_in_its_zone_fails() -> None:
    host = ScriptedHost((Endpoint("s0", "a"),))
    request_id, _ = host.request("bid")
    host.handle(EndpointUpdate(UpdateKind.SNAPSHOT, (Endpoint("s1", "b"),)))
    actions = host.complete(request_id, 0, CallOutcome.TIMEOUT, 100.0) + host.advance(4000.0)
    assert not of_type(actions, StartAttempt)
    assert [type(answer) for answer in final_answers(actions)] == [Fail]


def test_retry_bound_to_a_zone_finds_it_outside_the_subset() -> None:
    # The subset may hold no server of the zone that a retry is bound to. The index by zone and cell finds one
    # without a scan of the list.
    servers = tuple(Endpoint(f"s{i}", "b" if i < 3 else "a", i) for i in range(400))
    retry_count = 0
    for seed in range(30):
        host = ScriptedHost(servers, replace(SETTINGS, gateway_index=seed), seed=seed)
        endpoints = host.gateway.load_balancer.endpoints
        for server in endpoints.subset.values():
            server.in_flight = 99
        if any(server.endpoint.zone == "b" for server in endpoints.subset.values()):
            continue
        first_server = next(server for server in endpoints.servers.values() if server.endpoint.zone == "b")
        request_id, _ = host.request("bid")
        pending = host.gateway.pending[request_id]
        pending.may_have_run_on = first_server.endpoint
        pending.may_have_run_at_ms = host.now_ms
        host.complete(request_id, 0, CallOutcome.TIMEOUT, 100.0)
        assert endpoints.servers[host.attempts[request_id][1]].endpoint.zone == "b"
        retry_count += 1
    assert retry_count > 10


# --- subset and remaining endpoints --------------------------------------------------------------------


def test_gateway_with_little_load_uses_only_its_subset() -> None:
    # Without a subset, a gateway with little load spreads its requests over nearly all sixty servers and
    # opens a connection to each of them.
    host = ScriptedHost(make_endpoints(60), FORTY_GATEWAYS)
    server_ids = serve_at_mean_pace(host, 300)
    assert len(set(server_ids)) <= 20


def test_gateway_with_a_full_subset_uses_the_remaining_endpoints() -> None:
    host = ScriptedHost(make_endpoints(60), FORTY_GATEWAYS)
    subset = dict(host.gateway.load_balancer.endpoints.subset)
    for server in subset.values():
        server.in_flight = 6
    request_id, _ = host.request()
    assert host.attempts[request_id][0] not in subset


def test_failing_servers_in_a_sample_of_remaining_endpoints_are_avoided() -> None:
    host = ScriptedHost(make_endpoints(200), THOUSANDS_OF_GATEWAYS)
    host.warm_up()
    endpoints = host.gateway.load_balancer.endpoints
    failing = [server for server in endpoints.servers.values() if not server.in_subset][::3]
    for server in failing:
        server.failure_score = 0.9
        server.failure_scored_at_ms = host.now_ms
    for server in endpoints.subset.values():
        server.in_flight = 99
    server_ids = []
    for i in range(60):
        request_id, actions = host.request(customer=f"c{i}")
        if of_type(actions, StartAttempt):
            server_ids.append(host.attempts[request_id][0])
            host.complete(request_id, 0, CallOutcome.OK)
    failing_ids = {server.endpoint.server_id for server in failing}
    assert len(server_ids) == 60
    assert not set(server_ids) & set(endpoints.subset)
    assert sum(server_id in failing_ids for server_id in server_ids) <= 4
    assert len(set(server_ids)) >= 30


@pytest.mark.parametrize("outcome", [CallOutcome.RESET, CallOutcome.TIMEOUT, CallOutcome.OK])
def test_results_of_the_process_before_a_restart_do_not_count_for_the_new_one(outcome: CallOutcome) -> None:
    """Guards against a new process that is taken for the one that has gone."""
    host = ScriptedHost(make_endpoints(1))
    old = host.request()[0]
    restarted = Endpoint("s0", "a", started_ms=host.now_ms)
    host.handle(EndpointUpdate(UpdateKind.DELTA, (restarted,)))
    host.advance(20_000.0)
    new = host.request()[0]
    host.complete(old, 0, outcome, 750.0, request_completed=True)
    server = host.gateway.load_balancer.endpoints.servers["s0"]
    assert server.in_flight == 1
    assert server.failure_score == 0.0
    assert server.relative_latency == 1.0
    host.complete(new, 0, CallOutcome.OK)
    assert server.in_flight == 0


def test_requests_of_ever_new_sizes_take_bounded_memory() -> None:
    """Guards against memory that grows with the sizes that clients make up."""
    host = ScriptedHost(make_endpoints(1), replace(SETTINGS, counter_enabled=False))
    for size in range(1, 2 * MAX_KINDS):
        host.serve(20.0, customer=f"c{size % 50}", units=float(size))
        host.advance(10_000.0)
    assert len(host.gateway.load_balancer._means) <= MAX_KINDS
    assert host.gateway.load_balancer.mean_ms(SETTINGS.classes[0], 1.0) < 150.0


def test_a_server_that_was_slow_is_tried_again_in_a_quiet_time() -> None:
    """Guards against a server that is avoided for good after one time-out in a quiet time."""
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    slow_server = ""
    while not slow_server:
        request_id, _ = host.request()
        slow_server = host.attempts[request_id][0]
        host.advance(750.0)
        host.complete(request_id, 0, CallOutcome.TIMEOUT, 750.0, request_completed=True)
    attempts: list[str] = []
    for _ in range(600):
        request_id, actions = host.request()
        if of_type(actions, StartAttempt):
            attempts.append(host.attempts[request_id][0])
            host.complete(request_id, 0, CallOutcome.OK, 20.0)
        host.advance(1000.0)
        host.reply_to_calls()
    assert slow_server not in attempts[:50]
    assert slow_server in attempts
