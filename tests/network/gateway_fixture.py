"""Runs a gateway under test on loopback sockets, with scripted peers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TypeVar

from quota_gateway.network.bridge import Policy, PolicyBridge
from quota_gateway.network.client_connection import ClientConnection
from quota_gateway.network.config import GatewayConfig, decode_config
from quota_gateway.network.listener import Listener
from quota_gateway.network.process import GatewayProcess
from quota_gateway.network.server_pool import ServerPools
from quota_gateway.policy_api.actions import Action, Fail, StartAttempt
from quota_gateway.policy_api.events import AttemptCompleted, Event, Request
from tests.network.samples import SETTINGS
from tests.network.scenario import wait_until
from tests.network.scripted_peers import (
    ReplyFunction,
    RespClient,
    ScriptedDiscovery,
    ScriptedPeer,
    ScriptedRespServer,
    endpoint_list_response,
    server_row,
)

EventT = TypeVar("EventT", bound=Event)


class ScriptedPolicy:
    """A policy whose decisions a test supplies: `decide` maps each event to actions.

    `events` records all events.
    """

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.handling = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        assert not self.handling, "nested call of the policy"
        self.handling = True
        self.events.append(event)
        try:
            return self.decide(event)
        finally:
            self.handling = False

    def events_of(self, kind: type[EventT]) -> list[EventT]:
        return [event for event in self.events if isinstance(event, kind)]


def forward_to(server_id: str, timeout_ms: float = 0.0) -> Callable[[Event], list[Action]]:
    """Return a `decide` function that sends each request to one server and fails it if the attempt fails."""

    def decide(event: Event) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, server_id, timeout_ms)]
        if isinstance(event, AttemptCompleted) and not event.request_completed:
            return [Fail(event.request_id)]
        return []

    return decide


def forwarding_policy(server_id: str = "s0") -> ScriptedPolicy:
    """Return a policy that sends each request to one server, without retries."""
    return ScriptedPolicy(forward_to(server_id))


class RunningGateway:
    """A running gateway and its scripted peers."""

    def __init__(
        self, process: GatewayProcess, servers: list[ScriptedRespServer], counter: ScriptedRespServer
    ) -> None:
        self.process = process
        self.servers = servers
        self.counter = counter

    @property
    def port(self) -> int:
        server = self.process.listener.server
        assert server is not None
        return int(server.sockets[0].getsockname()[1])

    @property
    def listener(self) -> Listener:
        return self.process.listener

    @property
    def bridge(self) -> PolicyBridge:
        return self.process.bridge

    @property
    def server_pools(self) -> ServerPools:
        return self.process.server_pools

    async def connect_client(self) -> RespClient:
        return await RespClient.connect(self.port)

    async def connect_client_that_does_not_read(self, payload: bytes) -> tuple[RespClient, ClientConnection]:
        """Connect a client that sends `PING` and reads no replies; return once the gateway stops reading."""
        client = await self.connect_client()
        client.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await wait_until(lambda: self.listener.connections)
        (connection,) = self.listener.connections
        while not connection.reading_paused:  # reading pauses once the read buffer is full
            client.send(b"PING", payload)
            await asyncio.sleep(0)
        return client, connection

    def make_client_memory_scarce(self) -> None:
        memory = self.listener.client_memory
        memory.add(memory.limit_bytes // 2)


def raw_config(
    discovery_port: int, counter_port: int, rows: list[dict[str, Any]], listen_port: int = 1
) -> dict[str, Any]:
    """Return a configuration as decoded from JSON, with `rows` as its cached endpoint list."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen_port}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "counter": f"127.0.0.1:{counter_port}",
        "seed": "8c1f30d27a5be964",
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": rows},
    }


def gateway_config(
    discovery_port: int, counter_port: int, rows: list[dict[str, Any]], **changes: Any
) -> GatewayConfig:
    """Return a decoded configuration with the fields in `changes`; the gateway listens on a free port."""
    decoded = decode_config(raw_config(discovery_port, counter_port, rows), {})
    return replace(decoded, listen_address=("127.0.0.1", 0), **changes)


@asynccontextmanager
async def running_gateway(
    *replies: ReplyFunction,
    policy: Policy | None = None,
    counter: ReplyFunction | None = None,
    discovery: ScriptedDiscovery | None = None,
    **changes: Any,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway that is ready to serve, with one server for each of `replies`, named s0, s1, ...

    The gateway's own policy is replaced by `policy`, if given. By default the counter works and discovery
    lists all servers. `changes` are fields of `GatewayConfig`.
    """
    totals: dict[bytes, float] = {}

    async def increment(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        if words[0] == b"PING":
            return b"+PONG\r\n"
        totals[words[1]] = totals.get(words[1], 0.0) + float(words[2])
        text = repr(totals[words[1]]).encode()
        return b"$%d\r\n%b\r\n" % (len(text), text)

    servers = [ScriptedRespServer(reply) for reply in replies]
    counter_server = ScriptedRespServer(counter or increment)
    for peer in (*servers, counter_server):
        await peer.start()
    rows = [server_row(f"s{i}", peer.port) for i, peer in enumerate(servers)]
    discovery = discovery or ScriptedDiscovery(endpoint_list_response(1, rows))
    await discovery.start()
    config = gateway_config(discovery.port, counter_server.port, rows, **changes)
    process = GatewayProcess(config, asyncio.get_running_loop(), policy)
    await process.start()
    if process.counter is not None:
        connections = process.counter.connections
        await wait_until(lambda: all(connection.is_ready() for connection in connections))
    try:
        yield RunningGateway(process, servers, counter_server)
    finally:
        await process.close()
        peers: list[ScriptedPeer] = [*servers, counter_server, discovery]
        for scripted_peer in peers:
            await scripted_peer.stop()
