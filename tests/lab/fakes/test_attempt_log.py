"""The log of attempts: outcomes, executions and time at servers."""

from __future__ import annotations

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog, AttemptOutcome


def test_attempts_of_a_request_are_kept_in_the_order_of_their_arrival() -> None:
    log = AttemptLog()
    first = Attempt(b"r1", "s0", 1.0)
    second = Attempt(b"r1", "s1", 2.0)
    other_request = Attempt(b"r2", "s0", 3.0)
    for attempt in (first, second, other_request):
        log.record(attempt)
    first.complete(AttemptOutcome.REJECTED, 1.5)
    second.started_at = 2.0
    assert log.attempts_of(b"r1") == [first, second]
    assert log.attempts_of(b"r3") == []
    assert log.executions(b"r1") == 1
    assert log.count_by_outcome() == {"busy": 1, "open": 2}


def test_an_attempt_that_never_completed_took_no_time() -> None:
    attempt = Attempt(b"r1", "s0", arrived_at=1.0)
    assert attempt.time_at_server_s == 0.0
    attempt.complete(AttemptOutcome.SERVED, 1.25)
    assert attempt.time_at_server_s == 0.25
