"""Runs: the same by seed, faults told apart, results whole, and what a run costs in operations."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest
from typer.testing import CliRunner

from quota_gateway.lab import results
from quota_gateway.lab.cli.main import app
from quota_gateway.lab.scaling import slopes
from quota_gateway.lab.simulation.experiment import Experiment, Fault, Fleet, Load, Servers, load
from quota_gateway.lab.simulation.scheduler import Kernel, stream
from quota_gateway.lab.simulation.simulation import World
from quota_gateway.lab.simulation.wire_sizes import HTTP_CALL, incrttl
from quota_gateway.policy.hash_ring import stable_hash
from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate

SMALL = """
name = "tiny"
seconds = 4.0
[fleet]
gateways = 3
servers = 6
zones = 2
[load]
requests_per_s = 60.0
tenants = 20
spread = [1, 3]
[[faults]]
kind = "gateways_restarted"
at_s = 1.0
count = 1
down_ms = [500.0, 500.0]
"""


def play(*faults: Fault, seed: int = 1, seconds: float = 6.0, **parts: Any) -> World:
    """A small fleet with faults, played."""
    sizes = Fleet(gateways=6, servers=9, zones=3)
    made = Experiment(
        name="t",
        seconds=seconds,
        fleet=sizes,
        faults=faults,
        load=Load(requests_per_s=90.0, tenants=40, spread=(2, 4)),
        **parts,
    )
    world = World(made, seed)
    world.play()
    return world


ROUGH = (
    Fault(kind="servers_replaced", at_s=1.0, for_s=1.0, share=0.4),
    Fault(kind="gateways_restarted", at_s=2.0, for_s=0.5, share=0.5),
    Fault(kind="zone_cut", at_s=3.0, for_s=1.0, zone="z1"),
    Fault(kind="counter_mute", at_s=4.0, for_s=0.5),
)


def test_the_kernel_keeps_the_order_of_time_and_of_scheduling() -> None:
    kernel = Kernel()
    seen: list[tuple[str, float]] = []
    start = kernel.now
    for delay, name in ((5.0, "c"), (1.0, "a"), (1.0, "b"), (-3.0, "past")):
        kernel.after(delay, lambda one: seen.append((one, kernel.now - start)), name)
    kernel.run(start + 4.0)
    assert (seen, kernel.now) == ([("past", 0.0), ("a", 1.0), ("b", 1.0)], start + 4.0)
    assert stream(1, "x", 2).random() == stream(1, "x", 2).random() != stream(1, "x", 3).random()


def test_a_run_is_the_same_by_seed_and_another_by_another() -> None:
    first, again, other = (msgspec.json.encode(play(*ROUGH, seed=seed).simulated()) for seed in (1, 1, 2))
    assert first == again
    assert first != other


def test_faults_do_what_their_names_say_and_the_rules_hold() -> None:
    quiet, rough = play(seconds=8.0), play(*ROUGH, seconds=8.0)
    assert quiet.books.service["unreached"] == 0
    assert rough.books.service["unreached"] > 0
    assert rough.books.ready.report()["count"] == 3
    assert len(rough.servers) == 9 + 4
    assert rough.simulated()["world"]["servers_up"] == 9
    assert rough.books.calls["server"]["unreachable"] > 0
    assert rough.books.calls["counter"]["answered_timeout"] > 0
    broken = rough.simulated()["rules"]
    assert {rule: n for rule, n in broken.items() if n and rule != "cut_by_drain"} == {}


@pytest.mark.parametrize("kind", ["rack_lost", "servers_hung", "servers_crashed"])
def test_lost_servers_come_back(kind: str) -> None:
    world = play(Fault(kind=kind, at_s=1.0, for_s=1.5, count=3), seconds=9.0)  # type: ignore[arg-type]
    assert world.simulated()["world"]["servers_up"] == 9
    assert sum(server.started_ms > 0 for server in world.servers.values()) == (0 if "hung" in kind else 3)
    assert world.books.service["lost"] == 0


def test_a_silent_discovery_and_an_empty_counter_cost_no_answers() -> None:
    world = play(
        Fault(kind="discovery_down", at_s=1.0, for_s=4.0),
        Fault(kind="servers_replaced", at_s=1.5, for_s=1.0, share=0.3),
        Fault(kind="counter_emptied", at_s=3.0),
        seconds=8.0,
    )
    assert world.books.service["lost"] == 0
    assert world.books.rules["late_drains_deemed"] == world.books.rules["late_drains_told"] == 0


def test_timers_of_a_process_that_died_do_not_reach_the_next_one() -> None:
    quick = Fault(kind="gateways_restarted", at_s=1.0, count=6, down_ms=(1.0, 1.0))
    ticks = [play(*faults).measured.events["TimerFired"] for faults in ((), (quick,))]
    assert ticks[1] == pytest.approx(ticks[0], rel=0.05)


def test_regions_apart_hear_of_changes_when_they_are_joined_again() -> None:
    def heard(*faults: Fault) -> list[int]:
        made = Experiment(
            name="t",
            seconds=8.0,
            fleet=Fleet(gateways=4, servers=12, visible=6, regions=2, zones=4),
            load=Load(requests_per_s=40.0, tenants=20, spread=(1, 2)),
            faults=faults,
        )
        world = World(made, 1)
        world.play()
        assert world.books.service["lost"] == 0
        assert world.books.rules["late_drains_deemed"] == world.books.rules["late_drains_told"] == 0
        versions = [gateway.agent.since or 0 for gateway in world.gateways]
        assert versions == [len(world.service.rolls[g.pool_number].log) for g in world.gateways]
        return [world.books.calls["discovery"][what] for what in ("lost", "change_lists")]

    replaced = Fault(kind="servers_replaced", at_s=1.0, for_s=1.0, share=1.0)
    assert heard(replaced)[1] > heard(Fault(kind="regions_apart", at_s=0.5, for_s=6.0), replaced)[1] > 0


def test_a_surge_asks_for_more_while_it_lasts() -> None:
    quiet, surge = play(), play(Fault(kind="surge", at_s=1.0, for_s=4.0, share=1.0, factor=3.0))
    ratio = surge.books.service["first_tries"] / quiet.books.service["first_tries"]
    assert 1.9 < ratio < 2.8  # three times for four seconds of six, from the next batch on


def test_sudden_load_on_cold_servers_is_counted_as_falls() -> None:
    # All servers restart at once with hardly a budget: nobody can hold the load.
    world = play(
        Fault(kind="servers_crashed", at_s=1.0, for_s=0.1, share=1.0),
        servers=Servers(cold_share=0.01, overload_factor=0.1, overload_ms=500.0, start_ms=(0.0, 0.0)),
        seconds=8.0,
    )
    assert world.simulated()["rules"]["cold_falls"] == len(world.books.falls) > 0
    assert all(fall.calls > fall.budget + 2.0 * fall.budget**0.5 + 2.0 for fall in world.books.falls)


def test_gateways_know_their_pool_only() -> None:
    made = Experiment(
        name="t",
        seconds=1.0,
        fleet=Fleet(gateways=7, servers=60, visible=20, regions=2, zones=4),
        load=Load(requests_per_s=30.0, tenants=12, spread=(1, 2)),
    )
    world = World(made, 1)
    assert [len(pool.gateways) for pool in world.pools] == [3, 2, 2]
    assert [len(roll.entries) for roll in world.service.rolls] == [20, 20, 20]
    for gateway in world.gateways:
        assert gateway.settings.gateway_count == len(gateway.pool.gateways)
        regions = {s.place.region for s in world.servers.values() if s.pool == gateway.pool_number}
        assert regions == {gateway.place.region}


def test_a_run_writes_its_result_and_prints_tables(tmp_path: Path) -> None:
    file, out = tmp_path / "tiny.toml", tmp_path / "out.json"
    file.write_text(SMALL)
    result = CliRunner().invoke(app, ["lab", "run", str(file), "--seed", "5", "--out", str(out)])
    assert result.exit_code == 0, result.stderr
    told = json.loads(out.read_text())
    assert told["seed"] == 5
    assert told["experiment"]["fleet"]["servers"] == 6
    assert told["simulated"]["service"]["first_tries"] > 150
    assert told["measured"]["module_s"] > 0
    assert told["machine"]["cores"] >= 1
    assert "rates.service" in result.stdout
    assert "event=fault" in result.stderr  # a structured line
    assert sorted(path.name for path in tmp_path.iterdir()) == ["out.json", "tiny.toml"]


def test_a_result_is_written_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    out = tmp_path / "out.json"
    results.write(out, {"a": 1})

    def full(handle: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", full)
    with pytest.raises(OSError, match="No space"):
        results.write(out, {"a": 2})
    assert json.loads(out.read_text()) == {"a": 1}
    assert list(tmp_path.iterdir()) == [out]


def test_events_grow_with_requests_and_gateways_not_with_servers() -> None:
    """Counts of operations: what one request, and one idle gateway, costs the kernel."""

    def events(gateways: int, servers: int, rate: float) -> int:
        made = Experiment(
            name="t",
            seconds=4.0,
            fleet=Fleet(gateways=gateways, servers=servers),
            load=Load(requests_per_s=rate, tenants=200, spread=(1, 1)),
        )
        world = World(made, 1)
        world.play()
        return world.kernel.done

    idle = events(10, 100, 0.01)
    assert idle / 10 == pytest.approx(9 * 4.5, rel=0.25)  # four ticks a second, and the watch
    assert events(20, 100, 0.01) / idle == pytest.approx(2.0, rel=0.1)
    assert events(10, 1000, 0.01) == pytest.approx(idle, rel=0.02)
    busy = events(10, 100, 100.0)
    assert 6 * 400 < busy - idle < 15 * 400


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
    name = stable_hash(f"{0:016x}/0")
    assert asked[0] <= len(incrttl(name, 2.0, 60_000.0)) <= asked[-1] <= asked[0] + 3
    assert len(slopes.watch_call()) == pytest.approx(HTTP_CALL, abs=4)
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


def test_several_seeds_are_played_in_processes_of_their_own_and_alike(tmp_path: Path) -> None:
    file, out = tmp_path / "tiny.toml", tmp_path / "out.json"
    file.write_text(SMALL)
    result = CliRunner().invoke(
        app, ["lab", "run", str(file), "--repeat", "2", "--processes", "2", "--out", str(out)]
    )
    assert result.exit_code == 0, result.stderr
    told = json.loads(out.read_text())
    assert [run["seed"] for run in told["runs"]] == [1, 2]
    world = World(load(file), 1)
    world.play()
    assert told["runs"][0]["simulated"] == json.loads(msgspec.json.encode(world.simulated()))
    spread = told["spread"]["service"]
    assert spread["min"] <= spread["median"] <= spread["max"]
