"""Tests of the capacity page: its figures and limits, and the rejection of invalid input."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.lab.scaling import capacity
from quota_gateway.lab.scaling.fleet_plan import load_fleet_plan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes
from quota_gateway.lab.scaling.requirement import Requirement
from quota_gateway.lab.scaling.slope_names import SlopeName

ROOT = Path(__file__).resolve().parents[3]
FLEET_PLAN = ROOT / "experiments" / "sizes" / "ahead.toml"


def write_slopes(path: Path) -> Path:
    """Write a slopes file in which each fitted line is 1 + 0.001 * count."""
    rows = [{"name": name, "points": [], "fit": {"intercept": 1.0, "slope": 0.001}} for name in SlopeName]
    machine = {"cpu": "c", "cores": 1, "python": "3", "date": "d", "reference_ms": 1.0, "load_1m": 0.0}
    path.write_text(json.dumps({"machine": machine, "slopes": rows}))
    return path


def requirements(slopes_path: Path) -> dict[tuple[str, str], Requirement]:
    """Return the lines of the page by role and resource."""
    lines = capacity.requirements(load_fleet_plan(FLEET_PLAN), MeasuredSlopes(slopes_path))
    return {(line.role, line.what): line for line in lines}


def test_figures_are_slopes_times_counts_beside_their_limits(tmp_path: Path) -> None:
    lines = requirements(write_slopes(tmp_path / "s.json"))
    assert lines["gateway", "requests"].value == pytest.approx(100.0)
    assert lines["gateway", "a decision and its outcome"].value == pytest.approx(21.0)
    assert lines["counter", "calls wanted by all gateways"].value == pytest.approx(268_800.0)
    zone_lost = lines["gateway", "a zone lost (870 servers), notified at the allowed rate"]
    assert zone_lost.limit == 15.0
    assert zone_lost.margin == pytest.approx(15.0 / zone_lost.value)


def test_a_requirement_beyond_its_limit_has_no_mechanism(tmp_path: Path) -> None:
    for line in requirements(write_slopes(tmp_path / "s.json")).values():
        if line.role == "counter":
            assert line.margin is not None
            assert line.margin < 1.0
            assert line.mechanism.startswith("missing")


def run_capacity(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [
        sys.executable,
        "-c",
        "from quota_gateway.lab.cli.main import main; main()",
        "lab",
        "capacity",
        *arguments,
    ]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60.0)


def bad_inputs(folder: Path) -> list[tuple[Path, Path, str]]:
    """Return pairs of a fleet plan and a slopes file, one of them invalid, each with part of the error."""
    valid_slopes = write_slopes(folder / "s.json")
    valid_plan = FLEET_PLAN.read_text()
    cases: list[tuple[Path, Path, str]] = [(folder / "none.toml", valid_slopes, "none.toml")]
    changes: dict[str, Any] = {
        "size.zones": ("zones = 23", "zones = 3"),
        "size.nodes": ("routes = 25000", "nodes = 1"),
        "size.servers": ("servers = 20000", "servers = 1000"),
        "limits.memory_mb": ("memory_mb = 256", ""),
    }
    for key, (old, new) in changes.items():
        path = folder / f"{key}.toml"
        path.write_text(valid_plan.replace(old, new))
        cases.append((path, valid_slopes, f": {key}: "))
    for name, content in (("no.json", "{"), ("empty.json", "{}")):
        (folder / name).write_text(content)
        cases.append((FLEET_PLAN, folder / name, name))
    return cases


def test_bad_input_is_one_line_and_nothing_is_written(tmp_path: Path) -> None:
    for size, measured, expected in bad_inputs(tmp_path):
        out = tmp_path / "out.json"
        completed = run_capacity(str(size), str(measured), "--out", str(out))
        assert (completed.returncode, completed.stdout, out.exists()) == (2, "", False)
        assert completed.stderr.count("\n") == 1
        assert expected in completed.stderr


def test_the_command_prints_the_table_and_writes_the_result(tmp_path: Path) -> None:
    out = tmp_path / "out.json"
    completed = run_capacity(str(FLEET_PLAN), str(write_slopes(tmp_path / "s.json")), "--out", str(out))
    assert completed.returncode == 0
    assert "| role | what | figure | limit | fits | provided by |" in completed.stdout
    table_rows = completed.stdout.count("\n| ") - 2  # without the header row and the separator row
    assert len(json.loads(out.read_text())["lines"]) == table_rows
