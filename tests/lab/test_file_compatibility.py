"""Experiment and result files of before are still read.

The files in `fixtures` were made by the last version before the code was renamed:

- `experiment.toml`: nearly all keys of an experiment;
- `run.json`, `seeds.json`: its results with one seed and with two;
- `slopes.json`: a result of `lab slopes`; `capacity.json`: the capacity page from these slopes.
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
SIZE = ROOT / "experiments" / "sizes" / "ahead.toml"
RENAMED_OUTCOMES = {"full": "rejected"}  # the policy's name of an attempt's outcome


def read(name: str) -> Any:
    """A result file of before."""
    return json.loads((FIXTURES / name).read_text())


def comparable(simulated: dict[str, Any]) -> dict[str, Any]:
    """Simulated figures without the policy's log lines, which are not figures, in today's outcome names."""
    outcomes = simulated["attempt_endings"]
    renamed = {RENAMED_OUTCOMES.get(outcome, outcome): count for outcome, count in outcomes.items()}
    return simulated | {"attempt_endings": renamed, "log_lines": {}}


def test_an_experiment_file_of_before_is_read_with_every_key_in_its_place() -> None:
    experiment = load_experiment(FIXTURES / "experiment.toml")
    assert json.loads(msgspec.json.encode(result_section(experiment))) == read("run.json")["experiment"]


def test_every_former_key_is_the_name_of_a_present_field() -> None:
    document = msgspec.to_builtins(load_experiment(FIXTURES / "experiment.toml"))
    written = tomllib.loads((FIXTURES / "experiment.toml").read_text())
    for table, keys in FORMER_KEYS.items():
        former, present = (each[table] if table else each for each in (written, document))
        rows = zip(former, present, strict=True) if isinstance(former, list) else [(former, present)]
        pairs = [(row[old], field[new]) for row, field in rows for old, new in keys.items() if old in row]
        assert pairs
        assert all(json.loads(msgspec.json.encode(value)) == expected for expected, value in pairs)


def test_a_run_gives_the_figures_of_before() -> None:
    """A change of behaviour, on purpose, has to record `run.json` and `seeds.json` anew."""
    experiment = load_experiment(FIXTURES / "experiment.toml")
    simulation = Simulation(experiment, read("run.json")["seed"])
    simulation.run()
    figures = json.loads(msgspec.json.encode(simulated_figures(simulation)))
    assert comparable(figures) == comparable(read("run.json")["simulated"])
    assert figures.keys() == read("run.json")["simulated"].keys()


def test_results_of_runs_of_before_are_shown() -> None:
    written = StringIO()
    console = Console(file=written, width=120)
    show_run(console, read("run.json"))
    show_spread(console, read("seeds.json"))
    output = written.getvalue()
    assert "fixture: seed 3, 6 s simulated" in output
    assert "fixture: seeds 3, 4;" in output
    assert "rates.service" in output
    assert "nearest_to_cold_fall" in output


def test_slopes_of_before_give_the_capacity_figures_of_before() -> None:
    plan, slopes = load_fleet_plan(SIZE), MeasuredSlopes(FIXTURES / "slopes.json")
    page = capacity.report(plan, slopes, capacity.requirements(plan, slopes))
    assert {slope["name"] for slope in read("slopes.json")["slopes"]} == set(SlopeName)
    before = read("capacity.json")
    assert (page["size"], page["machine"]) == (before["size"], before["machine"])
    for line, line_before in zip(page["lines"], before["lines"], strict=True):
        for key in ("role", "value", "unit", "limit", "margin"):
            assert line[key] == line_before[key]


@pytest.mark.parametrize("name", ["2026-12-02", "2026-12-02-steps"])
def test_the_published_slopes_are_read(name: str) -> None:
    path = ROOT / "docs" / "slopes" / f"{name}.json"
    lines = capacity.requirements(load_fleet_plan(SIZE), MeasuredSlopes(path))
    assert len(lines) == 29
    assert all(line.value > 0.0 for line in lines)
