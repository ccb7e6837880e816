"""The result of a trial: the condition for a pass, and the result file."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import msgspec
import pytest

from quota_gateway.lab import results
from quota_gateway.lab.load.histogram import Percentiles
from quota_gateway.lab.load.report import violation_lines
from quota_gateway.lab.load.trial_result import GatewayResult, TrialResult

FIXTURES = Path(__file__).resolve().parents[1] / "fixtures"


def gateway_result(**changes: Any) -> GatewayResult:
    """Return the result of a gateway that shut down cleanly, with some fields changed."""
    clean = GatewayResult(name="g", requests=9, cpu_us_per_request=1.0, peak_memory_mib=1.0, exit_status=0)
    return msgspec.structs.replace(clean, **changes)


def trial_result(**changes: Any) -> TrialResult:
    """Return the result of a trial that passed, with some fields changed."""
    no_percentiles: Percentiles = {}
    passed = TrialResult(
        gateways=[gateway_result()],
        servers=1,
        rate=1.0,
        duration_s=1.0,
        seed=1,
        requests=9,
        outcomes={"served": 9, "lost": 0},
        losses={},
        extra_replies=0,
        duplicate_executions=0,
        late=0,
        resent=0,
        latency_ms={},
        added_latency_ms=no_percentiles,
        client_overhead_ms=None,
        send_delay_ms=no_percentiles,
        counter_calls=0,
        counter_rejections=0,
        tool_cpu_s=0.0,
    )
    return msgspec.structs.replace(passed, **changes)


@pytest.mark.parametrize(
    ("changes", "passed"),
    [
        ({}, True),
        ({"extra_replies": 1}, False),
        ({"duplicate_executions": 1}, False),
        ({"outcomes": {"served": 8, "lost": 1}, "losses": {"no answer": 1}}, False),
        ({"outcomes": {"served": 0, "lost": 0}}, False),
        ({"gateways": [gateway_result(killed=True)]}, False),
        ({"gateways": [gateway_result(exit_status=1, unexpected_exit_log="gone")]}, False),
    ],
)
def test_a_trial_passes_if_each_request_got_exactly_one_reply(changes: dict[str, Any], passed: bool) -> None:
    result = trial_result(**changes)
    assert result.passed is passed
    assert bool(violation_lines(result)) is not passed


def test_a_result_is_written_completely_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "result.json"
    results.write(path, trial_result())
    first_content = path.read_bytes()
    assert json.loads(first_content)["requests"] == 9

    def fail(descriptor: int) -> None:
        raise OSError("no space left")

    monkeypatch.setattr(os, "fsync", fail)
    with pytest.raises(OSError, match="no space left"):
        results.write(path, trial_result(requests=10))
    assert path.read_bytes() == first_content
    assert list(tmp_path.iterdir()) == [path]


@pytest.mark.parametrize("name", ["trial_result_demo.json", "trial_result_load.json"])
def test_files_of_the_first_version_are_read_and_written_back_unchanged(tmp_path: Path, name: str) -> None:
    earlier = (FIXTURES / name).read_bytes()
    result = msgspec.json.decode(earlier, type=TrialResult)
    assert result.passed
    assert not violation_lines(result)
    assert result.quota_audit.forwarded + result.quota_audit.rejected == result.requests
    results.write(tmp_path / name, result)
    assert (tmp_path / name).read_bytes() == earlier


def test_the_names_of_a_file_map_to_the_fields_of_a_result() -> None:
    result = msgspec.json.decode((FIXTURES / "trial_result_load.json").read_bytes(), type=TrialResult)
    assert result.duration_s == 2.0
    assert result.faults == ["servers:error,share=0.1", "s0:drain,from=0.3,to=1"]
    assert result.quota_audit.forwarded_over_quota == 8
    assert result.quota_audit.rejected_within_quota == 34
    assert result.gateways[0].cpu_us_per_request == 903.2
    assert result.client_overhead_ms == {"p50": 0.413, "p90": 0.553, "p99": 2.297, "p99.9": 3.761}
