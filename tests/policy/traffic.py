"""Settings of large deployments and traffic patterns for a scripted host, shared by several test files."""

from __future__ import annotations

from dataclasses import replace

from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import SETTINGS, ScriptedHost, of_type

# Each of forty gateways sends few requests to most servers.
FORTY_GATEWAYS = replace(SETTINGS, gateway_count=40)
# Each of hundreds of gateways receives few requests of a customer.
HUNDREDS_OF_GATEWAYS = replace(SETTINGS, gateway_count=300)
THOUSANDS_OF_GATEWAYS = replace(SETTINGS, gateway_count=2100, gateway_index=7)


def count_admitted(
    host: ScriptedHost, count: int, gap_ms: float, plan: str = "rate", units: float = 1.0
) -> int:
    """Send requests of one customer, each served within 1 ms; return how many were admitted."""
    admitted = 0
    for _ in range(count):
        admitted += host.serve(1.0, plan=plan, units=units)
        host.reply_to_calls()
        host.advance(gap_ms)
    return admitted


def serve_at_mean_pace(host: ScriptedHost, count: int, gap_ms: float = 50.0, units: float = 1.0) -> list[str]:
    """Send requests, each served within the mean duration; return the ids of the servers that got them."""
    mean_ms = host.gateway.load_balancer.mean_ms(SETTINGS.classes[0], units)
    server_ids = []
    for _ in range(count):
        request_id, actions = host.request(units=units)
        if of_type(actions, StartAttempt):
            server_ids.append(host.attempts[request_id][0])
            host.complete(request_id, 0, CallOutcome.OK, mean_ms)
        host.advance(gap_ms)
        host.reply_to_calls()
    return server_ids


def share_of_first_attempts(
    host: ScriptedHost, server_id: str, count: int, outcome: CallOutcome, duration_ms: float
) -> float:
    """Return the share of first attempts at one server, whose attempts end differently from all others."""
    attempts_at_server = 0
    total = 0
    for _ in range(count):
        request_id, actions = host.request()
        if of_type(actions, StartAttempt):
            total += 1
            if host.attempts[request_id][0] == server_id:
                attempts_at_server += 1
                host.complete(request_id, 0, outcome, duration_ms)
            else:
                host.complete(request_id, 0, CallOutcome.OK, 20.0)
        host.advance(20.0)
    return attempts_at_server / total


def settle_counter(host: ScriptedHost) -> None:
    """Send two requests of a customer; the counter's replies to them correct a total that has drifted."""
    for _ in range(2):
        host.serve(1.0, plan="rate", gateways=200)
        host.reply_to_calls()
        host.advance(150.0)


def start_servers(host: ScriptedHost, *server_ids: str) -> None:
    """Add servers that start now to the endpoint list."""
    started = tuple(Endpoint(server_id, "a", started_ms=host.now_ms) for server_id in server_ids)
    host.handle(EndpointUpdate(UpdateKind.DELTA, started))
