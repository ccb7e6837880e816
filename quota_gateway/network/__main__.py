"""The program: reads its configuration, starts the parts, and ends on a signal.

Run as ``python -m quota_gateway.network`` with EDGE_CONFIG naming the configuration.
"""

from __future__ import annotations

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from dataclasses import dataclass, replace
from typing import Any

import uvloop

from quota_gateway.network.bridge import Policy, PolicyBridge
from quota_gateway.network.commands import CommandParser, RequestLimits, decode_request_limits
from quota_gateway.network.counter_client import LINKS, Counter
from quota_gateway.network.discovery.watch import Discovery, ListError, News, address, read_list
from quota_gateway.network.listener import MAX_REFUSED_CONNECTIONS, Listener
from quota_gateway.network.log_setup import configure_logging, log_event
from quota_gateway.network.server_pool import PoolLimits, ServerPools, idle_limit_s
from quota_gateway.policy.gateway import Gateway
from quota_gateway.settings import Settings, decode_settings, number_or

LIST_WAIT_S = 0.3  # a start waits this long for the list of the day before it serves by the saved one
ACCEPT_S = 0.5  # after SIGTERM new connections go on coming for up to 0.4 s
# The kill comes no sooner after SIGTERM than the longest deadline, counted as 3 s at most, and 0.7 s more.
# What is still held half a second before that is answered and left, and what still comes is refused.
KILL_S = 0.7
MOST_DEADLINE_S = 3.0
LEAVE_BEFORE_S = 0.5
LINGER_S = 0.2  # for the last replies to leave
# Descriptors that are neither a client's nor a server's: the counter's links, twice while it moves,
# discovery's connection and the next one, the listener, the standard streams, the loop's and a poll's own.
RESERVED = 2 * LINKS + 2 + 1 + 3 + 8
VERSION = "0.1.0"  # as in pyproject.toml: where `run` starts, the package itself is not installed

# Plain text and no argument parser: there is nothing to parse, and importing one would slow every start.
USAGE = """\
usage: python -m quota_gateway.network

One gateway: takes requests over RESP2, keeps customers' quotas over all gateways together, chooses a
server and gives each request one answer. It takes no options; these variables configure it:

  EDGE_CONFIG     path of the JSON configuration (required); it holds "settings" and may hold all that follows
  EDGE_NAME       its name, where the file has no "name"
  EDGE_LISTEN     address and port to listen on (HOST:PORT), where the file has no "listen"
  EDGE_DISCOVERY  address and port of discovery (HOST:PORT), where the file has no "discovery"

SIGHUP reads the addresses in the file again; SIGTERM ends it once what it holds is answered. It logs
to standard error. Exit status: 0 after a planned end, 1 if it can't start, 2 for a bad configuration or
argument.

To try it with stand-ins of servers, counter and discovery on loopback: quota-gateway demo
"""
UNSET = (
    "EDGE_CONFIG is not set: set it to the path of the JSON configuration (see --help), "
    "or run `quota-gateway demo` to try a gateway"
)

log = logging.getLogger("quota_gateway")


@dataclass(frozen=True, slots=True)
class Budget:
    """Descriptors for connections, so many of each kind at most."""

    servers: int
    clients: int
    spare: int  # of clients past that, which are told so and closed


def budget(sockets: int) -> Budget:
    """Shares out the descriptors that a process may hold. The reserved ones are nobody else's: clients that
    fill theirs must not keep discovery, the counter or the servers from getting a connection."""
    rest = sockets - RESERVED
    servers, spare = min(sockets * 3 // 10, rest * 3 // 8), min(MAX_REFUSED_CONNECTIONS, rest // 6)
    return Budget(servers, min(sockets // 2, rest - servers - spare), spare)


class ConfigError(Exception):
    """A configuration that no gateway can run on."""


@dataclass(frozen=True, slots=True)
class Config:
    """What the platform tells a gateway."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    sockets: int
    known: News | None
    settings: Settings
    limits: PoolLimits
    bounds: RequestLimits


def part(raw: dict[str, Any], key: str) -> dict[str, Any]:
    """A nested object, or an empty one."""
    found = raw.get(key)
    return found if isinstance(found, dict) else {}


def load(environ: dict[str, str]) -> Config:
    """The configuration; the single variables count where the file is silent."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError(UNSET)
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"can't read {path}: {error}") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("settings"), dict):
        raise ConfigError(f"{path} holds no settings")
    try:
        return build(raw, environ)
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"bad configuration in {path}: {error}") from None


def build(raw: dict[str, Any], environ: dict[str, str]) -> Config:
    """The parts of the configuration, checked."""
    made = decode_settings(raw["settings"])
    if not made.classes or not made.plans:
        raise ListError("the settings name no classes or no plans")
    limits, safety = part(raw["settings"], "limits"), part(raw["settings"], "safety")
    sockets = int(number_or(part(raw, "limits").get("sockets"), 1024))
    if sockets < 64:
        raise ListError(f"{sockets} sockets are too few")
    return Config(
        name=str(raw.get("name") or environ.get("EDGE_NAME") or "gateway"),
        listen=address(raw.get("listen") or environ.get("EDGE_LISTEN")),
        discovery=address(raw.get("discovery") or environ.get("EDGE_DISCOVERY")),
        counter=address(raw["counter"]) if raw.get("counter") and made.counter_enabled else None,
        seed=int(str(raw.get("seed") or 0), 16),
        sockets=sockets,
        known=read_list(raw["known"], saved=True) if raw.get("known") else None,
        settings=made,
        limits=PoolLimits(
            connect_timeout_s=number_or(limits.get("connect_timeout_ms"), 250.0) / 1000.0,
            idle_s=idle_limit_s(number_or(limits.get("conn_idle_ms"), 15_000.0) / 1000.0),
            drain_grace_s=number_or(safety.get("drain_grace_ms"), 250.0) / 1000.0,
            max_connections=budget(sockets).servers,
        ),
        bounds=decode_request_limits(raw["settings"]),
    )


