"""The memory budget: what clients can make the process hold stays within the platform's limit."""

from __future__ import annotations

import asyncio

from quota_gateway.network.memory import allocate_memory
from quota_gateway.network.process import GatewayProcess
from quota_gateway.policy.gateway import Gateway
from tests.network.gateway_fixture import gateway_config
from tests.network.scenario import run_scenario

MEBIBYTE = 1024 * 1024


def test_the_limit_on_customers_follows_from_the_memory_limit() -> None:
    """Guards against a process killed for its memory: the number of customers had no limit."""

    async def scenario() -> None:
        limits = []
        for memory_mib in (32, 64):
            config = gateway_config(1, 2, [], max_memory_bytes=memory_mib * MEBIBYTE)
            process = GatewayProcess(config, asyncio.get_running_loop())
            assert isinstance(process.bridge.policy, Gateway)
            limits.append(process.bridge.policy.settings.max_customers)
            await process.close()
        assert limits == [allocate_memory(mib * MEBIBYTE).customers for mib in (32, 64)]
        assert limits[0] < limits[1]

    run_scenario(scenario())
