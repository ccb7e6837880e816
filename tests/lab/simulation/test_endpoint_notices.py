"""Attempts to draining servers after the grace period are counted as rule violations."""

from __future__ import annotations

import pytest

from quota_gateway.policy_api.endpoints import EndpointState, EndpointUpdate, UpdateKind
from tests.lab.simulation.fleets import run_small_fleet


@pytest.mark.parametrize("notified", [True, False])
def test_attempts_to_a_draining_server_are_late_past_the_grace_period_after_notice(notified: bool) -> None:
    simulation = run_small_fleet(0.1)
    gateway = simulation.gateways[0]
    server = next(iter(simulation.servers.by_name.values()))
    # A gateway without a notice counts as notified a fixed time after discovery learned of the drain.
    notice_delay_ms = 0.0 if notified else simulation.experiment.discovery.notification_deadline_ms
    endpoint = server.endpoint(EndpointState.DRAINING)
    if notified:
        gateway.notices.record(EndpointUpdate(UpdateKind.DELTA, (endpoint,)))
    else:
        simulation.discovery.publish(0, endpoint)
        gateway.watch.stop()
    simulation.scheduler.now += notice_delay_ms + 249.0  # The grace period is 250 ms.
    gateway.notices.check_drain(server)
    assert not simulation.metrics.violations
    simulation.scheduler.now += 2.0
    gateway.notices.check_drain(server)
    assert dict(simulation.metrics.violations) == {
        "late_drains_told" if notified else "late_drains_deemed": 1
    }
