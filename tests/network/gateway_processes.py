"""Helpers that start gateway processes for tests, limit their descriptors, and connect to them."""

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


_reserved_ports: list[socket.socket] = []


def reserve_port() -> int:
    """Return a TCP port of the loopback interface that nothing else gets until the end of the tests.

    A socket stays bound to it, which refuses connections. Like every server of asyncio, a gateway or a
    scripted peer can listen on the port nevertheless, since both sockets allow the address to be reused.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    _reserved_ports.append(reservation)
    return int(reservation.getsockname()[1])


async def start_gateway(
    config_path: Path, before_exec: Callable[[], None] | None = None
) -> asyncio.subprocess.Process:
    """Start a gateway process; `before_exec` runs in the child process before the program."""
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
    """Return a connection to a starting process; retries until the process listens on the port."""
    while True:
        try:
            return await RespClient.connect(port)
        except ConnectionRefusedError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def limited_gateway(
    config_path: Path, max_descriptors: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a gateway process with at most `max_descriptors`; it is killed at the end if it still runs."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max_descriptors, max_descriptors))

    process = await start_gateway(config_path, limit_descriptors)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
