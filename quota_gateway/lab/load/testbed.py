"""Real gateways and the fakes of their peers on loopback, for the duration of a trial."""

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
from quota_gateway.lab.fakes.discovery import FakeDiscovery
from quota_gateway.lab.fakes.endpoint_history import ListedServer
from quota_gateway.lab.fakes.loopback_server import LoopbackServer
from quota_gateway.lab.fakes.server import FakeServer, ServerModel
from quota_gateway.lab.load.deployment import GATEWAY_LIMITS, gateway_settings
from quota_gateway.lab.load.gateway_process import GatewayProcess

MAX_GATEWAYS = 32
MAX_SERVERS = 500


@dataclass(frozen=True, slots=True)
class LoopbackTestbedSpec:
    """The number of gateways and servers of a testbed, and the models of the fakes.

    Raises:
        ValueError: a number of gateways or servers is out of range.
    """

    gateway_count: int = 1
    server_count: int = 4
    server_model: ServerModel = field(default_factory=ServerModel)
    counter_model: CounterModel = field(default_factory=CounterModel)
    seed: int = 1

    def __post_init__(self) -> None:
        if not 1 <= self.gateway_count <= MAX_GATEWAYS:
            raise ValueError(f"gateways must be 1 to {MAX_GATEWAYS}, not {self.gateway_count}")
        if not 1 <= self.server_count <= MAX_SERVERS:
            raise ValueError(f"servers must be 1 to {MAX_SERVERS}, not {self.server_count}")


class LoopbackTestbed:
    """An async context manager that starts gateways and fakes on entry and stops all of them on exit.

    If the start fails, everything that has been started is stopped before the error is raised.

    Raises:
        GatewayError: on entry, if a gateway did not start.
        OSError: on entry, if no port or no temporary directory is available.
    """

    def __init__(self, spec: LoopbackTestbedSpec) -> None:
        self.spec = spec
        self.attempt_log = AttemptLog()
        self.servers = [
            FakeServer(f"s{index}", spec.server_model, self.attempt_log, seed=spec.seed * MAX_SERVERS + index)
            for index in range(spec.server_count)
        ]
        self.counter = FakeCounter(spec.counter_model, spec.seed)
        self.discovery = FakeDiscovery(spec.seed)
        self.gateways: list[GatewayProcess] = []
        self._directory: tempfile.TemporaryDirectory[str] | None = None

    @property
    def fakes(self) -> list[LoopbackServer]:
        """The fake servers, counter and discovery."""
        return [*self.servers, self.counter, self.discovery]

    async def __aenter__(self) -> LoopbackTestbed:
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
        for fake in self.fakes:
            await fake.start()
        for server in self.servers:
            self.discovery.put(ListedServer(server.name, server.address))
        self._directory = tempfile.TemporaryDirectory(prefix="quota-gateway-")
        for index in range(self.spec.gateway_count):
            gateway = GatewayProcess(f"gateway-{index}", Path(self._directory.name))
            self.gateways.append(gateway)
            gateway.start(self.gateway_config(index))
        await self._wait_until_ready()

    async def _wait_until_ready(self) -> None:
        readiness_tasks = [asyncio.ensure_future(gateway.wait_until_ready()) for gateway in self.gateways]
        try:
            await asyncio.gather(*readiness_tasks)
        finally:
            for task in readiness_tasks:
                task.cancel()

    def gateway_config(self, index: int) -> dict[str, Any]:
        """Return a gateway's configuration without its name and listen address."""
        return {
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": f"{self.spec.seed * MAX_GATEWAYS + index:016x}",
            "limits": GATEWAY_LIMITS,
            "known": msgspec.to_builtins(self.discovery.endpoints.snapshot()),
            "settings": gateway_settings(self.spec.gateway_count, index),
        }

    async def stop(self) -> None:
        """Shut the gateways down as in a planned restart, then stop the fakes. May be called repeatedly."""
        try:
            for gateway in self.gateways:
                gateway.terminate()
            await asyncio.gather(*(gateway.wait_for_exit() for gateway in self.gateways))
        finally:
            for gateway in self.gateways:
                gateway.kill()  # a cancelled `wait_for_exit` leaves its gateway running
            for fake in self.fakes:
                await fake.stop()
            if self._directory is not None:
                self._directory.cleanup()
