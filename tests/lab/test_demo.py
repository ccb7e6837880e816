"""`quota-gateway demo` and `quota-gateway lab load` as a newcomer starts them: output, bad input, exit."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quota_gateway.lab import results
from quota_gateway.lab.load import gateway_process as processes
from quota_gateway.lab.load import trial
from quota_gateway.lab.load.gateway_process import GatewayError
from quota_gateway.lab.load.report import troubles
from quota_gateway.lab.load.testbed import Rig, Shape
from tests.network.harness import run_scenario

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-c", "from quota_gateway.lab.cli.main import main; main()"]
LIMIT_S = 60.0


def start(folder: Path, *arguments: str) -> subprocess.Popen[str]:
    """The command, with a folder of its own for temporary files."""
    environ = {**os.environ, "TMPDIR": str(folder), "COLUMNS": "100"}
    pipe = subprocess.PIPE
    command = [*COMMAND, *arguments]
    return subprocess.Popen(command, cwd=ROOT, env=environ, text=True, stdout=pipe, stderr=pipe)


def run(folder: Path, *arguments: str) -> tuple[int, str, str]:
    """Exit status, standard output and standard error."""
    with start(folder, *arguments) as process:
        out, err = process.communicate(timeout=LIMIT_S)
    return process.returncode, out, err


def gateways_of(folder: Path) -> list[int]:
    """The processes that run with a configuration in a folder."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"EDGE_CONFIG={folder}".encode() in path.read_bytes():
                found.append(int(path.parent.name))
        except OSError:
            continue  # it has gone, or is somebody else's
    return found


def wait_for(condition: Callable[[], object]) -> None:
    """Waits until something holds; the limit only keeps a broken test from hanging."""
    end = time.monotonic() + LIMIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    assert condition()


