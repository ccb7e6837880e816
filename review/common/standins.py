"""Stand-ins for the gateways' peers, written from the protocol page, and the start of real gateways.

Only the standard library is used. All sockets are on 127.0.0.1, all times are `time.monotonic` unless said
otherwise. The stand-ins behave like a sound server, counter, discovery agent or client where the page is
silent.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"


def encode_bulk(value: bytes) -> bytes:
    """Encode a RESP2 bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def encode_command(*words: bytes) -> bytes:
    """Encode a RESP2 command."""
    return b"*%d\r\n%b" % (len(words), b"".join(encode_bulk(word) for word in words))


async def read_command(reader: asyncio.StreamReader) -> list[bytes] | None:
    """Read one command, an array of bulk strings; None at the end of the stream or for anything else."""
    try:
        header = await reader.readline()
        if not header.startswith(b"*"):
            return None
        words = []
        for _ in range(int(header[1:])):
            length = await reader.readline()
            if not length.startswith(b"$"):
                return None
            word = await reader.readexactly(int(length[1:]) + 2)
            words.append(word[:-2])
        return words
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return None


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply: a status or error line as sent, a bulk string as ``$`` and its content.

    Raises ConnectionError if the stream ends before the reply is whole.
    """
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the connection ended without a whole answer")
    if not line.startswith(b"$") or line.startswith(b"$-"):
        return line[:-2]
    try:
        content = await reader.readexactly(int(line[1:]) + 2)
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection ended within an answer") from None
    return b"$" + content[:-2]


class Record:
    """The record of a run: one line an event, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line."""
        self._file.write(f"{time.monotonic() - self._started:9.4f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Append a line and print it."""
        self.write(text)
        print(text, flush=True)


@dataclass
class Attempt:
    """A request that came to a server. `fields` are those that the gateway sent."""

    server: str
    request_id: str
    fields: dict[str, str]
    arrived: float
    connection: int


@dataclass
class Server:
    """A sound server with some cores and a queue. `service_s` draws the time that a request works."""

    name: str
    service_s: Callable[[Attempt], float]
    cores: int = 2
    queue_length: int = 32
    attempts: list[Attempt] = field(default_factory=list)
    on_attempt: Callable[[Attempt], None] | None = None
    port: int = 0
    connections: int = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._free = asyncio.Semaphore(self.cores)
        self._held = 0
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; commands are answered in order."""
        self.connections += 1
        connection = self.connections
        try:
            while (words := await read_command(reader)) is not None:
                writer.write(await self._answer(words, connection))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, words: list[bytes], connection: int) -> bytes:
        verb = words[0].upper()
        if verb == b"PING":
            return b"+PONG\r\n"
        if verb in (b"CLIENT", b"SELECT"):
            return b"+OK\r\n"
        if verb not in (b"CALL.GET", b"CALL.POST") or len(words) < 4:
            return b"-ERR unknown command\r\n"
        fields = dict(pair.split("=", 1) for pair in words[3].decode().split(","))
        attempt = Attempt(self.name, words[2].decode(), fields, time.monotonic(), connection)
        self.attempts.append(attempt)
        if self.on_attempt is not None:
            self.on_attempt(attempt)
        if self._held >= self.cores + self.queue_length:
            return b"-BUSY\r\n"
        self._held += 1
        try:
            async with self._free:
                await asyncio.sleep(self.service_s(attempt))
        finally:
            self._held -= 1
        return b"*3\r\n" + encode_bulk(b"value of " + words[2]) + b"$-1\r\n$-1\r\n"


class Counter:
    """A sound counter: totals by name, which are forgotten when their life is over."""

    def __init__(self, delay_s: float = 0.001) -> None:
        self.delay_s = delay_s
        self.calls = 0
        self.port = 0
        self._totals: dict[bytes, tuple[float, float]] = {}  # total and end of life by name

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (words := await read_command(reader)) is not None:
                if words[0].upper() == b"INCRTTL" and len(words) == 4:
                    self.calls += 1
                    await asyncio.sleep(self.delay_s)
                    writer.write(encode_bulk(b"%.7g" % self._add(words[1], float(words[2]), float(words[3]))))
                elif words[0].upper() == b"PING":
                    writer.write(b"+PONG\r\n")
                else:
                    writer.write(b"-ERR no such call\r\n")
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _add(self, name: bytes, amount: float, life_ms: float) -> float:
        now = time.monotonic()
        total, ends = self._totals.get(name, (0.0, 0.0))
        if ends <= now:
            total, ends = 0.0, now + min(life_ms, 60_000.0) / 1000.0
        self._totals[name] = total + amount, ends
        return total + amount


class Discovery:
    """A sound discovery agent: the whole list, and watches that wait for a newer version."""

    def __init__(self) -> None:
        self.version = 1
        self.rows: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}  # version of the last change by id
        self.port = 0
        self._news = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, name: str, port: int, state: str = "Ready", started_ms: float = 0, zone: str = "a") -> None:
        """Add a server or change its entry."""
        self.version += 1
        self.changed[name] = self.version
        self.rows[name] = {
            "id": name,
            "addr": f"{HOST}:{port}",
            "zone": zone,
            "kind": "std-2c",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }
        self._news.set()
        self._news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [row for row in self.rows.values() if row["state"] != "Gone"]
        return {"version": self.version, "full": True, "servers": listed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = json.dumps(await self._answer(head.split(b" ")[1].decode())).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
        if "since" not in query:
            return self.whole()
        since = int(query["since"])
        ends = time.monotonic() + min(float(query.get("timeout_ms", 0)), 60_000.0) / 1000.0
        while self.version <= since and (left := ends - time.monotonic()) > 0:
            news = self._news
            try:
                await asyncio.wait_for(news.wait(), left)
            except TimeoutError:
                break
        rows = [row for name, row in self.rows.items() if self.changed[name] > since]
        return {"version": self.version, "full": False, "servers": rows}


def reserve_port() -> socket.socket:
    """Bind a free port of the loopback interface; no other program gets it while the socket is open.

    A gateway can listen on it, since both sockets set SO_REUSEADDR and this one does not listen.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((HOST, 0))
    return reservation


