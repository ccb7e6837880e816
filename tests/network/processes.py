"""Gateway processes for tests: started, limited, and waited for."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.network.harness import (
    RespClient,
)

ROOT = Path(__file__).resolve().parents[2]


def free_port() -> int:
    """A port that nobody listens on."""
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return int(found.getsockname()[1])


async def start(path: Path, **environ: str) -> asyncio.subprocess.Process:
    """The program as a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "quota_gateway.network",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "EDGE_CONFIG": str(path), **environ},
    )


async def patient(port: int) -> RespClient:
    """A connection to a program that is starting."""
    while True:
        try:
            return await RespClient.connect(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def limited(path: Path, sockets: int) -> AsyncIterator[asyncio.subprocess.Process]:
    """The program with so many descriptors and no more, ended with the test whatever comes of that."""

    def limit() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))

    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "quota_gateway.network",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        preexec_fn=limit,
        env={**os.environ, "EDGE_CONFIG": str(path)},
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
