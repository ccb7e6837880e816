"""Tests of `quota-gateway demo` as a child process: output, result file, signals."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from tests.lab.cli.command_line import COMMAND_TIMEOUT_S, gateway_pids, run_command, start_command, wait_for


def test_the_demo_serves_rejects_with_retry_after_and_loses_nothing(tmp_path: Path) -> None:
    path = tmp_path / "result.json"
    command = run_command(tmp_path, "demo", "--seconds", "1", "--rate", "150", "--json", str(path))
    assert (command.exit_status, command.stderr) == (0, "")
    for text in ("served", "rejected with Retry-After", "failed", "lost", "p50 ms", "p99 ms", "memory MiB"):
        assert text in command.stdout
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
    assert not gateway_pids(tmp_path)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM])
def test_a_signal_to_the_command_also_ends_the_gateway(tmp_path: Path, number: signal.Signals) -> None:
    with start_command(
        tmp_path, "demo", "--seconds", "50", "--json", str(tmp_path / "result.json")
    ) as process:
        wait_for(lambda: gateway_pids(tmp_path))
        assert len(gateway_pids(tmp_path)) == 1
        assert process.poll() is None
        process.send_signal(number)
        stdout, stderr = process.communicate(timeout=COMMAND_TIMEOUT_S)
    assert process.returncode == 128 + number
    assert stderr == f"quota-gateway: ended by {number.name}\n"
    assert not stdout
    assert not gateway_pids(tmp_path)
    assert not list(tmp_path.iterdir())


def test_a_gateway_exits_if_the_command_is_killed(tmp_path: Path) -> None:
    with start_command(tmp_path, "demo", "--seconds", "50") as process:
        wait_for(lambda: gateway_pids(tmp_path))
        process.kill()
        process.communicate(timeout=COMMAND_TIMEOUT_S)
    wait_for(lambda: not gateway_pids(tmp_path))
