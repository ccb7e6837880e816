"""The versions of a pool's endpoint list, and the updates between them."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.endpoint_history import EndpointHistory
from quota_gateway.lab.simulation.wire_sizes import endpoint_bytes
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, UpdateKind

DRAINING = Endpoint("s0", "z0", state=EndpointState.DRAINING)
GONE = Endpoint("s0", "z0", state=EndpointState.GONE)
SUCCESSOR = Endpoint("s2", "z0", started_ms=5.0)


@pytest.fixture
def history() -> EndpointHistory:
    """The history of a list with two servers, the first of which was replaced."""
    history = EndpointHistory()
    for name in ("s0", "s1"):
        history.add_initial(Endpoint(name, "z0"))
    for change in (DRAINING, GONE, SUCCESSOR):
        history.append(change)
    return history


def test_each_version_has_the_endpoints_of_its_time(history: EndpointHistory) -> None:
    names = [[endpoint.server_id for endpoint in history.at_version(version)] for version in range(4)]
    assert names == [["s0", "s1"], ["s0", "s1"], ["s1"], ["s1", "s2"]]
    assert history.at_version(1)[0] == DRAINING
    assert tuple(history.current.values()) == history.at_version(history.version)


def test_a_delta_has_the_last_state_of_each_changed_endpoint(history: EndpointHistory) -> None:
    update = history.update_since(0, history_limit=10)
    assert (update.kind, update.endpoints) == (UpdateKind.DELTA, (GONE, SUCCESSOR))
    assert history.update_bytes(update) == endpoint_bytes(GONE) + endpoint_bytes(SUCCESSOR)
    assert history.update_since(history.version, history_limit=10).endpoints == ()


@pytest.mark.parametrize(("version", "history_limit"), [(None, 10), (0, 2)])
def test_a_snapshot_replaces_a_delta_that_would_reach_too_far_back(
    history: EndpointHistory, version: int | None, history_limit: int
) -> None:
    update = history.update_since(version, history_limit)
    assert update.kind is UpdateKind.SNAPSHOT
    assert [endpoint.server_id for endpoint in update.endpoints] == ["s1", "s2"]
