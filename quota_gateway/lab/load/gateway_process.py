"""Real gateways as child processes: started, measured by the kernel's accounting, and always ended."""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import structlog

from quota_gateway.lab.fakes.loopback_server import LOOPBACK

START_TIMEOUT_S = 15.0  # a start takes a tenth of a second; on a crowded machine it may take long
# From SIGTERM; PROTOCOL counts the longest deadline as at least 3 s, and adds 0.7 s.
SHUTDOWN_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.01
PING_TIMEOUT_S = 1.0
PR_SET_PDEATHSIG = 1  # prctl(2)
LOG_TAIL_CHARACTERS = 300  # of its log that an error quotes
CONFIG_VARIABLE_PREFIX = "EDGE_"  # DEPLOY, "What a gateway is told"
NANOSECONDS_PER_SECOND = 1e9
KIB_PER_MIB = 1024.0

log = structlog.get_logger()


class GatewayError(RuntimeError):
    """A gateway that did not start; the text is one line."""


def _terminate_with_parent() -> None:
    """Have the kernel send SIGTERM to the gateway when this process dies, however it does (Linux only).

    Runs between fork and exec, while this process has one thread.
    """
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def reserve_port() -> socket.socket:
    """Bind a loopback port that the kernel chooses, and reserve it until the socket is closed.

    A gateway can listen on it meanwhile, as both sides set SO_REUSEADDR and this one does not listen.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


class GatewayProcess:
    """One gateway, from its start to its end. `directory` holds its configuration and its log."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.exit_status: int | None = None  # None while it runs
        self.killed = False
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._config_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that it listens on."""
        return LOOPBACK, self.port

    def start(self, config: dict[str, Any]) -> None:
        """Write the configuration and start the program. Raises OSError if that is not possible."""
        own = {"name": self.name, "listen": f"{LOOPBACK}:{self.port}"}
        self._config_path.write_text(json.dumps({**config, **own}))
        environ = {
            name: value for name, value in os.environ.items() if not name.startswith(CONFIG_VARIABLE_PREFIX)
        }
        with open(self._log_path, "wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "quota_gateway.network"],
                env={**environ, "EDGE_CONFIG": str(self._config_path)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_terminate_with_parent,
            )
        log.debug("gateway started", gateway=self.name, pid=self._process.pid, port=self.port)

    async def wait_until_ready(self) -> None:
        """Wait until it answers PING. Raises GatewayError if it exits before or takes too long."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while not await self._answers_ping():
            if self.is_running() and time.monotonic() < give_up_at:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            what = "did not answer" if self.is_running() else f"ended with status {self.exit_status}"
            raise GatewayError(f"{self.name} {what}: {self.log_tail()}")

    async def _answers_ping(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await asyncio.wait_for(reader.readline(), PING_TIMEOUT_S) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def is_running(self) -> bool:
        """Whether the process runs; its exit status is kept once it does not."""
        if self._process is not None and self.exit_status is None:
            self.exit_status = self._process.poll()
        return self._process is not None and self.exit_status is None

    def log_tail(self) -> str:
        """Return the end of its log on one line."""
        text = self._log_path.read_text(errors="replace") if self._log_path.exists() else ""
        return " ".join(text.split())[-LOG_TAIL_CHARACTERS:] or "nothing in its log"

    def cpu_time_s(self) -> float | None:
        """Return the CPU time of its threads so far; None where the kernel does not report it."""
        try:
            paths = list(Path(f"/proc/{self._pid}/task").glob("*/schedstat"))
            nanoseconds = sum(int(path.read_text().split()[0]) for path in paths)
        except (OSError, ValueError, IndexError):
            return None
        return nanoseconds / NANOSECONDS_PER_SECOND if paths else None

    def peak_memory_mib(self) -> float | None:
        """Return its peak resident memory so far; None where the kernel does not report it."""
        try:
            status = Path(f"/proc/{self._pid}/status").read_text()
            (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
            return int(line.split()[1]) / KIB_PER_MIB
        except (OSError, ValueError, IndexError):
            return None

    @property
    def _pid(self) -> int:
        return self._process.pid if self._process is not None else -1

    def terminate(self) -> None:
        """Ask it to shut down, with SIGTERM."""
        self._port_reservation.close()
        if self._process is not None and self.is_running():
            self._process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self) -> None:
        """Wait for its exit after `terminate`, and kill it if that takes too long."""
        give_up_at = time.monotonic() + SHUTDOWN_TIMEOUT_S
        while self.is_running() and time.monotonic() < give_up_at:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.kill()

    def kill(self) -> None:
        """Kill it if it still runs, and reap it."""
        self._port_reservation.close()
        if self._process is not None and self.is_running():
            self.killed = True
            self._process.kill()
            self.exit_status = self._process.wait()
