"""Faults: validation, the probability of being drawn, and delayed replies of every fake."""

from __future__ import annotations

import time
from collections.abc import Awaitable
from typing import Any

import pytest

from quota_gateway.lab.fakes.counter import CounterModel, FakeCounter
from quota_gateway.lab.fakes.discovery import FakeDiscovery
from quota_gateway.lab.fakes.faults import Fault, FaultError, FaultKind
from quota_gateway.lab.fakes.loopback_server import LoopbackServer
from tests.lab.fakes.harness import INSTANT, fake_server, http_get, started
from tests.network.samples import CUSTOMER, READ_FIELDS
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import RespClient


def test_faults_are_checked_when_they_are_made_and_injected() -> None:
    for kind, probability, delay_ms in (
        ("reset", 0.0, 0.0),
        ("reset", 1.5, 0.0),
        ("reset", float("nan"), 0.0),
        ("reset", 1.0, 5.0),
        ("late", 1.0, 0.0),
        ("late", 1.0, float("inf")),
    ):
        with pytest.raises(FaultError):
            Fault(FaultKind(kind), probability, delay_ms)
    with pytest.raises(FaultError, match="cut"):
        fake_server(INSTANT).faults.inject(Fault(FaultKind.PARTITION))


def test_a_fault_is_drawn_with_its_probability_until_it_is_cleared() -> None:
    faults = fake_server(INSTANT).faults
    faults.inject(Fault(FaultKind.NO_REPLY, 0.3))
    assert sum(faults.draw() is not None for _ in range(4000)) == pytest.approx(1200, rel=0.1)
    faults.clear()
    assert faults.draw() is None


async def _duration_s(call: Awaitable[Any]) -> float:
    started_at = time.monotonic()
    await call
    return time.monotonic() - started_at


def test_delayed_replies_come_late_and_complete() -> None:
    async def scenario() -> None:
        async with (
            started(fake_server(INSTANT)) as server,
            started(FakeCounter(CounterModel())) as counter,
            started(FakeDiscovery()) as discovery,
        ):
            fakes: tuple[LoopbackServer, ...] = (server, counter, discovery)
            for fake in fakes:
                fake.faults.inject(Fault(FaultKind.DELAY, delay_ms=60.0))
            client = await RespClient.connect(server.port)
            assert await _duration_s(client.execute(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)) >= 0.055
            assert server.attempt_log.attempts_of(b"r1")[0].time_at_server_s >= 0.055
            client = await RespClient.connect(counter.port)
            assert await _duration_s(client.execute(b"INCRTTL", b"a", b"1", b"9")) >= 0.055
            assert await _duration_s(http_get(await RespClient.connect(discovery.port))) >= 0.055

    run_scenario(scenario())
