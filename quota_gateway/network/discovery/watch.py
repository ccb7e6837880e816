"""The watch on discovery's endpoint list: polls over one HTTP connection for as long as the process runs.

A watch continues only while the next poll follows the last response at once. After silence or a rejection it
begins anew from the version held, on a new connection. A snapshot is requested only where no version is held
or the response could not be parsed: a shared discovery works on every line that it sends, and snapshots
requested again and again by all gateways would keep it too busy to answer any.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable

from quota_gateway.network.address import Address
from quota_gateway.network.discovery.endpoint_list import (
    INCREMENTAL_PARSE_MIN_BYTES,
    EndpointListError,
    IncrementalListParser,
    VersionedUpdate,
    parse_endpoint_list,
)
from quota_gateway.network.discovery.http_connection import HttpConnection
from quota_gateway.network.discovery.poll_schedule import PollSchedule
from quota_gateway.policy_api.endpoints import UpdateKind

CONNECT_TIMEOUT_S = 0.3  # the kernel sends a lost SYN again after 1 s only; a new connection is sooner
LIST_PATH = "/v1/servers"
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class EndpointWatch:
    """Fetches the endpoint list and watches it, on one connection at a time and with one timer.

    `on_update` is given each update and applies it in steps: the watch exhausts what it returns, with other
    work between the steps where the update is long. All failures are handled here, and retried.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_update: Callable[[VersionedUpdate], Iterable[None]],
        schedule: PollSchedule,
    ) -> None:
        self.first_response = asyncio.Event()  # set by the first readable response
        self.connection: HttpConnection | None = None  # events of any other are ignored
        self._loop = loop
        self._address = address
        self._on_update = on_update
        self._schedule = schedule
        self._version: int | None = None  # of the list held; None: a snapshot has to be requested
        self._polled_at = 0.0
        self._connect_task: asyncio.Task[None] | None = None
        self._parse_task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None  # of the response awaited, or of the next poll

    def start(self, version: int | None = None) -> None:
        """Connect and poll for changes since `version`, by default since the version held."""
        if version is not None:
            self._version = version
        self._connect_task = self._loop.create_task(self._connect())

    def move_to(self, address: Address) -> None:
        """Go on at another address.

        A snapshot is requested there, as versions of the old discovery mean nothing to the new one. The list
        held stays in use until it comes.
        """
        if address == self._address:
            return
        self._stop()
        self._address = address
        self._version = None
        self._schedule.discovery_moved()
        self.start()

    def close(self) -> None:
        """Stop for good."""
        self._stop()

    def poll(self) -> None:
        """Send the next poll; a response that does not come in time ends the connection."""
        connection = self.connection
        if connection is None:
            return
        if not connection.is_idle():
            connection.abort()
            self.on_connection_closed(connection)
            return
        self._polled_at = self._loop.time()
        target = LIST_PATH
        if self._version is not None:
            timeout_ms = self._schedule.long_poll_s() * 1000.0
            target += f"?since={self._version}&timeout_ms={timeout_ms:.0f}"
        self._set_timer(self._schedule.response_timeout_s(), connection.abort)
        connection.get(f"{self._address[0]}:{self._address[1]}", target)

    def on_response(self, connection: HttpConnection, status: int, body: bytes) -> None:
        """Apply a list; retry after anything else."""
        if connection is not self.connection:
            return
        if status == HTTP_SERVICE_UNAVAILABLE:
            self.connection = None
            connection.abort()
            self._retry(self._schedule.delay_after_rejection_s, self.start)
        elif status == HTTP_OK and len(body) > INCREMENTAL_PARSE_MIN_BYTES:
            self._parse_task = self._loop.create_task(self._apply_in_steps(connection, body))
        else:
            self._apply(status, body)

    def on_connection_closed(self, connection: HttpConnection) -> None:
        """Reconnect after a connection that is lost or never came up."""
        if connection is not self.connection:
            return
        self.connection = None
        self._retry(self._schedule.reconnect_delay_s, self.start)

    async def _connect(self) -> None:
        connection = HttpConnection(
            lambda status, body: self.on_response(connection, status, body),
            lambda: self.on_connection_closed(connection),
        )
        self.connection = connection
        opening = self._loop.create_connection(lambda: connection, *self._address)
        try:
            await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.on_connection_closed(connection)
            return
        self.poll()

    def _apply(self, status: int, body: bytes) -> None:
        try:
            if status != HTTP_OK:
                raise EndpointListError(f"status {status}")
            update = self._check_applicable(parse_endpoint_list(json.loads(body)))
        except (ValueError, RecursionError):
            self._retry_with_snapshot()
            return
        for _ in self._apply_update(update):
            pass
        self._continue_from(update, confirmed_at=self._loop.time())

    async def _apply_in_steps(self, connection: HttpConnection, body: bytes) -> None:
        """Parse and apply a long list, with other work between the steps."""
        received_at = self._loop.time()
        parser = IncrementalListParser(body)
        try:
            for _ in parser.steps():
                await asyncio.sleep(0)
            update = self._check_applicable(parser.result())
        except EndpointListError:
            if connection is self.connection:
                self._retry_with_snapshot()
            return
        for _ in self._apply_update(update):
            await asyncio.sleep(0)
        if connection is self.connection:
            # Changes that discovery got while the list was parsed are not in it.
            self._continue_from(update, confirmed_at=received_at)
        else:
            self._version = update.version  # the next poll is under way on another connection

    def _check_applicable(self, update: VersionedUpdate) -> VersionedUpdate:
        if self._version is None and update.update.kind is not UpdateKind.SNAPSHOT:
            raise EndpointListError("a delta, but no list to apply it to")
        return update

    def _apply_update(self, update: VersionedUpdate) -> Iterable[None]:
        """Hand an update over, unless it changes nothing; return the steps in which it is applied."""
        empty = not update.update.endpoints and update.update.kind is not UpdateKind.SNAPSHOT
        if self._version is not None and empty:
            return ()
        return self._on_update(update)

    def _continue_from(self, update: VersionedUpdate, confirmed_at: float) -> None:
        """Poll for changes since an update that has been applied."""
        self._version = update.version
        empty = not update.update.endpoints
        delay = self._schedule.delay_after_response_s(empty, self._loop.time() - self._polled_at)
        self._schedule.poll_succeeded(confirmed_at)
        self.first_response.set()
        self._set_timer(delay, self.poll)

    def _retry_with_snapshot(self) -> None:
        """Poll again after a response that can't be used: only the list of before is known for sure."""
        self._version = None
        self._retry(self._schedule.delay_after_malformed_response_s, self.poll)

    def _retry(self, delay_s: Callable[[], float], action: Callable[[], None]) -> None:
        delay = delay_s()
        self._schedule.poll_failed()
        self._set_timer(delay, action)

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Replace the timer."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, action)

    def _stop(self) -> None:
        """Drop timer, tasks and connection."""
        if self._timer is not None:
            self._timer.cancel()
        for task in (self._connect_task, self._parse_task):
            if task is not None:
                task.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()
