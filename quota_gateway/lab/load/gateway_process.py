"""Real gateways as processes: started, measured by what the kernel counts, and always ended."""

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

READY_S = 15.0  # a start takes a tenth of a second; a crowded machine may take long
END_S = 8.0  # from SIGTERM: the longest deadline counts as 3 s, and 0.7 s more
POLL_S = 0.01
PR_SET_PDEATHSIG = 1  # prctl(2)
LOG_TAIL = 300  # characters of its log that an error quotes

log = structlog.get_logger()


class GatewayError(RuntimeError):
    """A gateway that did not start, or went away; the text is one line."""


def _end_with_parent() -> None:
    """Has the kernel send SIGTERM to the gateway when this tool dies, however it does. Linux only; runs
    between fork and exec, while this process has one thread."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGTERM)


def hold_port() -> socket.socket:
    """A loopback port that the kernel chose, kept from others until the socket is closed. A gateway can
    listen on it meanwhile, as both sides set SO_REUSEADDR and this one does not listen."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind((LOOPBACK, 0))
    return holder


class GatewayProcess:
    """One gateway, from its start to its end. `folder` holds its configuration and its log."""

    def __init__(self, name: str, folder: Path) -> None:
        self.name = name
        self.exit_status: int | None = None
        self.killed = False
        self._holder = hold_port()
        self.port = int(self._holder.getsockname()[1])
        self._config = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return LOOPBACK, self.port

    def start(self, config: dict[str, Any]) -> None:
        """Writes the configuration and starts the program. Raises OSError if that can't be done."""
        own = {"name": self.name, "listen": f"{LOOPBACK}:{self.port}"}
        self._config.write_text(json.dumps({**config, **own}))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        with open(self._log, "wb") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "quota_gateway.network"],
                env={**environ, "EDGE_CONFIG": str(self._config)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                preexec_fn=_end_with_parent,
            )
        log.debug("gateway started", gateway=self.name, pid=self._process.pid, port=self.port)

    async def ready(self) -> None:
        """Waits until it answers PING. Raises GatewayError if it ends first or takes too long."""
        end = time.monotonic() + READY_S
        while not await self._pong():
            if self.running() and time.monotonic() < end:
                await asyncio.sleep(POLL_S)
                continue
            what = "did not answer" if self.running() else f"ended with status {self.exit_status}"
            raise GatewayError(f"{self.name} {what}: {self.log_tail()}")

    async def _pong(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(b"*1\r\n$4\r\nPING\r\n")
            return await asyncio.wait_for(reader.readline(), 1.0) == b"+PONG\r\n"
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    def running(self) -> bool:
        """Whether it lives; its exit status is kept once it does not."""
        if self._process is not None and self.exit_status is None:
            self.exit_status = self._process.poll()
        return self._process is not None and self.exit_status is None

    def log_tail(self) -> str:
        """The end of its log on one line."""
        text = self._log.read_text(errors="replace") if self._log.exists() else ""
        return " ".join(text.split())[-LOG_TAIL:] or "nothing in its log"

    def processor_s(self) -> float | None:
        """Processor time of its threads so far; None where the kernel doesn't tell."""
        try:
            paths = list(Path(f"/proc/{self._pid}/task").glob("*/schedstat"))
            return sum(int(path.read_text().split()[0]) for path in paths) / 1e9 if paths else None
        except (OSError, ValueError, IndexError):
            return None

    def memory_mb(self) -> float | None:
        """Its most resident memory so far, in MiB; None where the kernel doesn't tell."""
        try:
            text = Path(f"/proc/{self._pid}/status").read_text()
            (line,) = (line for line in text.splitlines() if line.startswith("VmHWM:"))
            return int(line.split()[1]) / 1024.0
        except (OSError, ValueError, IndexError):
            return None

    @property
    def _pid(self) -> int:
        return self._process.pid if self._process is not None else -1

    def terminate(self) -> None:
        """Asks it to end."""
        self._holder.close()
        if self._process is not None and self.running():
            self._process.send_signal(signal.SIGTERM)

    async def ended(self) -> None:
        """Waits for its end after `terminate`, and kills it if that takes too long."""
        end = time.monotonic() + END_S
        while self.running() and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
        self.kill()

    def kill(self) -> None:
        """Ends it now if it still runs, and collects it."""
        self._holder.close()
        if self._process is not None and self.running():
            self.killed = True
            self._process.kill()
            self.exit_status = self._process.wait()
