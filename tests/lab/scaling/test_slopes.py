"""Measured costs against counts."""

from __future__ import annotations

import pytest

from quota_gateway.lab.scaling import slopes
from quota_gateway.lab.simulation.wire_sizes import HTTP_REQUEST_BYTES, incrttl
from quota_gateway.policy.gateway import stable
from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate


def test_slopes_are_fitted_and_hold_their_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(slopes, "LEAST_S", 0.0)
    monkeypatch.setattr(slopes, "CUSTOMERS", (10, 100))
    told: list[float] = []
    result = slopes.measure(200, 2, told.append)
    by_name = {slope["name"]: slope for slope in result["slopes"]}
    assert told[-1] == 1.0
    whole = by_name["whole list"]
    assert [point["count"] for point in whole["points"]] == [20, 200]
    assert 100 < whole["fit"]["slope"] < 200  # bytes of a line
    assert by_name["one change"]["fit"]["slope"] == pytest.approx(0.0, abs=1e-9)
    for slope in result["slopes"]:
        for point in slope["points"]:
            assert 0 < point["min"] <= point["median"] <= point["max"]
    news = by_name["news of a watch: call and answer"]
    assert news["fit"]["slope"] == pytest.approx(whole["fit"]["slope"], rel=0.05)  # a change is a line
    assert by_name["an idle watch: calls"]["points"][0]["median"] == pytest.approx(0.25)  # PROTOCOL: 4 s
    process = by_name["a gateway's process, nothing held"]
    held = by_name["a gateway's process, most resident"]
    assert [point["count"] for point in held["points"]] == [20, 200]
    assert held["points"][0]["min"] > 0.8 * process["points"][0]["median"]
    line = slopes.Slope("x", "ms", "servers")
    for count in (10, 100, 1000):
        line.add(count, [2.0 + 0.5 * count])
    assert line.fit() == pytest.approx((2.0, 0.5))


def test_the_messages_that_are_measured_are_those_that_the_lab_books() -> None:
    by_name = {slope.name: slope for slope in slopes.messages()}
    (asked,) = by_name["counter: call written"].points.values()
    name = stable(f"{0:016x}/0")
    assert asked[0] <= len(incrttl(name, 2.0, 60_000.0)) <= asked[-1] <= asked[0] + 3
    assert len(slopes.watch_call()) == pytest.approx(HTTP_REQUEST_BYTES, abs=4)
    assert slopes.watch_call().startswith(b"GET /v1/servers?since=41000&timeout_ms=4000 HTTP/1.1\r\n")


def test_a_scripted_gateway_sends_every_request_and_keeps_its_list(monkeypatch: pytest.MonkeyPatch) -> None:
    bench = slopes.Bench(30)
    for _ in range(20):
        bench.request("00000000b4d65521")
    assert bench.sends == 20
    news: list[EndpointUpdate] = []
    monkeypatch.setattr(bench.gateway, "handle", lambda now, event: news.append(event))
    for _ in range(64):
        bench.change()
    states = [(one.endpoints[0].server_id, one.endpoints[0].state) for one in news]
    for (drained, draining), (back, active) in zip(states[::2], states[1::2], strict=True):
        assert (drained, draining, active) == (back, EndpointState.DRAINING, EndpointState.ACTIVE)
    assert len({server for server, _ in states}) == 30
