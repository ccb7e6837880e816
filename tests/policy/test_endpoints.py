"""The endpoint index: updates of the list, subsets and remaining endpoints."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from quota_gateway.policy.endpoints import SUBSET_SIZE, EndpointIndex
from quota_gateway.policy_api.actions import StartAttempt, WatchEndpoints
from quota_gateway.policy_api.endpoints import (
    Endpoint,
    EndpointState,
    EndpointUpdate,
    UpdateKind,
    split_update,
)
from tests.policy.scripted_host import SETTINGS, ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import FORTY_GATEWAYS, THOUSANDS_OF_GATEWAYS, start_servers


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.GONE])
def test_draining_or_gone_server_gets_no_new_attempt(state: EndpointState) -> None:
    host = ScriptedHost(make_endpoints(3))
    host.handle(EndpointUpdate(UpdateKind.DELTA, (Endpoint("s1", "a", state=state),)))
    for _ in range(60):
        host.request()
    assert {server_id for attempts in host.attempts.values() for server_id in attempts} == {"s0", "s2"}


def test_server_missing_from_a_snapshot_is_gone() -> None:
    host = ScriptedHost(make_endpoints(3))
    host.handle(EndpointUpdate(UpdateKind.SNAPSHOT, make_endpoints(2)))
    for _ in range(60):
        host.request()
    assert "s2" not in {server_id for attempts in host.attempts.values() for server_id in attempts}


def test_failed_watch_keeps_the_list() -> None:
    host = ScriptedHost(make_endpoints(2))
    host.handle(EndpointUpdate(UpdateKind.WATCH_FAILED))
    assert of_type(host.request()[1], StartAttempt)


# --- subsets -------------------------------------------------------------------------------------------


def subsets_of_forty_gateways(servers: tuple[Endpoint, ...]) -> list[set[str]]:
    """Return the server ids in the subset of each of forty gateways."""
    hosts = [ScriptedHost(servers, replace(FORTY_GATEWAYS, gateway_index=index)) for index in range(40)]
    return [set(host.gateway.load_balancer.endpoints.subset) for host in hosts]


def test_subsets_cover_a_large_fleet_evenly() -> None:
    subsets = subsets_of_forty_gateways(make_endpoints(60))
    size = len(subsets[0])
    assert size <= 30
    assert all(len(subset) == size for subset in subsets)
    gateways_by_server = [sum(f"s{i}" in subset for subset in subsets) for i in range(60)]
    mean_gateways = 40 * size / 60
    assert 0.7 * mean_gateways <= min(gateways_by_server)
    assert max(gateways_by_server) <= 1.3 * mean_gateways


def test_consecutive_gateways_use_different_subsets() -> None:
    # The requests of a customer come through consecutive gateways. A busy customer must not overload the few
    # servers that these gateways would have in common.
    subsets = subsets_of_forty_gateways(make_endpoints(60))
    for first in range(40):
        assert len(set.union(*(subsets[(first + i) % 40] for i in range(5)))) >= 50


def test_replaced_server_moves_each_subset_by_little() -> None:
    before = subsets_of_forty_gateways(make_endpoints(60))
    after = subsets_of_forty_gateways((*make_endpoints(60)[1:], Endpoint("new", "a")))
    assert max(len(old - new) for old, new in zip(before, after, strict=True)) <= 2


def test_small_fleet_is_used_whole() -> None:
    assert subsets_of_forty_gateways(make_endpoints(17)) == [{f"s{i}" for i in range(17)}] * 40


def subsets_of_gateways(servers: tuple[Endpoint, ...], gateway_count: int) -> list[set[str]]:
    """Return the server ids in the subset of each of many gateways; a single index computes them in turn."""
    settings = replace(SETTINGS, gateway_count=gateway_count)
    index = ScriptedHost(servers, settings).gateway.load_balancer.endpoints
    subsets = []
    for gateway_index in range(gateway_count):
        index.settings = replace(settings, gateway_index=gateway_index)
        index.choose_subset(0.0)
        subsets.append(set(index.subset))
    return subsets


@pytest.mark.parametrize(("servers", "gateways"), [(2000, 300), (5000, 2100)])
def test_subsets_of_a_very_large_fleet_are_balanced_and_move_by_little(servers: int, gateways: int) -> None:
    before = subsets_of_gateways(make_endpoints(servers), gateways)
    after = subsets_of_gateways((*make_endpoints(servers)[1:], Endpoint("new", "a")), gateways)
    counts: dict[str, int] = {}
    for server_id in (server_id for subset in before for server_id in subset):
        counts[server_id] = counts.get(server_id, 0) + 1
    mean_count = gateways * SUBSET_SIZE / servers
    assert 0.5 * mean_count <= min(counts.get(f"s{i}", 0) for i in range(servers)) + 1.0
    assert max(counts.values()) <= 1.5 * mean_count + 1.0
    assert max(len(old - new) for old, new in zip(before, after, strict=True)) <= 2


def test_remaining_endpoints_are_used_once_they_are_warm() -> None:
    host = ScriptedHost(make_endpoints(200), THOUSANDS_OF_GATEWAYS)
    endpoints = host.gateway.load_balancer.endpoints
    warming = [server_id for server_id in endpoints.servers if server_id not in endpoints.subset]
    start_servers(host, *warming)
    for server in endpoints.subset.values():
        server.in_flight = 99
    assert host.attempts[host.request()[0]][0] in endpoints.subset
    host.now_ms += SETTINGS.slow_start.warm_up_ms
    assert host.attempts[host.request()[0]][0] in warming


# --- updates of the list -------------------------------------------------------------------------------


def index_state(index: EndpointIndex, now_ms: float) -> tuple[object, ...]:
    """Check the consistency of an index; return its state without the order of insertion."""
    index.remaining.add_warmed(now_ms, index.servers)
    for group in index.remaining.groups.values():
        assert {server_id: group.members[i].endpoint.server_id for server_id, i in group.indexes.items()} == {
            server_id: server_id for server_id in group.indexes
        }
        assert len(group.members) == len(group.indexes)
    groups = {
        key: {server.endpoint for server in group.members} for key, group in index.remaining.groups.items()
    }
    endpoints = {server_id: server.endpoint for server_id, server in index.servers.items()}
    subset = {server_id for server_id, server in index.servers.items() if server.in_subset}
    assert subset == set(index.subset)
    assert all(index.servers[server_id] is server for server_id, server in index.subset.items())
    return endpoints, index.ring.positions, subset, groups


def random_endpoint(rng: random.Random, now_ms: float) -> Endpoint:
    """Return a random state of one of ninety servers."""
    state = rng.choice(
        [EndpointState.ACTIVE, EndpointState.ACTIVE, EndpointState.DRAINING, EndpointState.GONE]
    )
    started_ms = rng.choice([0.0, now_ms, now_ms - 20_000.0])
    return Endpoint(f"s{rng.randrange(90)}", rng.choice("ab"), rng.randrange(3), 1.0, started_ms, state)


@pytest.mark.parametrize("max_length", [3, 60, 200])
def test_updates_have_the_effect_of_a_snapshot_of_the_final_list(max_length: int) -> None:
    """Deltas, restarts, moves and snapshots lead to the same index as a single snapshot of the final list."""
    for seed in range(12):
        rng = random.Random(seed)
        settings = replace(SETTINGS, gateway_index=seed)
        host = ScriptedHost(make_endpoints(rng.choice([5, 25, 60]), "ab"), settings)
        index = host.gateway.load_balancer.endpoints
        for _ in range(60):
            host.now_ms += rng.choice([0.0, 3000.0])
            kind = UpdateKind.DELTA if rng.random() < 0.9 else UpdateKind.SNAPSHOT
            changed = tuple(random_endpoint(rng, host.now_ms) for _ in range(rng.randrange(1, max_length)))
            host.handle(EndpointUpdate(kind, changed))
        new_host = ScriptedHost((), settings)
        new_host.now_ms = host.now_ms
        listed = tuple(server.endpoint for server in index.servers.values())
        new_host.handle(EndpointUpdate(UpdateKind.SNAPSHOT, listed))
        new_index = new_host.gateway.load_balancer.endpoints
        assert index_state(index, host.now_ms) == index_state(new_index, host.now_ms)
        assert len(index.subset) == min(SUBSET_SIZE, len(index.servers))


@pytest.mark.parametrize("kind", [UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT])
def test_chunks_have_the_effect_of_their_snapshot_and_are_short(kind: UpdateKind) -> None:
    settings = replace(THOUSANDS_OF_GATEWAYS, watch_required=True)
    old = make_endpoints(3000)
    new = (Endpoint("s5", "a", state=EndpointState.DRAINING), *make_endpoints(6000)[500:])
    whole = ScriptedHost(old, settings)
    chunked = ScriptedHost(old, settings)
    whole_actions = whole.handle(EndpointUpdate(kind, new))
    known = list(chunked.gateway.load_balancer.endpoints.servers)
    actions = []
    removing = True
    for chunk in split_update(EndpointUpdate(kind, new), known):
        assert len(chunk.endpoints) <= 250
        active = [endpoint.state is EndpointState.ACTIVE for endpoint in chunk.endpoints]
        assert all(active) or (removing and not any(active))  # removals come first
        removing = removing and not any(active)
        actions += chunked.handle(chunk)
    chunked_index, whole_index = (host.gateway.load_balancer.endpoints for host in (chunked, whole))
    assert index_state(chunked_index, chunked.now_ms) == index_state(whole_index, whole.now_ms)
    assert of_type(actions, WatchEndpoints) == of_type(whole_actions, WatchEndpoints)
