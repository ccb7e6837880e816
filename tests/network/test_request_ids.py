"""Request ids in use: each by one request, and held until a deadline where the request may still run."""

from __future__ import annotations

import asyncio

from quota_gateway.network.client_memory import ClientMemory
from quota_gateway.network.request_ids import HELD_ID_BYTES, RequestIds
from tests.network.scenario import run_scenario, wait_until


def test_an_id_is_reserved_once() -> None:
    async def scenario() -> None:
        request_ids = RequestIds(asyncio.get_running_loop(), ClientMemory(1000))
        assert request_ids.reserve(b"1")
        assert not request_ids.reserve(b"1")
        request_ids.release(b"1")
        assert request_ids.reserve(b"1")

    run_scenario(scenario())


def test_a_held_id_is_released_at_its_deadline_and_counts_as_memory_until_then() -> None:
    async def scenario() -> None:
        memory = ClientMemory(1000)
        loop = asyncio.get_running_loop()
        request_ids = RequestIds(loop, memory)
        for request_id in (b"passed", b"held"):
            request_ids.reserve(request_id)
        request_ids.hold_until(b"passed", loop.time())
        request_ids.hold_until(b"held", loop.time() + 0.01)
        assert b"passed" not in request_ids
        assert b"held" in request_ids
        assert memory.used_bytes == HELD_ID_BYTES
        await wait_until(lambda: b"held" not in request_ids)
        assert memory.used_bytes == 0

    run_scenario(scenario())
