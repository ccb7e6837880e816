"""The helpers for tests with gateway processes."""

from __future__ import annotations

import asyncio
import errno
import socket

import pytest

from tests.network.gateway_processes import reserve_port
from tests.network.samples import OK_RESPONSE
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import RespClient, ScriptedRespServer, always_reply


def test_a_reserved_port_is_kept_for_the_process_that_will_listen_on_it() -> None:
    """Guards against tests that hang: another test's connection took the port before the gateway started."""

    async def scenario() -> None:
        port = reserve_port()
        with socket.socket() as other, pytest.raises(OSError, match=str(errno.EADDRINUSE)):
            other.bind(("127.0.0.1", port))
        with pytest.raises(ConnectionRefusedError):
            await RespClient.connect(port)
        server = ScriptedRespServer(always_reply(OK_RESPONSE))
        await server.start(port)
        await asyncio.wait_for(RespClient.connect(port), 5.0)
        await server.stop()

    run_scenario(scenario())
