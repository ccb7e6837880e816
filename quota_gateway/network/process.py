"""The lifecycle of a gateway process: start, reload of the configuration, graceful shutdown.

`GatewayProcess` owns the components of the gateway and starts and stops them in order; each component owns
its sockets. All components run in one event loop.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
from collections.abc import Mapping
from dataclasses import replace

from quota_gateway.network.address import Address
from quota_gateway.network.bridge import Policy, PolicyBridge
from quota_gateway.network.client_memory import ClientMemory
from quota_gateway.network.commands import CommandParser, RequestLimits
from quota_gateway.network.config import ConfigError, GatewayConfig, load_config
from quota_gateway.network.counter_client import CounterClient
from quota_gateway.network.descriptors import allocate_descriptors
from quota_gateway.network.discovery.poll_schedule import PollSchedule
from quota_gateway.network.discovery.watch import EndpointWatch
from quota_gateway.network.listener import Listener
from quota_gateway.network.log_setup import log_event
from quota_gateway.network.memory import allocate_memory
from quota_gateway.network.server_pool import PoolLimits, ServerPools, idle_limit_s
from quota_gateway.policy.gateway import Gateway
from quota_gateway.settings import NetworkSettings

# At the start, the longest wait for discovery's endpoint list before the gateway serves with the cached list.
FIRST_LIST_TIMEOUT_S = 0.3
# The listener stays open after SIGTERM, since new connections keep arriving for up to 0.4 s.
ACCEPT_AFTER_SIGTERM_S = 0.5
# SIGKILL follows SIGTERM after at least the longest request deadline, limited to `MAX_COUNTED_DEADLINE_S`,
# plus `KILL_AFTER_DEADLINE_S`. `SHUTDOWN_MARGIN_S` before that, the requests in flight get their final answer
# and new requests are rejected.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_AFTER_DEADLINE_S = 0.7
SHUTDOWN_MARGIN_S = 0.5
REPLY_FLUSH_TIMEOUT_S = 0.2  # longest wait for clients to receive the last replies
DRAIN_CHECK_INTERVAL_S = 0.02
# Garbage collection can be rare: the objects loaded at the start live as long as the process and are frozen.
GC_THRESHOLDS = (20_000, 20, 20)

log = logging.getLogger("quota_gateway")


class GatewayProcess:
    """The components of one gateway, and their lifecycle.

    `policy` replaces the gateway's own policy in tests. `environ` holds the environment variables, which a
    reload uses again.
    """

    def __init__(
        self,
        config: GatewayConfig,
        loop: asyncio.AbstractEventLoop,
        policy: Policy | None = None,
        environ: Mapping[str, str] | None = None,
    ) -> None:
        self.config = config
        self.environ = environ or {}
        self.loop = loop
        settings = config.settings
        descriptors = allocate_descriptors(config.max_sockets)
        self.server_pools = ServerPools(loop, _pool_limits(config.network, descriptors.servers))
        self.counter = self._make_counter(config.counter_address)
        memory = allocate_memory(config.max_memory_bytes)
        max_customers = min(settings.max_customers, memory.customers)
        policy = policy or Gateway(replace(settings, max_customers=max_customers), config.seed)
        client_memory = ClientMemory(memory.client_bytes)
        self.bridge = PolicyBridge(
            loop, policy, self.server_pools, self.counter, client_memory, settings.max_retry_after_ms
        )
        request_limits = RequestLimits(config.network.max_request_units, config.network.max_deadline_ms)
        self.listener = Listener(
            loop,
            self.bridge,
            CommandParser(settings, request_limits),
            client_memory,
            max_connections=descriptors.clients,
            max_refused=descriptors.refused_clients,
        )
        self.endpoint_watch = self._make_endpoint_watch()
        self.stop_requested = asyncio.Event()
        self._started = False  # whether the components run, so that a reload can be applied to them
        self._reload_requested = False  # a SIGHUP was received before

    def _make_endpoint_watch(self) -> EndpointWatch:
        settings = self.config.settings
        sharing_gateways = settings.gateway_count if settings.watch_required else 0
        schedule = PollSchedule(self.loop.time, self.config.seed, sharing_gateways, settings.gateway_index)
        return EndpointWatch(
            self.loop, self.config.discovery_address, self.bridge.endpoint_update_steps, schedule
        )

    def _make_counter(self, address: Address | None) -> CounterClient | None:
        if address is None:
            return None
        return CounterClient(self.loop, address, self.config.settings.counter_timeout_ms / 1000.0)

    async def run(self, early_sighups: list[int]) -> None:
        """Serve until SIGTERM or SIGINT, then shut down.

        `early_sighups` holds the SIGHUPs received before the event loop ran; if there are any, or one arrives
        during the start, the configuration is reloaded once after it. Raises OSError if the listen address
        can't be bound.
        """
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(signal_number, self.stop_requested.set)
        self._reload_requested = bool(early_sighups)
        self.loop.add_signal_handler(signal.SIGHUP, self.request_reload)
        await self.start()
        self._started = True
        if self._reload_requested:
            self.reload()
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        log_event(log, logging.INFO, "gateway_ready", name=self.config.name)
        await self.stop_requested.wait()
        await self.shut_down()
        log_event(log, logging.INFO, "gateway_stopped", name=self.config.name)

    async def start(self) -> None:
        """Start the components, the listener last; raises OSError if the listen address can't be bound.

        The cached endpoint list may be outdated, so the listener starts only after discovery's current list
        has arrived or `FIRST_LIST_TIMEOUT_S` has passed.
        """
        cached = self.config.cached_endpoints
        if cached is not None:
            for _ in self.bridge.endpoint_update_steps(cached):
                await asyncio.sleep(0)
        self.endpoint_watch.start(cached.version if cached is not None else None)
        await _wait_for_event(self.endpoint_watch.first_response, FIRST_LIST_TIMEOUT_S)
        await self.listener.start(*self.config.listen_address)

    def request_reload(self) -> None:
        """Reload the configuration now, or once the components are started."""
        if self._started:
            self.reload()
        else:
            self._reload_requested = True

    def reload(self) -> None:
        """Read the configuration again and apply its addresses of discovery and the counter.

        Any other change takes effect only after a restart; a warning is logged if `_needs_restart` finds one.
        If the new configuration can't be used, the error is logged and the current one stays in force.
        """
        try:
            config = load_config(self.environ)
        except ConfigError as error:
            log_event(log, logging.ERROR, "config_reload_failed", error=error)
            return
        log_event(log, logging.INFO, "config_reloaded")
        if self._needs_restart(config):
            log_event(log, logging.WARNING, "config_change_needs_restart", applied="discovery,counter")
        self.endpoint_watch.move_to(config.discovery_address)
        self._move_counter(config.counter_address)
        self.config = replace(
            self.config,
            discovery_address=config.discovery_address,
            counter_address=config.counter_address,
        )

    def _move_counter(self, address: Address | None) -> None:
        """Use the counter at another address, or none; does nothing if the address is unchanged."""
        if self.counter is None or address is None:
            if self.counter is not None:
                self.counter.close()
            self.counter = self._make_counter(address)
            self.bridge.counter = self.counter
        else:
            self.counter.move_to(address)

    def _needs_restart(self, config: GatewayConfig) -> bool:
        """Return whether the new configuration has changes that a reload doesn't apply.

        Changes of the cached endpoints and of the seed are ignored.
        """
        with_current_addresses = replace(
            config,
            discovery_address=self.config.discovery_address,
            counter_address=self.config.counter_address,
            cached_endpoints=None,
            seed=self.config.seed,
        )
        return with_current_addresses != replace(self.config, cached_endpoints=None)

    async def shut_down(self) -> None:
        """Shut down gracefully before the platform sends SIGKILL.

        New connections are accepted for `ACCEPT_AFTER_SIGTERM_S`. Requests in flight may complete until
        `drain_duration_s` has passed; those left then get their final answer, and all sockets are closed.
        """
        started_at = self.loop.time()
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        self.listener.drain()
        drain_end = started_at + drain_duration_s(self.config.network.max_deadline_ms)
        await self._wait_for_clients(drain_end)
        self.bridge.shut_down()
        await self._wait_for_clients(max(drain_end, self.loop.time()) + REPLY_FLUSH_TIMEOUT_S)
        await self.close()

    async def _wait_for_clients(self, deadline: float) -> None:
        """Wait until no client is connected or the event loop's time reaches `deadline`."""
        while self.listener.connections and self.loop.time() < deadline:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Close all sockets immediately."""
        self.listener.close()
        self.endpoint_watch.close()
        if self.counter is not None:
            self.counter.close()
        self.server_pools.close()
        await asyncio.sleep(0)


def drain_duration_s(max_deadline_ms: float) -> float:
    """Return for how long after SIGTERM requests are carried out, given the longest request deadline."""
    deadline_s = min(MAX_COUNTED_DEADLINE_S, max_deadline_ms / 1000.0)
    return deadline_s + KILL_AFTER_DEADLINE_S - SHUTDOWN_MARGIN_S


def _pool_limits(network: NetworkSettings, max_connections: int) -> PoolLimits:
    return PoolLimits(
        connect_timeout_s=network.connect_timeout_ms / 1000.0,
        max_idle_s=idle_limit_s(network.connection_idle_ms / 1000.0),
        drain_grace_s=network.drain_grace_ms / 1000.0,
        max_connections=max_connections,
    )


async def _wait_for_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait until the event is set or the timeout has passed."""
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
