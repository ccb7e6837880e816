"""The figures of a load: added latency and duplicate executions."""

from __future__ import annotations

import dataclasses

from quota_gateway.lab.fakes.attempt_log import Attempt, AttemptLog
from quota_gateway.lab.fakes.server import FakeServer, ServerModel, request_id_of
from quota_gateway.lab.load.client import OpenLoopClient
from quota_gateway.lab.load.request_record import RequestOutcome
from quota_gateway.lab.load.summary import LoadSummary
from quota_gateway.settings import Idempotency
from tests.lab.load.harness import repeatable_requests
from tests.network.scenario import run_scenario


def test_added_latency_leaves_out_the_time_at_servers_and_duplicate_executions_are_counted() -> None:
    async def scenario() -> None:
        attempt_log = AttemptLog()
        server = FakeServer("s0", ServerModel(cores=1, service_ms=40.0, variation=0.0), attempt_log)
        await server.start()
        client = OpenLoopClient([("127.0.0.1", server.port)], repeatable_requests(3), attempt_log)
        try:
            summary = await client.run()
        finally:
            await server.stop()
        assert summary.latency[RequestOutcome.SERVED].max_us > 115_000  # the third queued behind the others
        assert summary.added_latency.count == 3
        assert summary.added_latency.max_us < 80_000
        record = client.records[0]
        record.request = dataclasses.replace(record.request, idempotency=Idempotency.NON_IDEMPOTENT)
        attempt_log.record(Attempt(record.request.request_id, "s1", 0.0, started_at=0.0))
        summary_of_duplicate = LoadSummary()
        summary_of_duplicate.add(record, attempt_log)
        assert summary_of_duplicate.duplicate_executions == 1
        assert request_id_of(b"r1 s0 ..") == b"r1"

    run_scenario(scenario())
