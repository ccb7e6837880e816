"""The watch on discovery's endpoint list: long polls over one HTTP connection while the process runs.

A watch continues only while each poll follows the previous response at once. After a response timeout, a
rejection or a lost connection the watch is restarted from the version held, on a new connection. A snapshot
is requested only if no version is held or a response contained no usable list: each list entry that a shared
discovery service sends costs it work, and if all gateways kept requesting snapshots it would be too busy to
answer any of them.
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

CONNECT_TIMEOUT_S = 0.3  # a new attempt is sooner than the kernel's retransmission of a lost SYN after 1 s
LIST_PATH = "/v1/servers"
HTTP_OK = 200
HTTP_SERVICE_UNAVAILABLE = 503


class EndpointWatch:
    """Fetches the endpoint list and watches it for changes, with one connection and one timer at a time.

    `on_update` receives each update and returns the steps that apply it. The watch exhausts them; if the list
    is long, it yields to the event loop after each step. Failed polls and connections are retried and never
    reported to the caller.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        on_update: Callable[[VersionedUpdate], Iterable[None]],
        schedule: PollSchedule,
    ) -> None:
        self.first_response = asyncio.Event()  # set after the first readable response
        self.connection: HttpConnection | None = None  # events of earlier connections are ignored
        self._loop = loop
        self._address = address
        self._on_update = on_update
        self._schedule = schedule
        self._version: int | None = None  # version of the list held; None: the next poll requests a snapshot
        self._polled_at = 0.0
        self._connect_task: asyncio.Task[None] | None = None
        # Tasks that parse and apply long lists, in the order in which the lists arrived.
        self._list_tasks: list[asyncio.Task[None]] = []
        # Fires at the response timeout, the next poll or the next attempt to connect.
        self._timer: asyncio.TimerHandle | None = None

    def start(self, version: int | None = None) -> None:
        """Connect, then poll for changes since `version`; None stands for the version held."""
        if version is not None:
            self._version = version
        self._connect_task = self._loop.create_task(self._connect())

    def move_to(self, address: Address) -> None:
        """Watch discovery at another address; does nothing if the address is unchanged.

        The first poll there requests a snapshot, since versions of the old discovery are meaningless to the
        new one. The list held stays in use until the snapshot arrives.
        """
        if address == self._address:
            return
        self._stop()
        self._address = address
        self._version = None
        self._schedule.discovery_moved()
        self.start()

    def close(self) -> None:
        """Stop the watch permanently."""
        self._stop()

    def poll(self) -> None:
        """Send the next poll; the connection is aborted if the response does not arrive in time."""
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
        self._set_timer(self._schedule.response_timeout_s(), self._time_out)
        connection.get(f"{self._address[0]}:{self._address[1]}", target)

    def on_response(self, connection: HttpConnection, status: int, body: bytes) -> None:
        """Apply the list in a response; retry if the response holds none."""
        if connection is not self.connection:
            return
        if status == HTTP_SERVICE_UNAVAILABLE:
            self._abandon_connection()
            self._retry(self._schedule.delay_after_rejection_s, self.start)
        elif status == HTTP_OK and len(body) > INCREMENTAL_PARSE_MIN_BYTES:
            self._list_tasks.append(self._loop.create_task(self._apply_in_steps(connection, body)))
        else:
            self._apply(status, body)

    def on_connection_closed(self, connection: HttpConnection) -> None:
        """Schedule the next attempt to connect after a connection was lost or could not be made."""
        if connection is not self.connection:
            return
        self.connection = None
        self._retry(self._schedule.delay_after_failure_s, self.start)

    async def _connect(self) -> None:
        connection = HttpConnection(
            lambda status, body: self.on_response(connection, status, body),
            lambda: self.on_connection_closed(connection),
        )
        self.connection = connection
        connection_attempt = self._loop.create_connection(lambda: connection, *self._address)
        try:
            await asyncio.wait_for(connection_attempt, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError):
            self.on_connection_closed(connection)
            return
        self.poll()

    def _apply(self, status: int, body: bytes) -> None:
        """Parse and apply a short list at once; request a snapshot if the response holds no usable list."""
        try:
            if status != HTTP_OK:
                raise EndpointListError(f"expected HTTP status {HTTP_OK}, got {status}")
            versioned = self._check_applicable(parse_endpoint_list(json.loads(body)))
        except (ValueError, RecursionError):
            self._retry_with_snapshot()
            return
        for _ in self._apply_update(versioned):
            pass
        self._continue_from(versioned, confirmed_at=self._loop.time())

    async def _apply_in_steps(self, connection: HttpConnection, body: bytes) -> None:
        """Parse and apply a long list, yielding to the event loop after each step.

        If the connection ends with the response, a later list may arrive on the next connection meanwhile.
        This task is then cancelled once the later list is applied.
        """
        received_at = self._loop.time()
        parser = IncrementalListParser(body)
        try:
            for _ in parser.steps():
                await asyncio.sleep(0)
            versioned = self._check_applicable(parser.result())
        except EndpointListError:
            if connection is self.connection:
                self._retry_with_snapshot()
            return
        for _ in self._apply_update(versioned):
            await asyncio.sleep(0)
        if connection is self.connection:
            # The list lacks changes that discovery has received while the list was being parsed.
            self._continue_from(versioned, confirmed_at=received_at)
        else:
            self._version = versioned.version  # the next poll is sent on a later connection

    def _cancel_earlier_lists(self) -> None:
        """Cancel the tasks of lists that arrived before the one that is about to be applied.

        Their remaining steps would overwrite newer changes with older ones. Nothing of them is missed: polls
        ask for the changes since the list that was held before them.
        """
        current = asyncio.current_task(self._loop)
        while self._list_tasks and self._list_tasks[0] is not current:
            self._list_tasks.pop(0).cancel()

    def _check_applicable(self, versioned: VersionedUpdate) -> VersionedUpdate:
        """Return the update; raises `EndpointListError` for a delta to another list than the one held.

        Versions only grow. A delta with a lower version than the one held comes from a discovery process that
        has started anew at the address, and what changed before it is unknown.
        """
        if versioned.update.kind is UpdateKind.SNAPSHOT:
            return versioned
        if self._version is None:
            raise EndpointListError("expected a snapshot, got a delta without a list to apply it to")
        if versioned.version < self._version:
            raise EndpointListError(f"expected at least version {self._version}, got {versioned.version}")
        return versioned

    def _apply_update(self, versioned: VersionedUpdate) -> Iterable[None]:
        """Return the steps that apply an update; none for a delta that changes nothing."""
        is_empty_delta = not versioned.update.endpoints and versioned.update.kind is not UpdateKind.SNAPSHOT
        if self._version is not None and is_empty_delta:
            return ()
        self._cancel_earlier_lists()
        return self._on_update(versioned)

    def _continue_from(self, versioned: VersionedUpdate, confirmed_at: float) -> None:
        """Schedule the poll for changes since an update that has been applied."""
        self._version = versioned.version
        has_no_endpoints = not versioned.update.endpoints
        response_time_s = self._loop.time() - self._polled_at
        delay_s = self._schedule.delay_after_response_s(has_no_endpoints, response_time_s)
        self._schedule.poll_succeeded(confirmed_at)
        self.first_response.set()
        self._set_timer(delay_s, self.poll)

    def _retry_with_snapshot(self) -> None:
        """Request a snapshot after an unusable response: only the list before it is known for certain.

        The connection may end with the response, so the next poll is sent on a new one.
        """
        self._version = None
        self._abandon_connection()
        self._retry(self._schedule.delay_after_failure_s, self.start)

    def _time_out(self) -> None:
        """Start the watch anew after a poll without a response."""
        self._abandon_connection()
        self._retry(self._schedule.delay_after_timeout_s, self.start)

    def _abandon_connection(self) -> None:
        """Abort the connection and ignore its further events."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()

    def _retry(self, compute_delay_s: Callable[[], float], action: Callable[[], None]) -> None:
        """Record a failed poll and schedule `action` after the computed delay."""
        delay_s = compute_delay_s()
        self._schedule.poll_failed()
        self._set_timer(delay_s, action)

    def _set_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        """Cancel the current timer and start another."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, action)

    def _stop(self) -> None:
        """Cancel the timer and the tasks, and abort the connection."""
        if self._timer is not None:
            self._timer.cancel()
        if self._connect_task is not None:
            self._connect_task.cancel()
        for task in self._list_tasks:
            task.cancel()
        self._list_tasks = []
        self._abandon_connection()
