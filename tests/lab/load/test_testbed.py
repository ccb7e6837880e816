"""The testbed stops everything that it started, even if a gateway does not start or does not exit."""

from __future__ import annotations

import signal
from pathlib import Path

import pytest

from quota_gateway.lab.load import gateway_process
from quota_gateway.lab.load.gateway_process import GatewayError
from quota_gateway.lab.load.testbed import LoopbackTestbed, LoopbackTestbedSpec
from tests.network.scenario import run_scenario


def test_a_gateway_that_does_not_start_is_reported_with_its_log_and_everything_is_stopped(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr("tempfile.tempdir", None)
    monkeypatch.setattr(LoopbackTestbed, "gateway_config", lambda self, index: {})
    testbed = LoopbackTestbed(LoopbackTestbedSpec(gateway_count=2))

    async def scenario() -> None:
        with pytest.raises(GatewayError, match=r"ended with status 2: quota-gateway: .* holds no settings"):
            async with testbed:
                pass

    run_scenario(scenario())
    exit_statuses = [gateway.exit_status for gateway in testbed.gateways]
    assert 2 in exit_statuses
    assert None not in exit_statuses
    assert not any(fake.connections for fake in testbed.fakes)
    assert not list(tmp_path.iterdir())


def test_a_gateway_that_does_not_exit_in_time_is_killed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(gateway_process, "SHUTDOWN_TIMEOUT_S", 0.0)

    async def scenario() -> None:
        async with LoopbackTestbed(LoopbackTestbedSpec(server_count=1)) as testbed:
            (gateway,) = testbed.gateways
            assert gateway.is_running()
            assert (gateway.peak_memory_mib() or 0.0) > 5.0
        assert gateway.killed
        assert gateway.exit_status == -signal.SIGKILL

    run_scenario(scenario())
