"""Tests that experiment and result files of earlier versions can still be read.

The files in `fixtures` were written by the last version that used the former names (see `FORMER_KEYS`):

- `experiment.toml`: an experiment with nearly all keys;
- `run.json`, `seeds.json`: its results with one seed and with two seeds;
- `slopes.json`: a result of `lab slopes`;
- `capacity.json`: the capacity page calculated from these slopes.
"""

from __future__ import annotations

import json
import tomllib
from io import StringIO
from pathlib import Path
from typing import Any

import msgspec
import pytest
from rich.console import Console

from quota_gateway.lab.scaling import capacity
from quota_gateway.lab.scaling.fleet_plan import load_fleet_plan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.lab.simulation.experiment_keys import FORMER_KEYS, result_section
from quota_gateway.lab.simulation.experiment_validation import load_experiment
from quota_gateway.lab.simulation.run_report import simulated_figures
from quota_gateway.lab.simulation.run_tables import show_run, show_spread
from quota_gateway.lab.simulation.simulation import Simulation

ROOT = Path(__file__).resolve().parents[2]
FIXTURES = Path(__file__).parent / "fixtures"
FLEET_PLAN = ROOT / "experiments" / "sizes" / "ahead.toml"
RENAMED_OUTCOMES = {"full": "rejected"}  # former to current names of attempt outcomes


def read(name: str) -> Any:
    """Return the content of a result file in the fixtures."""
    return json.loads((FIXTURES / name).read_text())


def comparable(simulated: dict[str, Any]) -> dict[str, Any]:
    """Return simulated figures with current outcome names and without log lines, which are not figures."""
    outcomes = simulated["attempt_endings"]
    renamed = {RENAMED_OUTCOMES.get(outcome, outcome): count for outcome, count in outcomes.items()}
    return simulated | {"attempt_endings": renamed, "log_lines": {}}


def test_an_experiment_file_with_former_keys_is_read_completely() -> None:
    experiment = load_experiment(FIXTURES / "experiment.toml")
    assert json.loads(msgspec.json.encode(result_section(experiment))) == read("run.json")["experiment"]


def test_every_former_key_maps_to_a_current_field() -> None:
    document = msgspec.to_builtins(load_experiment(FIXTURES / "experiment.toml"))
    raw = tomllib.loads((FIXTURES / "experiment.toml").read_text())
    for table, keys in FORMER_KEYS.items():
        former, current = (each[table] if table else each for each in (raw, document))
        rows = zip(former, current, strict=True) if isinstance(former, list) else [(former, current)]
        pairs = [(row[old], field[new]) for row, field in rows for old, new in keys.items() if old in row]
        assert pairs
        assert all(json.loads(msgspec.json.encode(value)) == expected for expected, value in pairs)


def test_a_run_reproduces_the_recorded_figures() -> None:
    """Intended changes of behaviour require new recordings of `run.json` and `seeds.json`."""
    experiment = load_experiment(FIXTURES / "experiment.toml")
    simulation = Simulation(experiment, read("run.json")["seed"])
    simulation.run()
    figures = json.loads(msgspec.json.encode(simulated_figures(simulation)))
    assert comparable(figures) == comparable(read("run.json")["simulated"])
    assert figures.keys() == read("run.json")["simulated"].keys()


def test_result_files_of_earlier_versions_are_shown() -> None:
    printed = StringIO()
    console = Console(file=printed, width=120)
    show_run(console, read("run.json"))
    show_spread(console, read("seeds.json"))
    output = printed.getvalue()
    assert "fixture: seed 3, 6 s simulated" in output
    assert "fixture: seeds 3, 4;" in output
    assert "rates.service" in output
    assert "nearest_to_cold_fall" in output


def test_recorded_slopes_give_the_recorded_capacity_figures() -> None:
    plan = load_fleet_plan(FLEET_PLAN)
    slopes = MeasuredSlopes(FIXTURES / "slopes.json")
    page = capacity.report(plan, slopes, capacity.requirements(plan, slopes))
    assert {slope["name"] for slope in read("slopes.json")["slopes"]} == set(SlopeName)
    recorded = read("capacity.json")
    assert (page["size"], page["machine"]) == (recorded["size"], recorded["machine"])
    for line, recorded_line in zip(page["lines"], recorded["lines"], strict=True):
        for key in ("role", "value", "unit", "limit", "margin"):
            assert line[key] == recorded_line[key]


@pytest.mark.parametrize("name", ["2026-12-02", "2026-12-02-steps"])
def test_the_published_slopes_are_read(name: str) -> None:
    path = ROOT / "docs" / "slopes" / f"{name}.json"
    lines = capacity.requirements(load_fleet_plan(FLEET_PLAN), MeasuredSlopes(path))
    assert len(lines) == 29
    assert all(line.value > 0.0 for line in lines)
