"""Open-loop load on gateways, without coordinated omission.

The schedule is drawn before the run and does not wait for replies, so requests keep arriving at a gateway
that stalls. Latency is the time from the intended send time of a request to the last byte of its reply. It
therefore includes delays in this client, which `LoadSummary.send_delay` reports.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Sequence

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.load.connections import Completion, GatewayConnectionPool
from quota_gateway.lab.load.request_record import LossReason, RequestOutcome, RequestRecord
from quota_gateway.lab.load.schedule import ScheduledRequest
from quota_gateway.lab.load.summary import LoadSummary

START_DELAY_S = 0.05  # time between the call of `run` and offset 0 of the schedule
REPLY_GRACE_S = 1.0  # a request without a reply counts as lost this long after its deadline


class OpenLoopClient:
    """A client that sends the requests of one schedule.

    Args:
        gateways: host and port of each gateway, in the order of their indexes.
        schedule: the requests, in the order of their offsets.
        attempt_log: the log of the fake servers, read for the summary after the run.
    """

    def __init__(
        self,
        gateways: Sequence[tuple[str, int]],
        schedule: Sequence[ScheduledRequest],
        attempt_log: AttemptLog,
    ) -> None:
        self.stopping = False
        self.completed_count = 0
        self.records = [RequestRecord(request, request.offset_s) for request in schedule]
        self._loop = asyncio.get_running_loop()
        self._attempt_log = attempt_log
        self._summary = LoadSummary()
        self._pools = [GatewayConnectionPool(self, host, port) for host, port in gateways]
        self._all_completed = asyncio.Event()
        self._stop_pacer = threading.Event()
        self._expiry_timers: dict[RequestRecord, asyncio.TimerHandle] = {}

    async def run(self) -> LoadSummary:
        """Send all requests and wait until each has a reply or is lost.

        The run ends at the latest `REPLY_GRACE_S` after the last deadline.
        """
        started_at = time.monotonic() + START_DELAY_S
        for record in self.records:
            record.scheduled_at = started_at + record.request.offset_s
        pacer = threading.Thread(target=self._pace, name="pacer", daemon=True)
        pacer.start()
        try:
            if self.records:
                await self._all_completed.wait()
        finally:
            self.stopping = True
            self._stop_pacer.set()
            pacer.join()
            self._close()
        for record in self.records:
            self._summary.add(record, self._attempt_log)
        return self._summary

    def _pace(self) -> None:
        """Pass each request to the event loop at its intended send time.

        Runs in a thread of its own because a thread can wait more precisely than the event loop, whose timers
        have a resolution of one millisecond.
        """
        for record in self.records:
            wait_s = record.scheduled_at - time.monotonic()
            if wait_s > 0.0 and self._stop_pacer.wait(wait_s):
                return
            self._loop.call_soon_threadsafe(self._send, record)

    def _send(self, record: RequestRecord) -> None:
        if self.stopping:
            return
        expires_at = record.scheduled_at + record.request.deadline_s + REPLY_GRACE_S
        remaining_s = max(0.0, expires_at - time.monotonic())
        self._expiry_timers[record] = self._loop.call_later(remaining_s, self._expire, record)
        self._pools[record.request.gateway_index].send(record)

    def _expire(self, record: RequestRecord) -> None:
        self.complete(record, Completion(RequestOutcome.LOST, LossReason.NO_REPLY), time.monotonic())
        self._pools[record.request.gateway_index].abandon(record)

    def complete(self, record: RequestRecord, completion: Completion, now: float) -> None:
        """Record the outcome of a request; ignored if it already has one."""
        if record.outcome is not RequestOutcome.PENDING:
            return
        record.outcome = completion.outcome
        record.loss_reason = completion.loss_reason
        record.completed_at = now
        timer = self._expiry_timers.pop(record, None)
        if timer is not None:
            timer.cancel()
        self.completed_count += 1
        if self.completed_count == len(self.records):
            self._all_completed.set()

    def count_extra_reply(self) -> None:
        """Count a reply that no request is waiting for."""
        self._summary.extra_replies += 1

    def _close(self) -> None:
        for timer in self._expiry_timers.values():
            timer.cancel()
        for pool in self._pools:
            pool.close()
