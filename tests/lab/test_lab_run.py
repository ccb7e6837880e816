"""Tests of the command `lab run`: tables, result file, and parallel runs with several seeds."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
from typer.testing import CliRunner

from quota_gateway.lab.cli.main import app
from quota_gateway.lab.simulation.experiment_validation import load_experiment
from quota_gateway.lab.simulation.run_report import simulated_figures
from quota_gateway.lab.simulation.simulation import Simulation

SMALL_EXPERIMENT = """
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


def test_a_run_writes_its_result_and_prints_tables(tmp_path: Path) -> None:
    experiment_path = tmp_path / "tiny.toml"
    result_path = tmp_path / "out.json"
    experiment_path.write_text(SMALL_EXPERIMENT)
    invocation = CliRunner().invoke(
        app, ["lab", "run", str(experiment_path), "--seed", "5", "--out", str(result_path)]
    )
    assert invocation.exit_code == 0, invocation.stderr
    result = json.loads(result_path.read_text())
    assert result["seed"] == 5
    assert result["experiment"]["fleet"]["servers"] == 6
    assert result["simulated"]["service"]["first_tries"] > 150
    assert result["measured"]["module_s"] > 0
    assert result["machine"]["cores"] >= 1
    assert "rates.service" in invocation.stdout
    assert "event=fault_injected" in invocation.stderr  # a log line in logfmt
    assert sorted(path.name for path in tmp_path.iterdir()) == ["out.json", "tiny.toml"]


def test_parallel_runs_give_the_figures_of_a_run_in_this_process(tmp_path: Path) -> None:
    experiment_path = tmp_path / "tiny.toml"
    result_path = tmp_path / "out.json"
    experiment_path.write_text(SMALL_EXPERIMENT)
    invocation = CliRunner().invoke(
        app,
        ["lab", "run", str(experiment_path), "--repeat", "2", "--processes", "2", "--out", str(result_path)],
    )
    assert invocation.exit_code == 0, invocation.stderr
    written = json.loads(result_path.read_text())
    assert [run["seed"] for run in written["runs"]] == [1, 2]
    simulation = Simulation(load_experiment(experiment_path), 1)
    simulation.run()
    assert written["runs"][0]["simulated"] == json.loads(msgspec.json.encode(simulated_figures(simulation)))
    spread = written["spread"]["service"]
    assert spread["min"] <= spread["median"] <= spread["max"]
