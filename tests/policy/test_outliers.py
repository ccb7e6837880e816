"""Outlier detection: servers that fail more often than the others, in load balancing and in the log."""

from __future__ import annotations

from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints
from tests.policy.traffic import THOUSANDS_OF_GATEWAYS, share_of_first_attempts


def test_failures_on_all_servers_do_not_hide_reported_queues() -> None:
    # A request class that fails on every server raises all failure scores. Only their excess over the
    # baseline may count; otherwise the cost of failures would outweigh the reported queues.
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    for i in range(80):
        request_id, _ = host.request("charge")
        host.complete(request_id, 0, CallOutcome.ERROR if i % 2 else CallOutcome.OK, 20.0)
        host.advance(20.0)
    host.advance(300.0)
    for server_id, server in host.gateway.load_balancer.endpoints.servers.items():
        server.reported_queue = 0.0 if server_id == "s1" else 30.0
        server.reported_at_ms = host.now_ms
    request_ids = [host.request("charge")[0] for _ in range(3)]
    assert [host.attempts[request_id][0] for request_id in request_ids].count("s1") >= 2


def test_restarted_server_has_no_failure_score() -> None:
    host = ScriptedHost(make_endpoints(3))
    host.warm_up()
    share_of_first_attempts(host, "s0", 100, CallOutcome.ERROR, 1.0)
    host.handle(EndpointUpdate(UpdateKind.DELTA, (Endpoint("s0", "a", started_ms=host.now_ms),)))
    assert host.gateway.load_balancer.endpoints.servers["s0"].failure_score == 0.0


def test_outlier_outside_the_subset_is_detected() -> None:
    host = ScriptedHost(make_endpoints(20_000), THOUSANDS_OF_GATEWAYS)
    host.warm_up()
    endpoints = host.gateway.load_balancer.endpoints
    outliers = host.gateway.load_balancer.outliers
    server_id = next(server_id for server_id in endpoints.servers if server_id not in endpoints.subset)
    server = endpoints.servers[server_id]
    server.failure_score = 0.9
    server.failure_scored_at_ms = host.now_ms
    outliers.suspects[server_id] = server
    assert outliers.detect(host.now_ms) == [server_id]
    assert outliers.detect(host.now_ms + 60_000.0) == []
    assert not outliers.suspects
