"""Tests of `quota-gateway lab load`: several gateways, the client's own overhead, injected faults."""

from __future__ import annotations

import json
from pathlib import Path

from tests.lab.cli.command_line import run_command


def test_several_gateways_and_the_overhead_of_the_client_are_measured(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    arguments = ("--gateways", "2", "--servers", "5", "--rate", "100", "--seconds", "1", "--json", str(path))
    command = run_command(tmp_path, "lab", "load", *arguments)
    assert (command.exit_status, command.stderr) == (0, "")
    result = json.loads(path.read_text())
    assert [gateway["name"] for gateway in result["gateways"]] == ["gateway-0", "gateway-1"]
    assert sum(gateway["requests"] for gateway in result["gateways"]) == 100
    assert result["servers"] == 5
    assert "p99.9" in command.stdout
    assert result["added_ms"]["p50"] > result["floor_ms"]["p50"] > 0.0
    assert result["added_ms"]["p50"] < result["latency_ms"]["served"]["p50"]


def test_a_load_with_faults_loses_nothing_and_shows_the_attempts(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    faults = ("--fault", "servers:error,share=0.4", "--fault", "s0:drain,from=0.2,to=0.6")
    arguments = ("--gateways", "1", "--rate", "150", "--seconds", "1", "--json", str(path), *faults)
    command = run_command(tmp_path, "lab", "load", *arguments)
    assert (command.exit_status, command.stderr) == (0, "")
    assert "Fault: s0:drain,from=0.2,to=0.6" in command.stdout
    result = json.loads(path.read_text())
    assert result["outcomes"]["lost"] == 0
    assert result["attempts"]["failed"] > 10
    assert result["attempts"]["served"] == result["outcomes"]["served"]
    assert result["troubles"] == [faults[1], faults[3]]
    assert sum(result["quotas"][key] for key in ("inside", "beyond", "refused")) == 150
