"""The order of scheduled events, and the independence of random streams."""

from __future__ import annotations

from quota_gateway.lab.simulation.random_streams import random_stream
from quota_gateway.lab.simulation.scheduler import EventScheduler


def test_events_run_in_order_of_time_then_of_scheduling() -> None:
    scheduler = EventScheduler()
    seen: list[tuple[str, float]] = []
    start = scheduler.now
    for delay, name in ((5.0, "c"), (1.0, "a"), (1.0, "b"), (-3.0, "past")):
        scheduler.schedule_after(delay, lambda event: seen.append((event, scheduler.now - start)), name)
    scheduler.run_until(start + 4.0)
    assert (seen, scheduler.now) == ([("past", 0.0), ("a", 1.0), ("b", 1.0)], start + 4.0)
    assert (
        random_stream(1, "x", 2).random()
        == random_stream(1, "x", 2).random()
        != random_stream(1, "x", 3).random()
    )
