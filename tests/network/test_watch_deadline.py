"""The watch on a simulated clock: a current list by the deadline, whatever fails."""

from __future__ import annotations

import itertools
import random

import pytest

from quota_gateway.network.discovery.poll_schedule import (
    NOTIFICATION_DEADLINE_AFTER_RELOAD_S,
    NOTIFICATION_DEADLINE_S,
)
from tests.network.samples import DRAIN_GRACE_S
from tests.network.simulated_discovery import SimulatedDiscovery

FAILURES = ["busy", "malformed", "failing", "reset", "refused", "truncated"]


@pytest.mark.parametrize("sharing_gateways", [0, 3, 200])
@pytest.mark.parametrize("failure", [*FAILURES, "silent"])
def test_the_list_is_current_within_the_deadline_after_any_failure_of_a_poll(
    failure: str, sharing_gateways: int
) -> None:
    # Guards against delays that ignore the deadline: with 200 gateways, the poll after a 503 came up to 30 s
    # later.
    for gateway_index in range(40):
        discovery = SimulatedDiscovery(["good", failure], sharing_gateways, gateway_index)
        discovery.loop.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert len(gaps) >= 5
        assert max(gaps) <= NOTIFICATION_DEADLINE_S


@pytest.mark.parametrize("sharing_gateways", [0, 200])
def test_the_list_is_current_within_the_deadline_after_several_failed_polls(
    sharing_gateways: int,
) -> None:
    # A shared service rejects at most one poll here: after a second rejection at most one second is left
    # until the deadline, and the next poll is spread over the longer time that lets the service recover.
    rng = random.Random(sharing_gateways)
    failures = [failure for failure in FAILURES if failure != "busy" or not sharing_gateways]
    for gateway_index in range(100):
        failed = [rng.choice(failures) for _ in range(rng.randrange(1, 4 if sharing_gateways else 9))]
        if rng.random() < 0.5:
            failed = ["silent", rng.choice(failures)]  # a poll after a silent one has one second left
        elif sharing_gateways:
            failed.insert(0, "busy")
        discovery = SimulatedDiscovery(["good", *failed], sharing_gateways, gateway_index)
        discovery.loop.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert max(gaps) <= NOTIFICATION_DEADLINE_S, (failed, max(gaps))


@pytest.mark.parametrize("failure", [failure for failure in FAILURES if failure != "busy"])
def test_the_list_is_current_within_the_deadline_after_a_rejection_and_three_failures(failure: str) -> None:
    """Guards against quick retries that are spread again after a rejection has used up most of the time."""
    for gateway_index in range(400):
        discovery = SimulatedDiscovery(["good", "busy", *[failure] * 3], 400, gateway_index)
        discovery.loop.run(8.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert max(gaps) <= NOTIFICATION_DEADLINE_S


def test_an_agent_is_polled_again_within_the_grace_period_of_a_drain_after_a_failure() -> None:
    # Changes that an agent holds count as notified even without an open watch. Guards against the long delay
    # meant for a shared service: after a 503 the agent was not polled for 30 s.
    for failure in FAILURES:
        discovery = SimulatedDiscovery(["good", *[failure] * 8], 0, 1)
        discovery.loop.run(20.0)
        gaps_after_failures = [b - a for a, b in itertools.pairwise(discovery.polled_at)][1:9]
        assert max(gaps_after_failures) < DRAIN_GRACE_S, failure


def confirmation_after_move_s(discovery: SimulatedDiscovery, failure: str) -> float:
    """Move the watch to another address, whose first poll fails; return how long the list took to confirm."""
    discovery.outcomes = [failure]
    moved_at = discovery.loop.now
    confirmations_before = len(discovery.confirmed_at)
    discovery.watch.move_to(("127.0.0.1", 2))
    discovery.loop.run(moved_at + 20.0)
    return discovery.confirmed_at[confirmations_before] - moved_at


@pytest.mark.parametrize("sharing_gateways", [0, 3, 200])
@pytest.mark.parametrize("failure", [*FAILURES, "silent"])
def test_the_list_is_confirmed_within_the_deadline_after_a_change_of_the_address(
    failure: str, sharing_gateways: int
) -> None:
    """Guards against a timeout as long as the deadline: a silent poll left no time for another one."""
    for gateway_index in range(40):
        discovery = SimulatedDiscovery(["good"], sharing_gateways, gateway_index)
        discovery.loop.run(1.0)
        assert confirmation_after_move_s(discovery, failure) <= NOTIFICATION_DEADLINE_AFTER_RELOAD_S


def test_rejections_by_the_old_discovery_do_not_delay_the_list_of_the_new_one() -> None:
    """Guards against a reload that keeps the delays of repeated rejections: up to 5 s, with 4 s allowed."""
    for gateway_index in range(40):
        discovery = SimulatedDiscovery(["good", *["busy"] * 100], 200, gateway_index)
        discovery.loop.run(20.0)
        assert confirmation_after_move_s(discovery, "busy") <= NOTIFICATION_DEADLINE_AFTER_RELOAD_S


@pytest.mark.parametrize("lost_connections", [5, 15, 25])
def test_the_list_of_an_agent_is_current_within_the_deadline_after_failures_and_a_silent_poll(
    lost_connections: int,
) -> None:
    """Guards against a timeout as long as the time left, after which the next poll is late."""
    for gateway_index in range(40):
        failed = [*["reset"] * lost_connections, "silent"]
        discovery = SimulatedDiscovery(["good", *failed], 0, gateway_index)
        discovery.loop.run(30.0)
        gaps = [b - a for a, b in itertools.pairwise(discovery.confirmed_at)]
        assert max(gaps) <= NOTIFICATION_DEADLINE_S


def test_a_stale_list_is_logged_once_and_so_is_its_recovery(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level("INFO", "quota_gateway")
    discovery = SimulatedDiscovery(["good", *["busy"] * 5], 200, 1)
    discovery.loop.run(120.0)
    lines = [record.getMessage() for record in caplog.records]
    assert sum("event=endpoint_list_stale stale_s=" in line for line in lines) == 1
    assert sum("event=endpoint_list_current stale_s=" in line for line in lines) == 1
