"""Real gateways and the stand-ins around them on loopback, for as long as a run lasts."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Any

import msgspec

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.fakes.counter import CounterModel, FakeCounter
from quota_gateway.lab.fakes.discovery import FakeDiscovery, ListedServer
from quota_gateway.lab.fakes.loopback_server import LoopbackServer
from quota_gateway.lab.fakes.server import FakeServer, ServerModel
from quota_gateway.lab.load import deployment as site
from quota_gateway.lab.load.gateway_process import GatewayProcess

MOST_GATEWAYS = 32
MOST_SERVERS = 500


@dataclass(frozen=True, slots=True)
class Shape:
    """What is started."""

    gateways: int = 1
    servers: int = 4
    model: ServerModel = field(default_factory=ServerModel)
    counter: CounterModel = field(default_factory=CounterModel)
    seed: int = 1

    def __post_init__(self) -> None:
        if not 1 <= self.gateways <= MOST_GATEWAYS:
            raise ValueError(f"gateways must be 1 to {MOST_GATEWAYS}, not {self.gateways}")
        if not 1 <= self.servers <= MOST_SERVERS:
            raise ValueError(f"servers must be 1 to {MOST_SERVERS}, not {self.servers}")


class Rig:
    """Starts everything on entry and ends everything that it started on the way out, however that is taken.

    Raises GatewayError if a gateway doesn't come up, OSError if there is no port or no folder.
    """

    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.ledger = AttemptLog()
        self.servers = [
            FakeServer(f"s{number}", shape.model, self.ledger, shape.seed * MOST_SERVERS + number)
            for number in range(shape.servers)
        ]
        self.counter = FakeCounter(shape.counter, shape.seed)
        self.discovery = FakeDiscovery(shape.seed)
        self.gateways: list[GatewayProcess] = []
        self._folder: tempfile.TemporaryDirectory[str] | None = None

    async def __aenter__(self) -> Rig:
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.stop()

    async def _start(self) -> None:
        for endpoint in self._endpoints():
            await endpoint.start()
        for server in self.servers:
            self.discovery.put(ListedServer(server.name, server.address))
        self._folder = tempfile.TemporaryDirectory(prefix="quota-gateway-")
        for number in range(self.shape.gateways):
            gateway = GatewayProcess(f"gateway-{number}", Path(self._folder.name))
            self.gateways.append(gateway)
            gateway.start(self.config(number))
        await self._ready()

    async def _ready(self) -> None:
        waits = [asyncio.ensure_future(gateway.ready()) for gateway in self.gateways]
        try:
            await asyncio.gather(*waits)
        finally:
            for wait in waits:
                wait.cancel()

    def _endpoints(self) -> list[LoopbackServer]:
        return [*self.servers, self.counter, self.discovery]

    def config(self, number: int) -> dict[str, Any]:
        """A gateway's configuration (DEPLOY), but for its name and address."""
        return {
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": f"{self.shape.seed * MOST_GATEWAYS + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": msgspec.to_builtins(self.discovery.snapshot()),
            "settings": site.settings(self.shape.gateways, number),
        }

    async def stop(self) -> None:
        """Ends the gateways as a planned restart does, then the stand-ins. May be called again."""
        try:
            for gateway in self.gateways:
                gateway.terminate()
            await asyncio.gather(*(gateway.ended() for gateway in self.gateways))
        finally:
            for gateway in self.gateways:
                gateway.kill()  # where the wait itself was broken off
            for endpoint in self._endpoints():
                await endpoint.stop()
            if self._folder is not None:
                self._folder.cleanup()
