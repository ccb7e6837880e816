"""Connections to servers over loopback sockets: surplus bytes that belong to no request."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.network import server_pool
from tests.network.gateway_fixture import forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import always_reply


def test_a_late_duplicate_response_is_not_served_to_another_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """The duplicate arrives in a TCP segment of its own, after the connection has returned to the pool."""

    async def scenario() -> None:
        async def reply_twice(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
            value = words[2].rjust(4, b"0")
            response = b"*3\r\n$4\r\n%b\r\n$-1\r\n$-1\r\n" % value
            writer.write(response)
            await asyncio.sleep(0.005)
            return response

        async with running_gateway(reply_twice, policy=forwarding_policy()) as gateway:
            client = await gateway.connect_client()
            for number in range(1, 9):
                value = await client.execute(b"CALL.GET", CUSTOMER, b"%d" % number, READ_FIELDS)
                assert value == b"%04d" % number
            assert len(gateway.servers[0].writers) == 8

    # No connection is reused during the test, however slow the machine.
    monkeypatch.setattr(server_pool, "MIN_REUSE_DELAY_S", 30.0)
    run_scenario(scenario())


def test_unsolicited_bytes_close_the_connection() -> None:
    """If it stayed open, the next request on the connection would receive another request's value."""

    async def scenario() -> None:
        async with running_gateway(
            always_reply(OK_RESPONSE + OK_RESPONSE), policy=forwarding_policy()
        ) as gateway:
            client = await gateway.connect_client()
            await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS)
            await wait_until(lambda: not gateway.server_pools.connections)

    run_scenario(scenario())
