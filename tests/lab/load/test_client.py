"""The open-loop client with misbehaving gateways: outcomes, losses, and latency from intended send times."""

from __future__ import annotations

import asyncio

import pytest

from quota_gateway.lab.load import client as client_module
from quota_gateway.lab.load.request_record import LossReason, RequestOutcome
from quota_gateway.lab.load.summary import LATE_REPLY_MARGIN_S
from tests.lab.load.harness import encode_value, repeatable_requests, run_load
from tests.network.scripted_peers import always_reply


def test_the_load_does_not_wait_for_replies_and_a_stall_counts_from_the_intended_send_time() -> None:
    received: list[bytes] = []
    all_received = asyncio.Event()

    async def stall(arguments: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        received.append(arguments[2])
        if len(received) == 40:
            await asyncio.sleep(0.1)  # stalls the last request for 0.1 s and all earlier ones for longer
            all_received.set()
        await all_received.wait()
        return encode_value(arguments)

    summary = run_load(stall, repeatable_requests(40, interval_s=0.005))
    assert summary.counts[RequestOutcome.SERVED] == 40
    latency = summary.latency[RequestOutcome.SERVED]
    assert latency.min_us >= 99_000  # latency of the last request
    assert latency.max_us >= 290_000  # latency of the first request, sent 195 ms before the last
    assert latency.percentile_us(50.0) >= 190_000


@pytest.mark.parametrize(
    ("reply", "outcome", "reason"),
    [
        (b"-BUSY 20\r\n", RequestOutcome.REJECTED_WITH_RETRY_AFTER, None),
        (b"-BUSY\r\n", RequestOutcome.REJECTED, None),
        (b"-BUSY soon\r\n", RequestOutcome.FAILED, None),
        (b"-ERR failed\r\n", RequestOutcome.FAILED, None),
        (b"$-1\r\n", RequestOutcome.FAILED, None),
        (b"$6\r\nother \r\n", RequestOutcome.LOST, LossReason.WRONG_VALUE),
        (b"?", RequestOutcome.LOST, LossReason.CONNECTION_CLOSED),
        (None, RequestOutcome.LOST, LossReason.NO_REPLY),
    ],
)
def test_how_each_reply_counts(
    reply: bytes | None,
    outcome: RequestOutcome,
    reason: LossReason | None,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(client_module, "REPLY_GRACE_S", 0.01)
    deadline_s = 0.05 if reply is None else 5.0
    summary = run_load(always_reply(reply), repeatable_requests(1, deadline_s=deadline_s))
    assert summary.counts[outcome] == 1 == summary.request_count
    assert summary.losses == ({reason: 1} if reason else {})


def test_a_gateway_that_does_not_listen_loses_all_requests() -> None:
    assert run_load(None, repeatable_requests(3)).losses == {LossReason.NO_CONNECTION: 3}


def test_a_reply_past_the_deadline_is_late() -> None:
    async def reply_late(arguments: list[bytes], writer: asyncio.StreamWriter) -> bytes:
        await asyncio.sleep(LATE_REPLY_MARGIN_S + 0.05)
        return encode_value(arguments)

    summary = run_load(reply_late, repeatable_requests(1, deadline_s=0.01))
    assert summary.counts[RequestOutcome.SERVED] == summary.late == 1
