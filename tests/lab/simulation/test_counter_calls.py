"""A gateway's calls to the shared counter: each gets one reply, in the order of a key's calls."""

from __future__ import annotations

import pytest

from quota_gateway.lab.simulation.experiment import CounterConfig
from quota_gateway.policy_api.events import CallOutcome, CounterReply
from tests.lab.simulation.fleets import run_small_fleet


def test_every_counter_call_gets_exactly_one_reply() -> None:
    simulation = run_small_fleet(
        counter=CounterConfig(partitions=1, calls_per_s=(20.0, 20.0), loss_share=0.2)
    )
    messages = simulation.metrics.messages["counter"]
    replies = sum(messages[f"answered_{outcome}"] for outcome in ("ok", "rejected", "timeout"))
    assert replies == messages["calls"]
    assert messages["answered_timeout"] > 0
    assert messages["busy"] > 0
    assert all(gateway.counter_calls.pending_count == 0 for gateway in simulation.gateways)


def test_replies_for_a_key_are_delivered_in_the_order_of_the_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    gateway = run_small_fleet(0.1).gateways[0]
    delivered: list[CounterReply] = []
    monkeypatch.setattr(gateway, "post", delivered.append)
    counter_calls = gateway.counter_calls
    calls = [counter_calls.add_pending(9) for _ in range(3)]
    counter_calls.complete(calls[2], CallOutcome.OK, 3.0)
    counter_calls.complete(calls[1], CallOutcome.REJECTED, 0.0)
    assert delivered == []
    counter_calls.complete(calls[0], CallOutcome.TIMEOUT, 0.0)
    counter_calls.complete(calls[0], CallOutcome.OK, 1.0)  # The call has timed out already.
    assert [(reply.outcome, reply.total) for reply in delivered] == [
        (CallOutcome.TIMEOUT, 0.0),
        (CallOutcome.REJECTED, 0.0),
        (CallOutcome.OK, 3.0),
    ]
    assert counter_calls.pending_count == 0