class Gateway:
    """A real gateway, started with the `run` command of the deploy file."""

    def __init__(self, name: str, directory: Path) -> None:
        self.name = name
        self._reservation = reserve_port()
        self.port = int(self._reservation.getsockname()[1])
        self.log_path = directory / f"{name}.log"
        self._config_path = directory / f"{name}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def configure(self, config: dict[str, Any]) -> None:
        """Write the configuration file, with the gateway's own name and listen address."""
        identity = {"name": self.name, "listen": f"{HOST}:{self.port}"}
        temporary = self._config_path.with_suffix(".new")
        temporary.write_text(json.dumps({**config, **identity}))
        temporary.rename(self._config_path)

    def start(self) -> None:
        """Start the process; `run` ends by `exec`, so that its pid is the gateway's."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        with self.log_path.open("ab") as output:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env={**environ, "EDGE_CONFIG": str(self._config_path)},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    async def wait_until_ready(self) -> None:
        """Wait until the gateway answers PING, as the front does; raises RuntimeError after 30 s."""
        ends = time.monotonic() + 30.0
        while time.monotonic() < ends and self.is_running():
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode_command(b"PING"))
                reply = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if reply == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} did not become ready")

    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process, if it runs, and reap it."""
        if self.process is not None:
            if self.is_running():
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


@dataclass
class Answer:
    """How a request of a client ended; `reply` is empty if the connection ended without a whole answer."""

    request_id: str
    sent: float
    ended: float
    reply: bytes

    @property
    def served(self) -> bool:
        """Whether the client got the value that a server made for this request."""
        return self.reply == b"$value of " + self.request_id.encode()

    @property
    def kind(self) -> str:
        """The kind of the answer in a word."""
        if self.served:
            return "served"
        if self.reply.startswith(b"$"):
            return "wrong-value"
        if self.reply.startswith(b"-BUSY"):
            return "refused"
        return "failed" if self.reply else "lost"


