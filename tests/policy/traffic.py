"""Settings of large deployments, and traffic that several test files send through a scripted host."""

from __future__ import annotations

from dataclasses import replace

from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import SETTINGS, ScriptedHost, of_type

FORTY = replace(SETTINGS, gateway_count=40)  # gateways, each of which meets most servers seldom
HUNDREDS = replace(SETTINGS, gateway_count=300)  # of gateways, each of which sees a customer seldom
THOUSANDS = replace(SETTINGS, gateway_count=2100, gateway_index=7)


def count_admitted(
    host: ScriptedHost, count: int, gap_ms: float, plan: str = "rate", units: float = 1.0
) -> int:
    """Send one customer's requests, each served at once; return how many were admitted."""
    admitted = 0
    for _ in range(count):
        admitted += host.serve(1.0, plan=plan, units=units)
        host.reply_to_calls()
        host.advance(gap_ms)
    return admitted


def serve_at_mean_pace(host: ScriptedHost, count: int, gap_ms: float = 50.0, units: float = 1.0) -> list[str]:
    """Send requests, each served in the mean time of all; return the servers that they went to."""
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
    """Return the share of first attempts that go to a server whose attempts end in another way."""
    hits = total = 0
    for _ in range(count):
        request_id, actions = host.request()
        if of_type(actions, StartAttempt):
            total += 1
            if host.attempts[request_id][0] == server_id:
                hits += 1
                host.complete(request_id, 0, outcome, duration_ms)
            else:
                host.complete(request_id, 0, CallOutcome.OK, 20.0)
        host.advance(20.0)
    return hits / total


def settle_counter(host: ScriptedHost) -> None:
    """Send two requests of a customer, whose replies correct its total where it has drifted unseen."""
    for _ in range(2):
        host.serve(1.0, plan="rate", gateways=200)
        host.reply_to_calls()
        host.advance(150.0)


def start_servers(host: ScriptedHost, *server_ids: str) -> None:
    """Add servers to the list that start now."""
    started = tuple(Endpoint(server_id, "a", started_ms=host.now_ms) for server_id in server_ids)
    host.handle(EndpointUpdate(UpdateKind.DELTA, started))
