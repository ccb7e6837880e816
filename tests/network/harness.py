"""A gateway under test on loopback sockets, with fake servers, counter, discovery and client.

The fakes do just what a test tells them to. Waits are for conditions, never for a time to pass.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any, TypeVar

import hiredis
import uvloop

from quota_gateway.network.bridge import Policy, PolicyBridge
from quota_gateway.network.config import GatewayConfig, decode_config
from quota_gateway.network.listener import Listener
from quota_gateway.network.process import GatewayProcess
from quota_gateway.network.server_pool import ServerPools
from quota_gateway.policy_api.actions import Action, Fail, StartAttempt
from quota_gateway.policy_api.events import AttemptCompleted, Event, Request

E = TypeVar("E", bound=Event)

CUSTOMER = b"00000000b4d65521"
READ_FIELDS = b"c=read,t=basic,d=20000,units=2,spread=2,first=1"
ORDER_FIELDS = b"c=order,t=basic,d=20000,k=5c0f6e1a2b3d4c59"
CHARGE_FIELDS = b"c=charge,t=basic,d=20000"
SETTINGS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "me": 0,
    "domain": {"counter": True, "counter_timeout_ms": 5000.0, "max_units": 6},
    "limits": {
        "attempts_cap": 4,
        "retry_after": True,
        "max_retry_after_ms": 500.0,
        "max_open": 1000,
        "conn_idle_ms": 15000.0,
        "connect_timeout_ms": 5000.0,
    },
    "packages": [{"name": "basic", "per_second": 1000.0, "most_at_once": 4000.0}],
    "profiles": [
        {"name": "read", "repeat": "read_like", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
        {
            "name": "order",
            "repeat": "idempotency_key",
            "group": "all",
            "memory_span_ms": 2000.0,
            "aim_ms": 5000.0,
            "hard_limit_ms": 20000.0,
        },
        {"name": "charge", "repeat": "non_idempotent", "aim_ms": 5000.0, "hard_limit_ms": 20000.0},
    ],
    "safety": {"cold_from": 0.25, "warm_after_ms": 18000.0, "drain_grace_ms": 250.0},
}
ENCODED_REQUEST = b"*4\r\n$8\r\nCALL.GET\r\n$16\r\n%b\r\n$1\r\n9\r\n$%d\r\n%b\r\n" % (
    CUSTOMER,
    len(READ_FIELDS),
    READ_FIELDS,
)
OK_RESPONSE = b"*3\r\n$5\r\nvalue\r\n*-1\r\n$20\r\ninflight=7,queue=2.5\r\n"


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on uvloop, as the gateway does; the timeout only keeps a broken test from hanging."""
    uvloop.run(asyncio.wait_for(scenario, 60.0))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)


class FakeServer:
    """A TCP server on loopback; subclasses implement `serve`, which handles one connection."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


async def read_commands(reader: asyncio.StreamReader) -> AsyncIterator[list[bytes]]:
    """Iterate over the commands received on a connection."""
    parser = hiredis.Reader()
    while data := await reader.read(65536):
        parser.feed(data)
        while (words := parser.gets()) is not False:
            yield words


Reply = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[bytes | None]]


class FakeRespServer(FakeServer):
    """Answers each command with what `reply` returns; None leaves it unanswered.

    `log` holds "command" and "closed" events in order, each with the number of its connection, from 1.
    """

    def __init__(self, reply: Reply) -> None:
        super().__init__()
        self.reply = reply
        self.log: list[tuple[str, int, list[bytes]]] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = len(self.writers)
        try:
            async for words in read_commands(reader):
                self.log.append(("command", number, words))
                reply = await self.reply(words, writer)
                if reply is not None:
                    writer.write(reply)
        finally:
            self.log.append(("closed", number, []))

    def received_commands(self) -> list[list[bytes]]:
        """Return the commands received, without pings."""
        return [words for what, _, words in self.log if what == "command" and words != [b"PING"]]


def always_reply(reply: bytes | None) -> Reply:
    """Reply the same to every command."""

    async def constant_reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        return reply

    return constant_reply


def reply_once_released(release: asyncio.Event) -> Reply:
    """Reply to every command with an OK response, once the event is set."""

    async def reply(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await release.wait()
        return OK_RESPONSE

    return reply


class FakeDiscovery(FakeServer):
    """Discovery: each request gets the next of `responses`, or waits until a test appends it."""

    def __init__(self, *responses: bytes) -> None:
        super().__init__()
        self.responses = list(responses)
        self.targets: list[str] = []
        self.request_times: list[float] = []  # of the loop

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.targets.append(head.split(b" ")[1].decode())
            self.request_times.append(asyncio.get_running_loop().time())
            number = len(self.targets) - 1
            await wait_until(lambda: len(self.responses) > number)  # noqa: B023  # awaited in this iteration
            writer.write(self.responses[number])


def http_response(body: bytes, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


def endpoint_list_response(version: int, rows: list[dict[str, Any]], full: bool = True) -> bytes:
    return http_response(json.dumps({"version": version, "full": full, "servers": rows}).encode())


def server_row(server: str, port: int, state: str = "Ready", started_ms: float = 0.0) -> dict[str, Any]:
    return {
        "id": server,
        "addr": f"127.0.0.1:{port}",
        "zone": "a",
        "kind": "m",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": started_ms,
    }


class RespClient:
    """A client's connection to a RESP server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.parser = hiredis.Reader()

    @classmethod
    async def connect(cls, port: int) -> RespClient:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def send(self, *words: bytes) -> None:
        self.writer.write(hiredis.pack_command(words))  # type: ignore[arg-type]

    async def read_reply(self) -> Any:
        """Return the next reply; None at the end of the stream."""
        while (reply := self.parser.gets()) is False:
            data = await self.reader.read(65536)
            if not data:
                return None
            self.parser.feed(data)
        return reply

    async def execute(self, *words: bytes) -> Any:
        self.send(*words)
        return await self.read_reply()

    async def closed_by_gateway(self) -> bool:
        """Tell whether the gateway closes the connection without sending anything more."""
        try:
            return not await self.reader.read(1)
        except ConnectionError:
            return True