class Program:
    """One gateway process, from start to end."""

    def __init__(
        self,
        config: Config,
        loop: asyncio.AbstractEventLoop,
        policy: Policy | None = None,
        environ: dict[str, str] | None = None,
    ) -> None:
        self.config = config
        self.environ = environ or {}
        self.loop = loop
        made = config.settings
        self.server_pools = ServerPools(loop, config.limits)
        self.counter = (
            Counter(loop, config.counter, made.counter_timeout_ms / 1000.0) if config.counter else None
        )
        policy = policy or Gateway(made, config.seed)
        self.bridge = PolicyBridge(loop, policy, self.server_pools, self.counter)
        shares = budget(config.sockets)
        self.listener = Listener(
            loop, self.bridge, CommandParser(made, config.bounds), shares.clients, shares.spare
        )
        callers = made.gateway_count if made.watch_required else 0
        self.discovery = Discovery(
            loop,
            config.discovery,
            self.bridge.endpoint_update_steps,
            config.seed,
            callers,
            made.gateway_index,
        )
        self.stopping = asyncio.Event()

    async def run(self, hangups: list[int]) -> None:
        """Serves until told to stop. `hangups` holds the SIGHUPs that came before the loop ran."""
        for sign in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(sign, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.start()
        if hangups:
            self.reload()
        gc.collect()
        gc.freeze()  # what was loaded lives for ever; no collection needs to look at it again
        gc.set_threshold(20_000, 20, 20)
        log_event(log, logging.INFO, "gateway_ready", name=self.config.name)
        await self.stopping.wait()
        await self.leave()
        log_event(log, logging.INFO, "gateway_stopped", name=self.config.name)

    async def start(self) -> None:
        """Brings the parts up; clients come last."""
        if self.config.known is not None:
            for _ in self.bridge.endpoint_update_steps(self.config.known):
                await asyncio.sleep(0)
        self.discovery.start(self.config.known.version if self.config.known is not None else None)
        # The saved list may be old: a moment is given for today's, but no start hangs on discovery.
        await wait(self.discovery.first, LIST_WAIT_S)
        await self.listener.start(*self.config.listen)

    def reload(self) -> None:
        """Reads the configuration again. Its addresses are followed; the rest holds until a restart."""
        try:
            config = load(self.environ)
        except ConfigError as error:
            log_event(log, logging.ERROR, "config_reload_failed", error=error)
            return
        log_event(log, logging.INFO, "config_reloaded")
        if replace(
            config,
            discovery=self.config.discovery,
            counter=self.config.counter,
            known=None,
            seed=self.config.seed,
        ) != replace(self.config, known=None):
            log_event(log, logging.WARNING, "config_change_needs_restart", applied="discovery,counter")
        self.discovery.move(config.discovery)
        if self.counter is not None and config.counter is not None:
            self.counter.move(config.counter)
        self.config = replace(self.config, discovery=config.discovery, counter=config.counter)

    async def leave(self) -> None:
        """A planned end: takes what still comes, finishes what is held, and is gone before the kill."""
        began = self.loop.time()
        await asyncio.sleep(ACCEPT_S)
        self.listener.drain()
        end = began + leave_s(self.config.bounds.max_time_left_ms)
        await self.emptied(end)
        self.bridge.shut_down()
        await self.emptied(max(end, self.loop.time()) + LINGER_S)
        await self.close()

    async def emptied(self, until: float) -> None:
        """Waits until no client is connected, but no longer than to a moment."""
        while self.listener.connections and self.loop.time() < until:
            await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Closes all sockets."""
        self.listener.close()
        self.discovery.close()
        if self.counter is not None:
            self.counter.close()
        self.server_pools.close()
        await asyncio.sleep(0)


def leave_s(longest_ms: float) -> float:
    """How long after SIGTERM requests are still carried out, by the longest deadline of the settings."""
    return min(MOST_DEADLINE_S, longest_ms / 1000.0) + KILL_S - LEAVE_BEFORE_S


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Waits for an event, but not for ever."""
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


async def serve(config: Config, environ: dict[str, str], hangups: list[int]) -> None:
    """Runs the program in the loop that is running."""
    await Program(config, asyncio.get_running_loop(), environ=environ).run(hangups)


def told(arguments: list[str]) -> int:
    """Answers what was asked on the command line; the exit status."""
    if len(arguments) == 1 and arguments[0] in ("-h", "--help"):
        print(USAGE, end="")
    elif arguments == ["--version"]:
        print(f"quota-gateway {VERSION}")
    else:
        print(f"quota-gateway: unknown arguments {' '.join(arguments)!r} (see --help)", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """The exit status."""
    if len(sys.argv) > 1:
        return told(sys.argv[1:])
    hangups: list[int] = []  # without a handler a SIGHUP would end the process, however early it comes
    signal.signal(signal.SIGHUP, lambda number, frame: hangups.append(number))
    configure_logging()
    try:
        environ = dict(os.environ)
        config = load(environ)
    except ConfigError as error:
        print(f"quota-gateway: {error}", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config, environ, hangups))
    except OSError as error:
        print(f"quota-gateway: can't start: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
