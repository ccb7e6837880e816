"""The client's connections: pipelining, extra replies, and resent requests."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.load import connections
from quota_gateway.lab.load.request_record import LossReason, RequestOutcome
from tests.lab.load.harness import encode_value, repeatable_requests, run_load
from tests.network.scenario import wait_until


def test_with_all_connections_busy_requests_are_pipelined(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connections, "MAX_CONNECTIONS", 2)
    received: list[bytes] = []

    async def reply_late(arguments: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        received.append(arguments[2])
        await wait_until(lambda: len(received) >= 2)
        return encode_value(arguments)

    assert run_load(reply_late, repeatable_requests(12)).counts[RequestOutcome.SERVED] == 12


def test_a_second_reply_is_counted_and_ends_its_connection() -> None:
    async def reply_twice(arguments: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        return encode_value(arguments) * 2

    summary = run_load(reply_twice, repeatable_requests(5, interval_s=0.01))
    assert summary.counts[RequestOutcome.SERVED] == 5
    assert summary.extra_replies == 5


@pytest.mark.parametrize(
    ("min_idle_s", "forwarded", "served", "losses"),
    [
        (0.0, False, 2, {}),  # an idle close, which may have preceded the request: it is resent
        (0.0, True, 1, {LossReason.CONNECTION_CLOSED_AFTER_FORWARD: 1}),
        (60.0, False, 1, {LossReason.CONNECTION_CLOSED: 1}),  # closed too soon to be an idle close
    ],
)
def test_a_closed_connection_loses_its_request_unless_it_may_have_been_closed_as_idle(
    min_idle_s: float,
    forwarded: bool,
    served: int,
    losses: dict[LossReason, int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(connections, "MIN_IDLE_BEFORE_CLOSE_S", min_idle_s)
    schedule = repeatable_requests(2, interval_s=0.05)
    attempt_log = AttemptLog()
    received: list[bytes] = []

    async def close_on_second(arguments: list[bytes], writer: asyncio.StreamWriter) -> bytes | None:
        received.append(arguments[2])
        if len(received) != 2:
            return encode_value(arguments)
        if forwarded:
            attempt_log.record(Attempt(arguments[2], "s0", 0.0))
        writer.close()
        return None

    summary = run_load(close_on_second, schedule, attempt_log)
    assert summary.counts[RequestOutcome.SERVED] == served
    assert summary.losses == losses
    assert summary.resent == (not min_idle_s)