def test_the_demo_serves_refuses_with_retry_after_and_loses_nothing(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    status, out, err = run(tmp_path, "demo", "--seconds", "1", "--rate", "150", "--json", str(path))
    assert (status, err) == (0, "")
    for word in ("served", "refused with retry-after", "failed", "lost", "p50 ms", "p99 ms", "memory MiB"):
        assert word in out
    result = json.loads(path.read_text())
    outcomes = result["outcomes"]
    assert sum(outcomes.values()) == result["requests"] == 150
    assert outcomes["lost"] == 0 < outcomes["refused_with_retry_after"] < outcomes["served"]
    assert result["latency_ms"]["served"]["p99"] >= result["latency_ms"]["served"]["p50"] > 1.0
    (gateway,) = result["gateways"]
    assert gateway["processor_us_per_request"] > 10.0
    assert 5.0 < gateway["memory_mb"] < 192.0
    assert gateway["exit_status"] == 0
    assert result["counter_calls"] > 0
    assert list(tmp_path.iterdir()) == [path]
    assert not gateways_of(tmp_path)


def test_several_gateways_are_measured_beside_the_tool_itself(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    arguments = ("--gateways", "2", "--servers", "5", "--rate", "100", "--seconds", "1", "--json", str(path))
    status, out, err = run(tmp_path, "lab", "load", *arguments)
    assert (status, err) == (0, "")
    result = json.loads(path.read_text())
    assert [each["name"] for each in result["gateways"]] == ["gateway-0", "gateway-1"]
    assert sum(each["requests"] for each in result["gateways"]) == 100
    assert result["servers"] == 5
    assert "p99.9" in out
    assert result["added_ms"]["p50"] > result["floor_ms"]["p50"] > 0.0
    assert result["added_ms"]["p50"] < result["latency_ms"]["served"]["p50"]


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_signal_ends_the_gateway_too(tmp_path: Path, number: signal.Signals) -> None:
    with start(tmp_path, "demo", "--seconds", "50", "--json", str(tmp_path / "result.json")) as process:
        wait_for(lambda: gateways_of(tmp_path))
        assert len(gateways_of(tmp_path)) == 1
        assert process.poll() is None
        process.send_signal(number)
        out, err = process.communicate(timeout=LIMIT_S)
    assert process.returncode == 128 + number
    assert err == f"quota-gateway: ended by {number.name}\n"
    assert not out
    assert not gateways_of(tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_gateway_ends_even_if_the_tool_is_killed(tmp_path: Path) -> None:
    with start(tmp_path, "demo", "--seconds", "50") as process:
        wait_for(lambda: gateways_of(tmp_path))
        process.kill()
        process.communicate(timeout=LIMIT_S)
    wait_for(lambda: not gateways_of(tmp_path))


@pytest.mark.parametrize(
    "arguments",
    [
        ["demo", "--seconds", "0"],
        ["demo", "--rate", "nan"],
        ["demo", "--rate", "many"],
        ["demo", "--nope"],
        ["demo", "--seed", "-1"],
        ["demo", "more"],
        ["demo", "--json", "/no/such/folder/x.json"],
        ["demo", "--json", "/"],
        ["lab", "load", "--gateways", "0"],
        ["lab", "load", "--servers", "9999"],
        ["lab", "load", "--service-ms", "-1"],
        ["lab", "load", "--beyond", "2"],
        ["nothing"],
    ],
)
def test_bad_arguments_get_one_line_and_start_nothing(
    tmp_path: Path, arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from quota_gateway.lab.cli import main as cli

    monkeypatch.setattr(sys, "argv", ["quota-gateway", *arguments])
    monkeypatch.setattr("quota_gateway.lab.cli.trial_command.trial", None)  # it would be a fault to get there
    with pytest.raises(SystemExit) as ended:
        cli.main()
    out, err = capsys.readouterr()
    assert ended.value.code == 2
    assert not out
    assert err.startswith("quota-gateway: ")
    assert err.count("\n") == 1


def result(**changes: Any) -> trial.Result:
    """A sound result."""
    none: dict[str, float | None] = {}
    gateways = [trial.GatewayFigures("g", 9, 1.0, 1.0, 0)]
    outcomes = {"served": 9, "lost": 0}
    made = trial.Result(
        1, gateways, 1, 1.0, 1.0, 1, 9, outcomes, {}, 0, 0, 0, 0, {}, none, None, none, 0, 0, 0.0
    )
    return msgspec.structs.replace(made, **changes)


@pytest.mark.parametrize(
    ("changes", "sound"),
    [
        ({}, True),
        ({"doubled": 1}, False),
        ({"ran_twice": 1}, False),
        ({"outcomes": {"served": 8, "lost": 1}, "losses": {"no answer": 1}}, False),
        ({"outcomes": {"served": 0, "lost": 0}}, False),
        ({"gateways": [trial.GatewayFigures("g", 9, 1.0, 1.0, 0, killed=True)]}, False),
        ({"gateways": [trial.GatewayFigures("g", 9, 1.0, 1.0, 1, trouble="gone")]}, False),
    ],
)
def test_a_trial_is_sound_if_each_request_got_its_one_answer(changes: dict[str, Any], sound: bool) -> None:
    made = result(**changes)
    assert made.sound is sound
    assert bool(troubles(made)) is not sound


def test_a_result_is_written_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "result.json"
    results.write(path, result())
    before = path.read_bytes()
    assert json.loads(before)["requests"] == 9

    def fails(handle: int) -> None:
        raise OSError("no space left")

    monkeypatch.setattr(os, "fsync", fails)
    with pytest.raises(OSError, match="no space left"):
        results.write(path, result(requests=10))
    assert path.read_bytes() == before
    assert list(tmp_path.iterdir()) == [path]


def test_a_gateway_that_does_not_start_is_told_with_its_log_and_all_is_ended(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr("tempfile.tempdir", None)
    monkeypatch.setattr(Rig, "config", lambda self, number: {})
    rig = Rig(Shape(gateways=2))

    async def scenario() -> None:
        with pytest.raises(GatewayError, match=r"ended with status 2: quota-gateway: .* holds no settings"):
            async with rig:
                pass

    run_scenario(scenario())
    found = [gateway.exit_status for gateway in rig.gateways]
    assert 2 in found
    assert None not in found
    assert not any(endpoint.connections for endpoint in rig._endpoints())
    assert not list(tmp_path.iterdir())


def test_a_gateway_that_does_not_end_in_time_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(processes, "END_S", 0.0)

    async def scenario() -> None:
        async with Rig(Shape(servers=1)) as rig:
            (gateway,) = rig.gateways
            assert gateway.running()
            assert (gateway.memory_mb() or 0.0) > 5.0
        assert gateway.killed
        assert gateway.exit_status == -signal.SIGKILL

    run_scenario(scenario())
