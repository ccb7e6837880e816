"""Gateway processes for tests: started, limited in their descriptors, and waited for."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from tests.network.scripted_peers import RespClient

ROOT = Path(__file__).resolve().parents[2]


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


async def start_gateway(
    config_path: Path, before_exec: Callable[[], None] | None = None
) -> asyncio.subprocess.Process:
    """The program as a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "quota_gateway.network",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=before_exec,
        env={**os.environ, "EDGE_CONFIG": str(config_path)},
    )


async def connect_when_listening(port: int) -> RespClient:
    """A connection to a program that is starting."""
    while True:
        try:
            return await RespClient.connect(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def limited_gateway(
    config_path: Path, max_descriptors: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    """The program with so many descriptors and no more, killed at the end if it still runs."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    process = await start_gateway(config_path, limit_descriptors)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
