"""The poll schedule: freshness of the list, deadline, timeouts and delays."""

from __future__ import annotations

import pytest

from quota_gateway.network.discovery.poll_schedule import (
    CONFIRMATION_POLL_S,
    EMPTY_RESPONSE_PAUSE_S,
    LONG_POLL_S,
    MAX_BACKOFF_S,
    NOTIFICATION_DEADLINE_AFTER_RELOAD_S,
    NOTIFICATION_DEADLINE_S,
    RECONNECT_DELAY_S,
    RESPONSE_GRACE_S,
    RESPONSE_RESERVE_S,
    Freshness,
    PollSchedule,
)


class FakeClock:
    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


def freshness(schedule: PollSchedule) -> Freshness:
    """Return the freshness; unlike an attribute, mypy does not narrow its type after an assertion."""
    return schedule.freshness


def test_freshness_follows_responses_failures_and_the_deadline(clock: FakeClock) -> None:
    schedule = PollSchedule(clock)
    assert freshness(schedule) is Freshness.UNCONFIRMED
    schedule.poll_succeeded(clock.now)
    assert freshness(schedule) is Freshness.CURRENT
    clock.now += NOTIFICATION_DEADLINE_S
    schedule.poll_failed()
    assert freshness(schedule) is Freshness.UNCONFIRMED
    clock.now += 0.1
    schedule.poll_failed()
    assert freshness(schedule) is Freshness.STALE
    schedule.discovery_moved()
    schedule.poll_failed()
    assert freshness(schedule) is Freshness.STALE
    schedule.poll_succeeded(clock.now)
    assert freshness(schedule) is Freshness.CURRENT


def test_a_move_of_discovery_shortens_the_deadline_and_never_extends_it(clock: FakeClock) -> None:
    schedule = PollSchedule(clock)
    schedule.poll_succeeded(clock.now)
    schedule.discovery_moved()
    assert freshness(schedule) is Freshness.UNCONFIRMED
    assert schedule.remaining_s() == pytest.approx(NOTIFICATION_DEADLINE_AFTER_RELOAD_S)
    clock.now += 3.0
    schedule.discovery_moved()
    assert schedule.remaining_s() == pytest.approx(NOTIFICATION_DEADLINE_AFTER_RELOAD_S - 3.0)


def test_the_logged_age_of_a_stale_list_is_its_own_after_a_move_of_discovery(
    clock: FakeClock, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against an age that counts from the deadline, which a move shortens by 2 s."""
    schedule = PollSchedule(clock)
    schedule.discovery_moved()
    clock.now += NOTIFICATION_DEADLINE_AFTER_RELOAD_S + 0.5
    schedule.poll_failed()
    assert "stale_s=4.5" in caplog.text


def test_polls_are_long_while_the_list_is_current(clock: FakeClock) -> None:
    schedule = PollSchedule(clock)
    assert schedule.long_poll_s() == CONFIRMATION_POLL_S
    schedule.poll_succeeded(clock.now)
    assert schedule.long_poll_s() == LONG_POLL_S
    assert schedule.response_timeout_s() == LONG_POLL_S + RESPONSE_GRACE_S


@pytest.mark.parametrize(
    ("waited_s", "timeout_s"),
    [
        (0.0, LONG_POLL_S + RESPONSE_GRACE_S),
        (3.0, 3.0 - RESPONSE_RESERVE_S),
        (5.5, CONFIRMATION_POLL_S + RESPONSE_GRACE_S),
    ],
)
def test_the_timeout_of_an_agent_after_a_failure_leaves_time_for_another_poll_before_the_deadline(
    clock: FakeClock, waited_s: float, timeout_s: float
) -> None:
    agent = PollSchedule(clock)
    shared = PollSchedule(clock, sharing_gateways=5)
    clock.now += waited_s
    assert agent.response_timeout_s() == pytest.approx(timeout_s)
    assert shared.response_timeout_s() == LONG_POLL_S + RESPONSE_GRACE_S


def test_the_next_poll_follows_at_once_unless_an_empty_response_came_without_a_wait(clock: FakeClock) -> None:
    schedule = PollSchedule(clock)
    schedule.poll_succeeded(clock.now)
    assert schedule.delay_after_response_s(empty=True, duration_s=0.05) == EMPTY_RESPONSE_PAUSE_S
    assert schedule.delay_after_response_s(empty=True, duration_s=0.3) == 0.0
    assert schedule.delay_after_response_s(empty=False, duration_s=0.0) == 0.0


def test_the_watch_continues_at_once_after_the_poll_that_confirms_the_list(clock: FakeClock) -> None:
    """Guards against a second watch at each start: 40 gateways kept a shared discovery from responding."""
    schedule = PollSchedule(clock, sharing_gateways=40)
    assert schedule.delay_after_response_s(empty=True, duration_s=0.0) == 0.0
    schedule.poll_succeeded(clock.now)
    schedule.poll_failed()
    assert schedule.delay_after_response_s(empty=True, duration_s=0.0) == 0.0


def test_backoff_after_malformed_responses_grows_for_a_shared_service_only(clock: FakeClock) -> None:
    shared = PollSchedule(clock, sharing_gateways=5)
    agent = PollSchedule(clock)
    delays = [shared.delay_after_failure_s() for _ in range(9)]
    assert delays[0] <= 0.15
    assert all(0.5 * MAX_BACKOFF_S <= delay <= 1.5 * MAX_BACKOFF_S for delay in delays[4:])
    assert max(agent.delay_after_failure_s() for _ in range(9)) <= 1.5 * RECONNECT_DELAY_S
    shared.poll_succeeded(clock.now)
    assert shared.delay_after_failure_s() <= 0.15
