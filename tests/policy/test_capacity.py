"""Capacity estimate of the back end: work in flight, late responses, recovery."""

from __future__ import annotations

import math

from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from tests.policy.scripted_host import ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import HUNDREDS_OF_GATEWAYS, count_admitted


def overload(host: ScriptedHost, seconds: float, duration_ms: float) -> int:
    """Send four requests for each one that completes; return the maximum number in flight."""
    in_flight: list[str] = []
    max_in_flight = 0
    for step in range(int(seconds * 100)):
        request_id, actions = host.request(customer=f"c{step % 7}", time_left_ms=4000.0)
        if of_type(actions, StartAttempt):
            in_flight.append(request_id)
        max_in_flight = max(max_in_flight, len(in_flight))
        host.now_ms += 10.0
        if in_flight and step % 4 == 0:
            host.complete(in_flight.pop(0), 0, CallOutcome.OK, duration_ms)
        host.advance(0.0)
        host.reply_to_calls()
    return max_in_flight


def test_in_flight_work_is_bounded_before_responses_are_late() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    assert overload(host, 3.0, 100.0) <= 40


def test_first_requests_of_a_gateway_are_not_taken_for_overload() -> None:
    host = ScriptedHost(make_endpoints(10))
    assert count_admitted(host, 10, 20.0, plan="wide") == 10


def test_few_attempts_in_flight_are_not_taken_for_overload() -> None:
    # Guards against an overload signal from a few attempts. With hundreds of gateways, the threshold of two
    # attempts per server is less than one attempt at each gateway, and half of all requests are rejected.
    host = ScriptedHost(make_endpoints(60), HUNDREDS_OF_GATEWAYS)
    host.warm_up()
    admitted = [bool(of_type(host.request(customer=f"c{i}")[1], StartAttempt)) for i in range(4)]
    assert all(admitted)


def test_late_responses_limit_capacity_at_a_gateway_that_sees_few() -> None:
    # Guards against a median over servers. Most servers have no recent response at this gateway, so that this
    # median shows a fleet with late responses as fast.
    host = ScriptedHost(make_endpoints(60), HUNDREDS_OF_GATEWAYS)
    for i in range(16):
        request_id, actions = host.request(customer=f"c{i}", time_left_ms=4000.0)
        host.advance(500.0)
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.OK, 1500.0)
        host.reply_to_calls()
    assert host.gateway.capacity.capacity < math.inf


def test_capacity_recovers_after_late_responses() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    for _ in range(40):
        host.serve(2500.0, customer="w")
        host.advance(50.0)
    host.advance(8000.0)
    assert count_admitted(host, 100, 50.0, plan="wide") >= 90


def admits_within(host: ScriptedHost, seconds: float, requests_per_s: float, class_name: str = "read") -> int:
    """Send steady requests, each served in 20 ms; return how many were admitted."""
    admitted = 0
    for _ in range(int(seconds * requests_per_s)):
        admitted += host.serve(20.0, customer="usual", class_name=class_name)
        host.advance(1000.0 / requests_per_s)
        host.reply_to_calls()
    return admitted


def time_out_one_request(host: ScriptedHost, timeout_ms: float) -> None:
    request_id, actions = host.request(time_left_ms=timeout_ms + 1000.0)
    if of_type(actions, StartAttempt):
        host.advance(timeout_ms)
        host.complete(request_id, 0, CallOutcome.TIMEOUT, timeout_ms)


def test_a_late_response_in_a_quiet_time_does_not_stop_admission() -> None:
    """Guards against a gateway that rejects everything for good: a window without requests gave 0."""
    host = ScriptedHost(make_endpoints(4))
    for _ in range(10):
        host.advance(6000.0)
        time_out_one_request(host, 4500.0)  # it ends in a window in which nothing else arrives
    host.advance(3000.0)
    assert admits_within(host, 4.0, 10.0) >= 30


def test_admission_never_stops_however_long_responses_are_late() -> None:
    """Guards against an estimate that shrinks without bound, and takes as long to grow again."""
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    for _ in range(600):
        host.serve(2500.0, customer="w")
        host.advance(50.0)
        host.reply_to_calls()
    assert admits_within(host, 4.0, 20.0) >= 4
    admits_within(host, 36.0, 20.0)
    assert admits_within(host, 4.0, 20.0) >= 72


def test_requests_of_low_priority_are_admitted_once_those_of_high_priority_have_ended() -> None:
    """Guards against demand that is remembered for as long as everything is rejected."""
    host = ScriptedHost(make_endpoints(4))
    for step in range(400):
        host.serve(1200.0 if step > 300 else 20.0, customer="w", class_name="charge")
        host.advance(20.0)
        host.reply_to_calls()
    assert host.gateway.capacity.capacity < math.inf
    host.advance(2500.0)
    assert admits_within(host, 4.0, 10.0) >= 15
