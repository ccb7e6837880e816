"""Tests of the slopes: costs measured at several counts, and the lines fitted to them."""

from __future__ import annotations

import pytest

from quota_gateway.lab.scaling import network_costs, slope, slopes
from quota_gateway.lab.scaling.scripted_gateway import ScriptedGateway
from quota_gateway.lab.scaling.slope import Slope
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.lab.simulation.wire_sizes import HTTP_REQUEST_BYTES, incrttl
from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate


def test_every_slope_is_measured_with_its_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slope, "MIN_REPETITION_S", 0.0)
    monkeypatch.setattr(slopes, "CUSTOMER_COUNTS", (10, 100))
    shares_done: list[float] = []
    result = slopes.measure(200, 2, shares_done.append)
    by_name = {measured["name"]: measured for measured in result["slopes"]}
    assert by_name.keys() == set(SlopeName)
    assert shares_done[-1] == 1.0
    snapshot = by_name["whole list"]
    assert [point["count"] for point in snapshot["points"]] == [20, 200]
    assert 100 < snapshot["fit"]["slope"] < 200  # bytes per endpoint
    assert by_name["one change"]["fit"]["slope"] == pytest.approx(0.0, abs=1e-9)
    for measured in result["slopes"]:
        for point in measured["points"]:
            assert 0 < point["min"] <= point["median"] <= point["max"]
    update = by_name["news of a watch: call and answer"]
    # A delta has one row per change.
    assert update["fit"]["slope"] == pytest.approx(snapshot["fit"]["slope"], rel=0.05)
    # An idle watch makes one long poll every 4 s.
    assert by_name["an idle watch: calls"]["points"][0]["median"] == pytest.approx(0.25)
    empty = by_name["a gateway's process, nothing held"]
    resident = by_name["a gateway's process, most resident"]
    assert [point["count"] for point in resident["points"]] == [20, 200]
    assert resident["points"][0]["min"] > 0.8 * empty["points"][0]["median"]


def test_a_line_is_fitted_to_the_medians() -> None:
    line = Slope(SlopeName.TICK, "ms", "servers")
    for count in (10, 100, 1000):
        line.add(count, [2.0 + 0.5 * count])
    assert line.fit() == pytest.approx((2.0, 0.5))


def test_measured_messages_are_those_that_the_simulation_counts() -> None:
    by_name = {measured.name: measured for measured in network_costs.message_sizes()}
    (call_bytes,) = by_name[SlopeName.COUNTER_CALL_BYTES].points.values()
    key = stable_hash(f"{0:016x}/0")
    assert call_bytes[0] <= len(incrttl(key, 2.0, 60_000.0)) <= call_bytes[-1] <= call_bytes[0] + 3
    request = network_costs.watch_request()
    assert len(request) == pytest.approx(HTTP_REQUEST_BYTES, abs=4)
    assert request.startswith(b"GET /v1/servers?since=41000&timeout_ms=4000 HTTP/1.1\r\n")


def test_a_scripted_gateway_forwards_every_request_and_keeps_its_endpoint_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    gateway = ScriptedGateway(30)
    for _ in range(20):
        gateway.request("00000000b4d65521")
    assert gateway.attempts == 20
    updates: list[EndpointUpdate] = []
    monkeypatch.setattr(gateway.policy, "handle", lambda now, event: updates.append(event))
    for _ in range(64):
        gateway.change_endpoint()
    states = [(update.endpoints[0].server_id, update.endpoints[0].state) for update in updates]
    for (drained, draining), (restored, active) in zip(states[::2], states[1::2], strict=True):
        assert (drained, draining, active) == (restored, EndpointState.DRAINING, EndpointState.ACTIVE)
    assert len({server for server, _ in states}) == 30
