"""Shared helpers for testing the load package: small schedules, and a load on a scripted gateway."""

from __future__ import annotations

import dataclasses
from typing import Any

from quota_gateway.lab.fakes.attempt_log import AttemptLog
from quota_gateway.lab.load.client import OpenLoopClient
from quota_gateway.lab.load.deployment import decode_deployment, gateway_settings
from quota_gateway.lab.load.schedule import LoadSpec, ScheduledRequest, draw_schedule
from quota_gateway.lab.load.summary import LoadSummary
from quota_gateway.settings import Idempotency
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import ReplyFunction, ScriptedRespServer, always_reply

DEPLOYMENT = decode_deployment(gateway_settings(3))


def repeatable_requests(count: int, interval_s: float = 0.0, **changes: Any) -> list[ScheduledRequest]:
    """Return idempotent and keyed requests for gateway 0, at equal intervals.

    Args:
        count: number of requests.
        interval_s: time between the intended send times of consecutive requests.
        **changes: other values for fields of `ScheduledRequest`.
    """
    drawn = draw_schedule(DEPLOYMENT, LoadSpec(1000.0, 1.0))
    repeatable = [each for each in drawn if each.idempotency is not Idempotency.NON_IDEMPOTENT]
    return [
        dataclasses.replace(request, gateway_index=0, offset_s=index * interval_s, **changes)
        for index, request in enumerate(repeatable[:count])
    ]


def encode_value(arguments: list[bytes]) -> bytes:
    """Encode the value for a request, given the arguments of its command."""
    return b"$%d\r\n%b x\r\n" % (len(arguments[2]) + 2, arguments[2])


def run_load(
    reply: ReplyFunction | None, schedule: list[ScheduledRequest], attempt_log: AttemptLog | None = None
) -> LoadSummary:
    """Run a load on a scripted gateway; with `reply` None, the gateway does not listen."""
    summaries: list[LoadSummary] = []

    async def scenario() -> None:
        gateway = ScriptedRespServer(reply or always_reply(None))
        await gateway.start()
        if reply is None:
            await gateway.stop()
        client = OpenLoopClient([("127.0.0.1", gateway.port)], schedule, attempt_log or AttemptLog())
        summaries.append(await client.run())
        await gateway.stop()

    run_scenario(scenario())
    return summaries[0]
