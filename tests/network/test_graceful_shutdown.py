"""Graceful shutdown: every accepted request is answered, whenever it arrives during the shutdown."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network.process import drain_duration_s
from tests.network.gateway_fixture import forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply, reply_once_released


def test_requests_that_arrive_after_sigterm_on_open_connections_are_served() -> None:
    async def scenario() -> None:
        release = asyncio.Event()
        async with running_gateway(reply_once_released(release), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            silent = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(
                lambda: (
                    len(gateway.servers[0].received_commands()) == 1
                    and len(gateway.listener.connections) == 2
                )
            )
            server = gateway.listener.server
            shutdown = asyncio.ensure_future(gateway.process.shut_down())
            await wait_until(lambda: server is not None and not server.is_serving())
            # One request follows a request in flight, one is the first on a connection opened before.
            client.send(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)
            silent.send(b"CALL.GET", CUSTOMER, b"3", READ_FIELDS)
            await wait_until(lambda: len(gateway.servers[0].received_commands()) == 3)
            release.set()
            assert [await client.read_reply() for _ in range(3)] == [b"value", b"value", None]
            assert [await silent.read_reply() for _ in range(2)] == [b"value", None]
            await shutdown

    run_scenario(scenario())


def test_shut_down_answers_requests_in_flight_and_rejects_later_ones() -> None:
    async def scenario() -> None:
        async with running_gateway(always_reply(None), policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            other = await gateway.connect_client()
            client.send(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: len(gateway.servers[0].received_commands()) == 1)
            gateway.bridge.shut_down()
            assert str(await client.read_reply()) == "ERR failed"  # the request may have run
            assert str(await other.execute(b"CALL.GET", CUSTOMER, b"2", READ_FIELDS)) == "BUSY"
            assert len(gateway.servers[0].received_commands()) == 1
            assert not gateway.bridge.in_flight

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("max_deadline_ms", "drain_s"), [(400.0, 0.6), (1000.0, 1.2), (2500.0, 2.7), (9000.0, 3.2)]
)
def test_the_shutdown_ends_before_the_kill_that_the_deadlines_allow(
    max_deadline_ms: float, drain_s: float
) -> None:
    """The platform sends SIGKILL 0.7 s after the longest deadline, which counts as 3 s at most."""
    assert drain_duration_s(max_deadline_ms) == pytest.approx(drain_s)