class Front:
    """A sound client of one gateway: it keeps its connections and opens more when all of them are busy."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter, float]] = []

    async def call(
        self, verb: bytes, customer: str, request_id: str, fields: str, patience_s: float
    ) -> Answer:
        """Send one request and wait for its answer; a connection that waits in vain is closed.

        A request that crosses the end of a resting connection is sent once more on a new connection.
        """
        command = encode_command(verb, customer.encode(), request_id.encode(), fields.encode())
        sent = time.monotonic()
        for resting in (True, False):
            try:
                reader, writer = await self._connection(resting)
            except OSError:
                continue
            try:
                writer.write(command)
                left = max(0.001, sent + patience_s - time.monotonic())
                reply = await asyncio.wait_for(read_reply(reader), left)
            except TimeoutError:
                writer.close()
                return Answer(request_id, sent, time.monotonic(), b"")
            except OSError:
                writer.close()
                continue
            self._idle.append((reader, writer, time.monotonic()))
            return Answer(request_id, sent, time.monotonic(), reply)
        return Answer(request_id, sent, time.monotonic(), b"")

    async def _connection(self, resting: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        while resting and self._idle:
            reader, writer, _ = self._idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(HOST, self.port)


def settings(gateways: int, index: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of one gateway: the example of the wire page, with the given top-level changes."""
    return {
        "areas": ["a"],
        "balancers": gateways,
        "client_habits": {"marks_retry": False},
        "domain": {
            "count_fee": 0.02,
            "counter": True,
            "counter_timeout_ms": 80.0,
            "mail_per_s": 0.0,
            "max_units": 8,
            "meter_ms": 0.0,
            "post_paid": False,
        },
        "family": "gate",
        "layer": 0,
        "limits": {
            "attempts_cap": 5,
            "cancel": True,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "max_open": 20000,
            "max_retry_after_ms": 500.0,
            "max_streams": 100,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "me": index,
        "membership_mode": "automatic",
        "my_zone": "a",
        "packages": [
            plan("basico", 1.8, 16.0, 0.55),
            plan("estudio", 2.1, 16.0, 0.8),
            plan("profesional", 7.5, 43.0, 1.3),
            plan("institucional", 17.0, 35.0, 1.4, ceiling_rate=35.0, hard_burst=73.0, ceiling_slack=8.0),
        ],
        "profiles": [request_class("valuacion", "read_like")],
        "reporting": {"fields": [], "how": "silent"},
        "safety": {
            "answer_slack_ms": 8.0,
            "ask_within_ms": 10000.0,
            "cold_from": 0.17,
            "drain_grace_ms": 250.0,
            "fall_ms": 3000.0,
            "overload_factor": 3.0,
            "warm_after_ms": 18000.0,
        },
        "skus": ["std-2c"],
        "tick_ms": 2.0,
        "tiers": ["tasadores"],
        "weight_kind": "rough",
        **changes,
    }


def plan(name: str, rate: float, burst: float, price: float, **more: float) -> dict[str, Any]:
    """Return a plan of the settings."""
    base = {"ceiling_rate": 0.0, "hard_burst": 0.0, "ceiling_slack": 0.0, "excess_worth": 0.0, "max_out": 0}
    quota = {"name": name, "per_second": rate, "most_at_once": burst, "price": price, "beyond_costs": 0.6}
    return {**base, **quota, **more}


def request_class(name: str, repeat: str, **more: Any) -> dict[str, Any]:
    """Return a request class of the settings."""
    base = {"aim_ms": 1000.0, "hard_limit_ms": 2500.0, "importance": 1.0, "late_worth": 0.0, "stream": False}
    return {**base, "name": name, "repeat": repeat, "group": "all", "memory_span_ms": 5000.0, **more}


def gateway_config(
    discovery: Discovery, counter: Counter, own: dict[str, Any], sockets: int
) -> dict[str, Any]:
    """Return a gateway's configuration without its name and listen address."""
    return {
        "discovery": f"{HOST}:{discovery.port}",
        "counter": f"{HOST}:{counter.port}",
        "seed": f"{random.getrandbits(63):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": discovery.whole(),
        "settings": own,
    }


def trouble() -> bool:
    """Whether the disruption of the case is played."""
    return os.environ.get("TROUBLE", "1") != "0"


async def stop_tasks() -> None:
    """Cancel all other tasks: the connections of the stand-ins."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def exit_status(directory: Path, play: Callable[[Record], Coroutine[Any, Any, bool]]) -> int:
    """Play a case with its record; return 0 if the rule held, 1 if it was broken, 2 if it couldn't run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # the processes started are ended on the way out
    record = Record(directory / "record.txt")
    try:
        held = asyncio.run(play(record))
    except Exception as error:
        record.say(f"the case couldn't run: {type(error).__name__}: {error}")
        return 2
    record.say("the rule held" if held else "the rule was broken")
    return 0 if held else 1
