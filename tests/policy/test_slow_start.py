"""Slow start: all gateways together neither overload a server that is warming up nor leave it unused."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.endpoints import Endpoint, EndpointUpdate, UpdateKind
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome
from quota_gateway.policy_state.requests import Attempt, PendingRequest
from tests.policy.scripted_host import SETTINGS, ScriptedHost, make_endpoints, of_type
from tests.policy.slow_start_simulation import SLOW_START_SETTINGS, WARMING, play
from tests.policy.traffic import FORTY_GATEWAYS, HUNDREDS_OF_GATEWAYS, serve_at_mean_pace, start_servers


def test_warming_server_gets_at_most_half_the_requests_of_a_warm_one() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    start_servers(host, WARMING)
    start_ms = host.now_ms
    attempts: dict[str, int] = {}
    for _ in range(100):
        request_id, _ = host.request()
        server_id = host.attempts[request_id][0]
        attempts[server_id] = attempts.get(server_id, 0) + 1
        host.now_ms += 5.0
        host.complete(request_id, 0, CallOutcome.OK)
        host.now_ms += 5.0
    per_warm_server = sum(count for server_id, count in attempts.items() if server_id != WARMING) / 4
    assert host.now_ms - start_ms <= 1000.0
    assert attempts.get(WARMING, 0) <= max(1.0, 0.5 * per_warm_server)


def test_three_gateways_together_keep_a_warming_servers_budget() -> None:
    warming_attempts = 0
    warm_attempts = 0
    for seed in range(3):
        host = ScriptedHost(make_endpoints(4), replace(SETTINGS, gateway_count=3), seed=seed)
        host.warm_up()
        start_servers(host, WARMING)
        for _ in range(100):
            request_id, actions = host.request()
            if of_type(actions, StartAttempt):
                to_warming = host.attempts[request_id][0] == WARMING
                warming_attempts += to_warming
                warm_attempts += not to_warming
                host.now_ms += 5.0
                host.complete(request_id, 0, CallOutcome.OK)
            host.now_ms += 5.0
    # The server starts at a quarter of its capacity and fails above twice that, so it may get at most half
    # the requests of a warm server.
    assert warm_attempts > 200
    assert warming_attempts <= 0.5 * warm_attempts / 4


@pytest.mark.parametrize("servers", [4, 12])
def test_forty_gateways_together_do_not_overload_a_warming_server(servers: int) -> None:
    """The warm servers work at full capacity while the warming server has its initial capacity."""
    warming_attempts = 0
    warm_attempts = 0
    for seed in range(FORTY_GATEWAYS.gateway_count):
        host = ScriptedHost(make_endpoints(servers), FORTY_GATEWAYS, seed=seed)
        host.warm_up()
        start_servers(host, WARMING)
        server_ids = serve_at_mean_pace(host, 10, 100.0)  # one second: its capacity changes little
        warming_attempts += server_ids.count(WARMING)
        warm_attempts += len(server_ids) - server_ids.count(WARMING)
    rules = FORTY_GATEWAYS.slow_start
    overload_requests = rules.overload_factor * (rules.initial_capacity_share + 0.1) * warm_attempts / servers
    assert warming_attempts <= 0.8 * overload_requests


@pytest.mark.parametrize("restarted", [False, True])
def test_first_slots_of_sixty_gateways_do_not_coincide(restarted: bool) -> None:
    """Guards against first slots that are open from the start: all gateways would send a request at once."""
    settings = replace(SETTINGS, gateway_count=60)
    warming_endpoint = Endpoint(WARMING, "a", started_ms=1000.0)
    warming_attempts = 0
    for seed in range(settings.gateway_count):
        servers = (*make_endpoints(2), warming_endpoint) if restarted else make_endpoints(2)
        host = ScriptedHost(servers, settings, seed=seed)
        if not restarted:
            host.handle(EndpointUpdate(UpdateKind.DELTA, (warming_endpoint,)))
        for server_id, server in host.gateway.load_balancer.endpoints.servers.items():
            server.in_flight += 0 if server_id == WARMING else 16  # keeps the warm servers busy
        _, actions = host.request()
        warming_attempts += sum(attempt.server_id == WARMING for attempt in of_type(actions, StartAttempt))
    # A server that completes ten requests per second when warm starts at a quarter of that rate. It fails if
    # it is sent more than twice its present rate over one second, that is more than five requests.
    assert warming_attempts <= 5


def test_new_gateway_sends_few_requests_to_a_fleet_that_is_warming_up() -> None:
    host = ScriptedHost(make_endpoints(3, started_ms=1000.0))
    attempts = sum(len(of_type(host.request()[1], StartAttempt)) for _ in range(200))
    assert attempts <= 6


def test_attempts_at_warming_servers_do_not_raise_their_slot_rate() -> None:
    # If responses in slots count towards the rate of warm servers, the slot rate raises itself in a feedback
    # loop while every server is warming up.
    host = ScriptedHost(make_endpoints(6, started_ms=1000.0))
    attempts = 0
    for _ in range(400):
        attempts += host.serve(10.0)
        host.advance(10.0)
    assert attempts <= 6


def test_overloaded_fleet_does_not_raise_the_slot_rate() -> None:
    # The slot rate must follow the responses of warm servers. In an overload, the attempts exceed their
    # capacity several times, so a slot rate derived from attempts overloads a new server too.
    host = ScriptedHost(make_endpoints(4), HUNDREDS_OF_GATEWAYS)
    for i in range(40):
        request_id, actions = host.request(customer=f"c{i}")
        if of_type(actions, StartAttempt):
            host.complete(request_id, 0, CallOutcome.REJECTED, 1.0)
        host.advance(10.0)
    assert host.gateway.load_balancer.slow_start.warm_rate == 0.0


def test_warming_server_gets_its_slots_while_warm_servers_look_idle() -> None:
    # If the warm-up factor raises its cost, a warming server gets no requests while a warm server has no
    # attempt of this gateway in flight.
    host = ScriptedHost(make_endpoints(4), FORTY_GATEWAYS)
    serve_at_mean_pace(host, 80)
    start_servers(host, WARMING)
    server_ids = serve_at_mean_pace(host, 80)
    assert 1 <= server_ids.count(WARMING) < len(server_ids) / 5


def test_warming_servers_do_not_lower_each_others_slot_rate() -> None:
    # The rate of one warm server is the total rate divided by the number of warm servers. Counting servers
    # that are warming up would lower it.
    rates = []
    for count in (1, 6):
        host = ScriptedHost(make_endpoints(4), FORTY_GATEWAYS)
        start_servers(host, *(f"{WARMING}{i}" for i in range(count)))
        balancer = host.gateway.load_balancer
        for i in range(40):  # warm servers answer the same requests in both cases
            pending = PendingRequest(
                f"r{i}", 1.0, FORTY_GATEWAYS.classes[0], None, host.now_ms, host.now_ms + 1000.0
            )
            attempt = Attempt(pending, Endpoint(f"s{i % 4}", "a"), host.now_ms, work_ms=20.0)
            completed = AttemptCompleted(f"r{i}", 0, f"s{i % 4}", CallOutcome.OK, 20.0, True)
            balancer.attempt_completed(host.now_ms, attempt, completed)
            host.now_ms += 50.0
        rates.append(balancer.slow_start.slot_rate(0.25))
    assert rates[0] == pytest.approx(rates[1])


def test_large_request_takes_several_slots() -> None:
    # A server is overloaded by work, not by the number of requests. Each request must therefore use up slots
    # in proportion to its size.
    waits_s: list[float] = []
    for units in (1.0, 6.0):
        host = ScriptedHost(make_endpoints(4), FORTY_GATEWAYS)
        host.warm_up()
        start_servers(host, WARMING)
        balancer = host.gateway.load_balancer
        warming = balancer.endpoints.servers[WARMING]
        for server in balancer.endpoints.servers.values():
            server.in_flight += 0 if server is warming else 8
        server_ids: list[str] = []
        while server_ids != [WARMING] and host.request_count < 200:  # only some slots admit a large one
            warming.slot_credit = 0.0  # a slot has just opened
            warming.slot_credit_at_ms = host.now_ms
            attempts = of_type(host.request(units=units)[1], StartAttempt)
            server_ids = [attempt.server_id for attempt in attempts]
        assert server_ids == [WARMING]
        waits_s.append(-warming.slot_credit / balancer.slow_start.slot_rate(0.25))
    assert waits_s[1] > 4.0 * waits_s[0]


def test_request_that_exceeds_the_safety_margin_goes_to_a_warm_server() -> None:
    host = ScriptedHost(make_endpoints(4))
    host.warm_up()
    start_servers(host, WARMING)
    servers = host.gateway.load_balancer.endpoints.servers
    server_ids: dict[float, list[str]] = {}
    for units in (1.0, 30.0):  # each unit is 20 ms of work; 500 ms within one second overload the server
        for _ in range(20):
            servers[WARMING].slot_credit = 0.0
            servers[WARMING].slot_credit_at_ms = host.now_ms
            for server_id, server in servers.items():
                server.in_flight = 0 if server_id == WARMING else 8
            request_id, _ = host.request(units=units)
            server_ids.setdefault(units, []).extend(host.attempts.get(request_id, []))
    assert WARMING in server_ids[1.0]
    assert server_ids[30.0]
    assert WARMING not in server_ids[30.0]


def test_unused_slots_expire() -> None:
    """At most the slots of one overload window may accumulate in a lull: a burst uses all at once."""
    open_slots = 0
    for seed in range(60):
        host = ScriptedHost(make_endpoints(4), seed=seed)
        host.warm_up()
        start_servers(host, WARMING)
        balancer = host.gateway.load_balancer
        warming = balancer.endpoints.servers[WARMING]
        balancer.slow_start.warm_rate = 0.4  # a slot every ten seconds at the initial capacity
        host.now_ms += 9000.0
        open_slots += balancer.slow_start.admits(host.now_ms, warming, 0.25, 0.1)
    assert open_slots <= 15  # 6 of 60 are expected; without expiry, most gateways have one


def test_slots_come_from_the_gateways_with_the_server_in_their_subset() -> None:
    """Each gateway with the server in its subset sends at the rate of a server of the subset.

    Fewer gateways send to the server than without subsets, so the sum of their rates stays the same.
    """
    warming_attempts = 0
    warm_attempts = 0
    senders = 0
    for index in range(40):
        host = ScriptedHost(make_endpoints(59), replace(FORTY_GATEWAYS, gateway_index=index), seed=index)
        serve_at_mean_pace(host, 60)
        start_servers(host, WARMING)
        host.advance(10.0)
        server_ids = serve_at_mean_pace(host, 40)  # two seconds
        senders += WARMING in server_ids
        warming_attempts += server_ids.count(WARMING)
        warm_attempts += len(server_ids) - server_ids.count(WARMING)
    per_warm_server = warm_attempts / 59
    assert 1 <= warming_attempts <= 0.6 * per_warm_server
    assert senders <= 20


# --- simulated fleets ----------------------------------------------------------------------------------

# Number of simulations by number of gateways.
SEED_COUNTS = {2: 4, 30: 4, 200: 1}


@pytest.mark.parametrize("gateways", SEED_COUNTS)
@pytest.mark.parametrize("slow_start", SLOW_START_SETTINGS)
@pytest.mark.parametrize(
    "scenario",
    [
        "steady",
        "restart",
        "restart mixed",
        "shift",
        "back",
        "burst",
        "lull",
        "failures",
        "lull failures",
        "mixed",
        "lull mixed",
        "huge",
        "gateway",
        "2 warm servers",
    ],
)
def test_gateways_together_keep_a_warming_servers_budget(
    scenario: str, slow_start: str, gateways: int
) -> None:
    simulations = play(scenario, gateways, SLOW_START_SETTINGS[slow_start], SEED_COUNTS[gateways])
    assert max(simulation.peak_load() for simulation in simulations) < 0.8


@pytest.mark.parametrize(("gateways", "seeds"), [(30, 2), (200, 1)])
@pytest.mark.parametrize("scenario", ["60", "60 failures", "60 lull"])
def test_gateways_with_subsets_keep_a_warming_servers_budget(
    scenario: str, gateways: int, seeds: int
) -> None:
    """Each gateway uses a subset of twenty of the sixty servers."""
    simulations = play(scenario, gateways, SLOW_START_SETTINGS["short"], seeds)
    assert max(simulation.peak_load() for simulation in simulations) < 0.8


@pytest.mark.parametrize("scenario", ["steady", "restart"])
@pytest.mark.parametrize(("gateways", "min_utilisation"), [(2, 0.5), (30, 0.4), (200, 0.1)])
def test_warming_server_is_used(scenario: str, gateways: int, min_utilisation: float) -> None:
    # Guards against a warming server that gets only a twentieth of the load that it can handle, or less,
    # after a restart of 30 gateways or more.
    simulations = play(scenario, gateways, SLOW_START_SETTINGS["short"], SEED_COUNTS[gateways])
    mean_utilisation = sum(simulation.utilisation() for simulation in simulations) / SEED_COUNTS[gateways]
    assert mean_utilisation > min_utilisation
