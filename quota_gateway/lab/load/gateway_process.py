"""Real gateways as child processes: start, readiness, the kernel's resource accounting, and shutdown."""

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

START_TIMEOUT_S = 15.0  # a start takes about 0.1 s, but far longer on a busy machine
# Time from SIGTERM to SIGKILL. The protocol specification allows a gateway the longest request deadline
# (limited to 3 s) plus 0.7 s.
SHUTDOWN_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.01
PING_TIMEOUT_S = 1.0
PR_SET_PDEATHSIG = 1  # option number, see prctl(2)
LOG_TAIL_CHARACTERS = 300  # length of the end of a gateway's log that an error quotes
CONFIG_VARIABLE_PREFIX = "EDGE_"  # environment variables of a gateway (deployment specification)
NANOSECONDS_PER_SECOND = 1e9
KIB_PER_MIB = 1024.0

log = structlog.get_logger()


class GatewayError(RuntimeError):
    """A gateway did not start. The message is one line."""


def _terminate_with_parent() -> None:
    """Have the kernel send SIGTERM to the gateway when its parent dies for any reason (Linux only).

    Runs in the child between fork and exec. That is safe since the parent has a single thread at this time.
    """
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def reserve_port() -> socket.socket:
    """Bind a loopback port that the kernel chooses, and reserve it until the returned socket is closed.

    A gateway can listen on the reserved port, since both sockets set SO_REUSEADDR and the reserving one does
    not listen.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


class GatewayProcess:
    """One gateway process, from its start to its exit.

    Args:
        name: the gateway's name, also the stem of its file names.
        directory: an existing directory for its configuration file and its log.
    """

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self.exit_status: int | None = None  # None before the start and while the process runs
        self.killed = False  # whether `kill` had to end it with SIGKILL
        self._port_reservation = reserve_port()
        self.port = int(self._port_reservation.getsockname()[1])
        self._config_path = directory / f"{name}.json"
        self._log_path = directory / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that the gateway listens on."""
        return LOOPBACK, self.port

    def start(self, config: dict[str, Any]) -> None:
        """Write the configuration file and start the process.

        Args:
            config: the gateway's configuration without its name and listen address.

        Raises:
            OSError: a file could not be written, or the process could not be started.
        """
        identity = {"name": self.name, "listen": f"{LOOPBACK}:{self.port}"}
        self._config_path.write_text(json.dumps({**config, **identity}))
        inherited_environment = {
            name: value for name, value in os.environ.items() if not name.startswith(CONFIG_VARIABLE_PREFIX)
        }
        with open(self._log_path, "wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "quota_gateway.network"],
                env={**inherited_environment, "EDGE_CONFIG": str(self._config_path)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_terminate_with_parent,
            )
        log.debug("gateway started", gateway=self.name, pid=self._process.pid, port=self.port)

    async def wait_until_ready(self) -> None:
        """Wait until the gateway answers PING. Raises GatewayError if it exits or takes too long."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not await self._answers_ping():
            if self.is_running() and time.monotonic() < deadline:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            if self.is_running():
                failure = f"did not answer PING within {START_TIMEOUT_S:g} s"
            else:
                failure = f"ended with status {self.exit_status}"
            raise GatewayError(f"{self.name} {failure}: {self.log_tail()}")

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
        """Whether the process runs. Records the exit status of a process that has exited."""
        if self._process is not None and self.exit_status is None:
            self.exit_status = self._process.poll()
        return self._process is not None and self.exit_status is None

    def log_tail(self) -> str:
        """Return the end of the gateway's log as one line."""
        text = self._log_path.read_text(errors="replace") if self._log_path.exists() else ""
        return " ".join(text.split())[-LOG_TAIL_CHARACTERS:] or "its log is empty"

    def cpu_time_s(self) -> float | None:
        """Return the CPU time of all threads so far, in seconds; None if the kernel does not report it."""
        try:
            paths = list(Path(f"/proc/{self._pid}/task").glob("*/schedstat"))
            nanoseconds = sum(int(path.read_text().split()[0]) for path in paths)
        except (OSError, ValueError, IndexError):
            return None
        return nanoseconds / NANOSECONDS_PER_SECOND if paths else None

    def peak_memory_mib(self) -> float | None:
        """Return the peak resident memory so far, in MiB; None if the kernel does not report it."""
        try:
            status = Path(f"/proc/{self._pid}/status").read_text()
            (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
            return int(line.split()[1]) / KIB_PER_MIB
        except (OSError, ValueError, IndexError):
            return None

    @property
    def _pid(self) -> int:
        """The process id, or -1 before the start, for which there is no directory in ``/proc``."""
        return self._process.pid if self._process is not None else -1

    def terminate(self) -> None:
        """Send SIGTERM to the process if it runs, and release the reserved port."""
        self._port_reservation.close()
        if self._process is not None and self.is_running():
            self._process.send_signal(signal.SIGTERM)

    async def wait_for_exit(self) -> None:
        """Wait for the exit after `terminate`; kill the process if it takes too long."""
        deadline = time.monotonic() + SHUTDOWN_TIMEOUT_S
        while self.is_running() and time.monotonic() < deadline:
            await asyncio.sleep(POLL_INTERVAL_S)
        self.kill()

    def kill(self) -> None:
        """Kill and reap the process if it still runs, and release the reserved port."""
        self._port_reservation.close()
        if self._process is not None and self.is_running():
            self.killed = True
            self._process.kill()
            self.exit_status = self._process.wait()
