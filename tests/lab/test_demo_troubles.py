"""Faults by option, and the quotas of a run as they truly were."""

from __future__ import annotations

import json
import math
from pathlib import Path

import pytest

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.fakes.discovery import ListedServer
from quota_gateway.lab.fakes.faults import Fault, FaultKind
from quota_gateway.lab.load import deployment as site
from quota_gateway.lab.load.client import LoadPlan, Outcome, schedule
from quota_gateway.lab.load.fault_injection import Trouble, TroubleError, Troubles, read
from quota_gateway.lab.load.quota_audit import Quotas, audit
from quota_gateway.lab.load.testbed import Rig, Shape
from tests.lab.test_demo import run
from tests.network.harness import run_scenario, wait_until


def test_a_trouble_is_read_as_it_is_written() -> None:
    text = "servers:late,share=0.5,delay=20,from=1,to=2.5"
    assert read(text) == Trouble(text, "servers", Fault(FaultKind.DELAY, 0.5, 20.0), 1.0, 2.5)
    assert read("s3:drain") == Trouble("s3:drain", "s3", None, 0.0, math.inf)


@pytest.mark.parametrize(
    "text",
    [
        "",
        "servers",
        ":reset",
        "servers:nothing",
        "servers:reset,share=2",
        "servers:reset,share=x",
        "servers:reset,from=2,to=1",
        "servers:reset,from=nan",
        "servers:reset,to=1,to=2",
        "servers:reset,when=1",
        "servers:late",
        "servers:reset,delay=5",
        "s0:drain,share=0.5",
    ],
)
def test_a_trouble_that_cannot_be_read_gets_one_line(text: str) -> None:
    with pytest.raises(TroubleError) as error:
        read(text)
    assert "\n" not in str(error.value)
    assert text in str(error.value)


@pytest.mark.parametrize("text", ["s9:reset", "counter:drain", "counter:partial", "s0:cut", "moon:reset"])
def test_a_trouble_that_nothing_can_show_starts_nothing(text: str) -> None:
    with pytest.raises(TroubleError):
        Troubles(Rig(Shape()), [read(text)])


def test_troubles_begin_and_end_in_their_time() -> None:
    async def scenario() -> None:
        rig = Rig(Shape(servers=2))
        rig.discovery.put(ListedServer("s1", rig.servers[1].address))
        texts = ("s0:error,to=0.04", "counter:reset,from=0.02", "s1:drain,to=0.04")
        planned = Troubles(rig, map(read, texts))
        planned.start()
        await wait_until(lambda: rig.servers[1].draining)
        assert [row.state.value for row in rig.discovery.snapshot().servers] == ["Terminating"]
        assert rig.servers[0].faults.draw() == Fault(FaultKind.ERROR)
        await wait_until(lambda: not rig.servers[1].draining)
        (row,) = rig.discovery.snapshot().servers
        assert row.state.value == "Ready"
        assert row.started_ms > 1e12
        await wait_until(lambda: rig.servers[0].faults.draw() is None)
        assert rig.counter.faults.draw() == Fault(FaultKind.RESET)
        planned.stop()

    run_scenario(scenario())


def test_a_load_with_faults_loses_nothing_and_tells_what_the_servers_did(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    faults = ("--fault", "servers:error,share=0.4", "--fault", "s0:drain,from=0.2,to=0.6")
    status, out, err = run(
        tmp_path,
        "lab",
        "load",
        "--gateways",
        "1",
        "--rate",
        "150",
        "--seconds",
        "1",
        "--json",
        str(path),
        *faults,
    )
    assert (status, err) == (0, "")
    assert "Fault: s0:drain,from=0.2,to=0.6" in out
    result = json.loads(path.read_text())
    assert result["outcomes"]["lost"] == 0
    assert result["attempts"]["failed"] > 10
    assert result["attempts"]["served"] == result["outcomes"]["served"]
    assert result["troubles"] == [faults[1], faults[3]]
    assert sum(result["quotas"][key] for key in ("inside", "beyond", "refused")) == 150


def test_quotas_are_replayed_from_what_came_to_the_servers() -> None:
    one = site.read(site.settings(1) | {"packages": [{"name": "p", "per_second": 1.0, "most_at_once": 2.0}]})
    requests = schedule(one, LoadPlan(1.0, 7.0, beyond=0.0))
    ledger = AttemptLog()
    # Seconds, units, and whether it was sent on; the store holds 2, 0, 0.5, 1.5, 2 (at most) and 0.1 then.
    steps = [(0.0, 2, True), (0.0, 1, True), (0.5, 1, False), (1.5, 1, False), (9.0, 2, True), (9.1, 1, True)]
    for request, (at, units, sent_on) in zip(requests, steps, strict=False):
        request.tenant, request.units = requests[0].tenant, float(units)
        if sent_on:
            ledger.record(Attempt(request.request_id, "s0", at))
        else:
            request.outcome, request.ended = Outcome.REFUSED_AFTER, at
    found = Quotas(inside=2, beyond=2, refused_with_room=1, refused=2, refused_half_full=1)
    assert audit(one, requests, ledger) == found
