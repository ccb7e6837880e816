"""Stand-ins for the second review: servers, counter, discovery, clients, and gateways as child processes.

Everything is standard library and listens on loopback. The stand-ins follow the protocol page; where it is
silent, they act like sound peers. A case changes their behaviour through the hooks `Server.handler` and
`Discovery.silent` only.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
BROKEN, HELD, NOT_RUN = 1, 0, 2
NULLS = b"$-1\r\n$-1\r\n"


def trouble() -> bool:
    """Return whether the case plays its disruption (TROUBLE=0 leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


def reserve_port() -> socket.socket:
    """Bind a free port on loopback; nobody else is given it until the socket is closed.

    A gateway can listen on it meanwhile: both sockets set SO_REUSEADDR, and this one does not listen.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


def bulk(value: bytes) -> bytes:
    """Encode a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(value), value)


def command(*words: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n%b" % (len(words), b"".join(bulk(word) for word in words))


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return a line without its end; raises EOFError at the end of the stream."""
    line = await reader.readuntil(b"\r\n")
    return line[:-2]


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Return a RESP2 message: bytes, int, None, a list, or ("+"/"-", text) for a status or an error."""
    line = await read_line(reader)
    kind, rest = line[:1], line[1:]
    if kind in (b"+", b"-"):
        return kind.decode(), rest.decode("latin-1")
    number = int(rest)
    if kind == b":":
        return number
    if kind == b"$":
        if number < 0:
            return None
        return (await reader.readexactly(number + 2))[:-2]
    if kind == b"*":
        return None if number < 0 else [await read_message(reader) for _ in range(number)]
    raise ValueError(f"not RESP: {line!r}")


def fields_of(words: list[bytes]) -> dict[str, str]:
    """Return the names and values of a request."""
    pairs = (pair.partition("=") for pair in words[3].decode("latin-1").split(","))
    return {name: value for name, _, value in pairs}


class Record:
    """What was sent, answered and run, in the order of time; `write` makes record.txt."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "record.txt"
        self.start = time.monotonic()
        self.lines: list[tuple[float, str]] = []

    def note(self, text: str, at: float | None = None) -> float:
        """Add a line; return its time."""
        now = time.monotonic() if at is None else at
        self.lines.append((now, text))
        return now

    def write(self) -> None:
        """Write the file."""
        with self.path.open("w") as out:
            for at, text in sorted(self.lines, key=lambda line: line[0]):
                out.write(f"{at - self.start:9.4f}  {text}\n")


class Call:
    """One attempt at a server: the command, its connection and the time of its last byte."""

    def __init__(self, server: Server, words: list[bytes], writer: asyncio.StreamWriter, nth: int) -> None:
        self.server, self.words, self.writer, self.nth = server, words, writer, nth
        self.at = time.monotonic()
        self.id = words[2].decode("latin-1")
        self.fields = fields_of(words)

    def value(self) -> bytes:
        """Return the value that this server makes for this request."""
        return f"value {self.id} {self.server.name}".encode()

    def good(self) -> bytes:
        """Return a good answer."""
        return b"*3\r\n" + bulk(self.value()) + NULLS


Handler = Callable[[Call], Awaitable[bytes | None]]


class Server:
    """A server: requests of a connection are begun as they come and answered in order.

    `handler` returns the answer, or None for silence. The default takes `work_s` for each request on one of
    the cores.
    """

    def __init__(self, record: Record, name: str, work_s: float = 0.05, cores: int = 2) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self.cores = asyncio.Semaphore(cores)
        self.handler: Handler = self.work
        self.calls: list[Call] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self, port: int = 0) -> Server:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, port or self.port, limit=1 << 20)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def work(self, call: Call) -> bytes | None:
        """Work on a request, then answer it."""
        async with self.cores:
            await asyncio.sleep(self.work_s)
        return call.good()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        last: asyncio.Task[None] | None = None
        nth = 0
        try:
            while True:
                words = await read_message(reader)
                name = words[0].upper()
                if name not in (b"CALL.GET", b"CALL.POST"):
                    writer.write(b"+PONG\r\n" if name == b"PING" else b"-NOPERM\r\n")
                    continue
                call = Call(self, words, writer, nth)
                nth += 1
                self.calls.append(call)
                self.record.note(f"run     {self.name} {call.id} d={call.fields.get('d')}", call.at)
                last = asyncio.get_running_loop().create_task(self.answer(call, last))
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, call: Call, before: asyncio.Task[None] | None) -> None:
        """Answer a request after the one before it on its connection."""
        reply = await self.handler(call)
        if before is not None:
            await before
        if reply is not None:
            with contextlib.suppress(OSError):
                call.writer.write(reply)

    async def stop(self) -> None:
        """Stop listening and reset the connections, as a process that ends."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Counter:
    """The counter: totals by name with their lives. `reply` may be replaced to hold back or spoil answers."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.totals: dict[bytes, tuple[float, float]] = {}
        self.port = 0
        self.delay_s = 0.001
        self.silent = False
        self.busy = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> Counter:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                words = await read_message(reader)
                if self.silent:
                    continue
                if words[0].upper() != b"INCRTTL":
                    writer.write(b"+PONG\r\n" if words[0].upper() == b"PING" else b"+OK\r\n")
                    continue
                if self.busy:
                    writer.write(b"-BUSY\r\n")
                    continue
                now = time.monotonic()
                total, ends = self.totals.get(words[1], (0.0, 0.0))
                if ends <= now:
                    total, ends = 0.0, now + min(60_000.0, float(words[3])) / 1000.0
                total += float(words[2])
                self.totals[words[1]] = (total, ends)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(bulk(b"%.7g" % total))
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()


class Discovery:
    """Discovery's agent: the list, and watches that wait for a newer version.

    While `silent`, calls are held; what is held is answered at the return. While `refusing`, it answers 503,
    and calls that it holds end so.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 40
        self.rows: dict[str, tuple[int, dict[str, Any]]] = {}
        self.port = 0
        self.changed = asyncio.Condition()
        self.silent = False
        self.refusing = False
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> Discovery:
        """Listen."""
        self.listener = await asyncio.start_server(self.serve, LOOPBACK, self.port)
        self.port = int(self.listener.sockets[0].getsockname()[1])
        return self

    async def put(self, server_id: str, address: str, state: str = "Ready", started_ms: float = 0.0) -> None:
        """Add or change an entry and wake the watches."""
        self.version += 1
        row = {
            "id": server_id,
            "addr": address,
            "zone": "barracas",
            "kind": "std-2c",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": started_ms,
        }
        self.rows[server_id] = (self.version, row)
        async with self.changed:
            self.changed.notify_all()

    async def set_silent(self, silent: bool) -> None:
        """Fall silent, or return."""
        self.silent = silent
        async with self.changed:
            self.changed.notify_all()

    async def set_refusing(self, refusing: bool) -> None:
        """Begin or end to refuse calls."""
        self.refusing = refusing
        async with self.changed:
            self.changed.notify_all()

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        rows = [row for _, row in self.rows.values() if row["state"] != "Gone"]
        return {"version": self.version, "full": True, "servers": rows}

    def changes(self, since: int) -> dict[str, Any]:
        """Return what changed after a version."""
        rows = [row for version, row in self.rows.values() if version > since]
        return {"version": self.version, "full": False, "servers": rows}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                query = parse_qs(urlsplit(head.split(" ", 2)[1]).query)
                answer = await self.answer(query)
                if self.refusing:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
        except (EOFError, OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def answer(self, query: dict[str, list[str]]) -> dict[str, Any]:
        """Return the answer of a call, once there is one."""
        since = int(query["since"][0]) if "since" in query else None
        wait_s = min(60.0, float(query.get("timeout_ms", ["0"])[0]) / 1000.0)
        async with self.changed:
            with contextlib.suppress(TimeoutError):
                if since is not None:
                    newer = self.changed.wait_for(lambda: self.version > since or self.refusing)
                    await asyncio.wait_for(newer, wait_s)
            await self.changed.wait_for(lambda: not self.silent)
        return self.known() if since is None else self.changes(since)


class Gateway:
    """A gateway as the platform starts it: `run` of the deploy file, from the root of the repository."""

    def __init__(self, bench: Bench, index: int) -> None:
        self.bench, self.index, self.name = bench, index, f"n{index}"
        self.reservation = reserve_port()
        self.port = int(self.reservation.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.config_path = bench.folder / f"{self.name}.json"
        self.log_path = bench.folder / f"{self.name}.log"

    def write_config(self, **changes: Any) -> None:
        """Write the configuration file, in one step."""
        bench = self.bench
        config = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": bench.discovery.address,
            "counter": bench.counter.address,
            "seed": f"{time.time_ns():x}"[-16:],
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": bench.discovery.known(),
            "settings": {**bench.settings, "me": self.index},
            **changes,
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.rename(self.config_path)

    def start(self, **changes: Any) -> None:
        """Write the configuration and start the process."""
        self.write_config(**changes)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment |= {
            "EDGE_CONFIG": str(self.config_path),
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"{LOOPBACK}:{self.port}",
            "EDGE_DISCOVERY": self.bench.discovery.address,
            "TMPDIR": str(self.bench.folder),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def ready(self) -> None:
        """Wait until the gateway answers PING; raises RuntimeError if it does not within 30 s."""
        deadline = time.monotonic() + 30.0
        while time.monotonic() < deadline:
            if self.process is None or self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(command(b"PING"))
                answer = await asyncio.wait_for(read_message(reader), 1.0)
                writer.close()
                if answer == ("+", "PONG"):
                    return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} is not ready: {self.log()[-400:]}")

    def log(self) -> str:
        """Return the log."""
        return self.log_path.read_text(errors="replace") if self.log_path.exists() else ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the gateway."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill and reap the process, and release its port."""
        self.reservation.close()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Bench:
    """One small deployment: gateways, servers, counter and discovery, all ended by `close`."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.record = Record(folder)
        self.settings = settings
        self.folder = Path(tempfile.mkdtemp(prefix="review2-"))
        self.discovery = Discovery(self.record)
        self.counter = Counter(self.record)
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []

    async def open(self, servers: int, gateways: int = 1, work_s: float = 0.05) -> None:
        """Start everything and wait until the gateways are ready."""
        await self.counter.start()
        for number in range(servers):
            server = await Server(self.record, f"s-{number}", work_s).start()
            self.servers.append(server)
            await self.discovery.put(server.name, server.address)
        await self.discovery.start()
        self.gateways = [Gateway(self, index) for index in range(gateways)]
        for gateway in self.gateways:
            gateway.start()
        for gateway in self.gateways:
            await gateway.ready()

    async def close(self) -> None:
        """End all processes, listeners and files, and write the record."""
        for gateway in self.gateways:
            gateway.end()
            for line in gateway.log().splitlines():
                self.record.note(f"log     {gateway.name} {line}", time.monotonic())
        for server in self.servers:
            await server.stop()
        for peer in (self.discovery, self.counter):
            if peer.listener is not None:
                peer.listener.close()
            for writer in list(peer.writers):
                writer.transport.abort()
        self.record.write()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        await asyncio.sleep(0.1)  # for the transports to end
        shutil.rmtree(self.folder, ignore_errors=True)


def plan(name: str, rate: float, burst: float, ceiling: float = 0.0, price: float = 1.0) -> dict[str, Any]:
    """Return a plan; `ceiling` is its multiple of rate and burst."""
    return {
        "name": name,
        "per_second": rate,
        "most_at_once": burst,
        "price": price,
        "max_out": 0,
        "beyond_costs": 0.6,
        "excess_worth": 0.0,
        "ceiling_rate": rate * ceiling,
        "hard_burst": burst * ceiling,
        "ceiling_slack": max(8.0, 0.1 * burst * ceiling) if ceiling else 0.0,
    }


def request_class(name: str, repeat: str, aim_ms: float, deadline_ms: float, **more: Any) -> dict[str, Any]:
    """Return a class of requests."""
    return {
        "name": name,
        "repeat": repeat,
        "aim_ms": aim_ms,
        "hard_limit_ms": deadline_ms,
        "importance": 1.0,
        "late_worth": 0.0,
        "group": "all",
        "memory_span_ms": 5000.0,
        "stream": False,
        **more,
    }


def caba(gateways: int = 2) -> dict[str, Any]:
    """Return settings like those of valuacion-caba."""
    return {
        "areas": ["barracas"],
        "my_zone": "barracas",
        "balancers": gateways,
        "client_habits": {"marks_retry": False},
        "domain": {"counter": True, "counter_timeout_ms": 80.0, "max_units": 8, "meter_ms": 0.0},
        "limits": {
            "attempts_cap": 5,
            "cancel": True,
            "conn_idle_ms": 15000.0,
            "connect_timeout_ms": 250.0,
            "max_open": 20000,
            "max_retry_after_ms": 500.0,
            "max_streams": 100,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
        },
        "membership_mode": "automatic",
        "packages": [
            plan("basico", 1.8, 10.0, price=0.55),
            plan("estudio", 2.1, 10.0, price=0.8),
            plan("profesional", 6.5, 30.0, price=1.3),
            plan("institucional", 16.0, 36.0, ceiling=2.1, price=1.4),
        ],
        "profiles": [request_class("valuacion", "read_like", 1000.0, 2500.0)],
        "reporting": {"fields": [], "how": "silent"},
        "safety": {
            "answer_slack_ms": 8.0,
            "cold_from": 0.2,
            "drain_grace_ms": 250.0,
            "fall_ms": 3000.0,
            "overload_factor": 3.0,
            "warm_after_ms": 18000.0,
        },
        "weight_kind": "rough",
    }


def mendoza(gateways: int = 2) -> dict[str, Any]:
    """Return settings like those of mendoza-sellos: a class that must not run twice, and short deadlines."""
    settings = caba(gateways)
    settings["domain"]["counter_timeout_ms"] = 60.0
    settings["limits"] |= {
        "attempts_cap": 3,
        "conn_idle_ms": 6000.0,
        "max_retry_after_ms": 300.0,
        "second_copies": False,
    }
    settings["packages"] = [
        plan("mostrador", 1.8, 10.0, price=0.7),
        plan("gestor", 2.1, 10.0, price=0.8),
        plan("escribania", 6.5, 30.0, price=1.3),
        plan("registro", 16.0, 36.0, ceiling=2.1, price=1.4),
    ]
    settings["profiles"] = [
        request_class("sellado", "non_idempotent", 600.0, 1100.0, importance=2.5),
        request_class("consulta", "read_like", 500.0, 900.0, late_worth=0.1),
    ]
    settings["safety"]["drain_grace_ms"] = 400.0
    return settings


def get(
    request_id: str,
    customer: int = 1,
    d: int = 2500,
    units: float = 1,
    body: bytes | None = None,
    cls: str = "valuacion",
    plan_name: str = "profesional",
    verb: bytes = b"CALL.GET",
    spread: int = 1,
) -> bytes:
    """Return a request as a client writes it."""
    names = f"c={cls},t={plan_name},d={d},units={units:g},spread={spread},first=0"
    words = [verb, b"%016x" % customer, request_id.encode(), names.encode()]
    return command(*words, *([body] if body is not None else []))


def play(folder: str, settings: dict[str, Any], case: Callable[[Bench], Awaitable[list[str]]]) -> None:
    """Run a case, which returns the breaks it saw; exit with 1, 0 or 2."""

    async def main() -> int:
        bench = Bench(Path(folder), settings)
        try:
            breaks = await asyncio.wait_for(case(bench), 110.0)
        except Exception as error:
            bench.record.note(f"NOT RUN {type(error).__name__}: {error}")
            print(f"not run: {type(error).__name__}: {error}")
            return NOT_RUN
        else:
            for text in breaks:
                bench.record.note(f"BROKEN  {text}")
            verdict = f"broken {len(breaks)} times, first: {breaks[0]}" if breaks else "held"
            print(f"trouble={int(trouble())}: {verdict}")
            return BROKEN if breaks else HELD
        finally:
            await bench.close()

    sys.exit(asyncio.run(main()))