class ScriptedPolicy:
    """A policy made by a test: `decide` turns each event into actions. All events are kept."""

    def __init__(self, decide: Callable[[Event], list[Action]]) -> None:
        self.decide = decide
        self.events: list[Event] = []
        self.inside = False

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        assert not self.inside, "the policy was called from within a call"
        self.inside = True
        self.events.append(event)
        try:
            return self.decide(event)
        finally:
            self.inside = False

    def events_of(self, kind: type[E]) -> list[E]:
        return [event for event in self.events if isinstance(event, kind)]


def forward_to(server: str, timeout_ms: float = 0.0) -> Callable[[Event], list[Action]]:
    """Decide to send each request once to one server, and to fail it if that does not succeed."""

    def decide(event: Event) -> list[Action]:
        if isinstance(event, Request):
            return [StartAttempt(event.request_id, server, timeout_ms)]
        if isinstance(event, AttemptCompleted) and not event.request_completed:
            return [Fail(event.request_id)]
        return []

    return decide


def forwarding_policy(server: str = "s0") -> ScriptedPolicy:
    """Return a policy that sends each request once to one server."""
    return ScriptedPolicy(forward_to(server))


class RunningGateway:
    """A gateway with its fake peers."""

    def __init__(
        self, process: GatewayProcess, servers: list[FakeRespServer], counter: FakeRespServer
    ) -> None:
        self.process, self.servers, self.counter = process, servers, counter

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


def raw_config(discovery: int, counter: int, rows: list[dict[str, Any]], listen: int = 1) -> dict[str, Any]:
    """Return a configuration as the platform writes it."""
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "counter": f"127.0.0.1:{counter}",
        "seed": "8c1f30d27a5be964",
        "settings": SETTINGS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"version": 1, "full": True, "servers": rows},
    }


def gateway_config(discovery: int, counter: int, rows: list[dict[str, Any]], **changes: Any) -> GatewayConfig:
    """Return the same, decoded, with changes; the gateway listens on a free port."""
    decoded = decode_config(raw_config(discovery, counter, rows), {})
    return replace(decoded, listen_address=("127.0.0.1", 0), **changes)


@asynccontextmanager
async def running_gateway(
    *replies: Reply,
    policy: Policy | None = None,
    counter: Reply | None = None,
    discovery: FakeDiscovery | None = None,
    **changes: Any,
) -> AsyncIterator[RunningGateway]:
    """Run a gateway that is ready, with servers s0, s1, ..., one for each reply.

    `changes` are fields of `GatewayConfig`.
    """
    totals: dict[bytes, float] = {}

    async def increment(words: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        if words[0] == b"PING":
            return b"+PONG\r\n"
        totals[words[1]] = totals.get(words[1], 0.0) + float(words[2])
        text = repr(totals[words[1]]).encode()
        return b"$%d\r\n%b\r\n" % (len(text), text)

    servers = [FakeRespServer(reply) for reply in replies]
    counter_server = FakeRespServer(counter or increment)
    for peer in (*servers, counter_server):
        await peer.start()
    rows = [server_row(f"s{i}", peer.port) for i, peer in enumerate(servers)]
    discovery = discovery or FakeDiscovery(endpoint_list_response(1, rows))
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
        peers: list[FakeServer] = [*servers, counter_server, discovery]
        for fake in peers:
            await fake.stop()
