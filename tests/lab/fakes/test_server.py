"""The fake server: its protocol, its queue, and how each injected fault appears to the caller."""

from __future__ import annotations

import pytest

from quota_gateway.lab.fakes.attempt_log import AttemptLog, AttemptOutcome
from quota_gateway.lab.fakes.faults import Fault, FaultKind
from quota_gateway.lab.fakes.server import FakeServer, ServerModel, request_id_of
from tests.lab.fakes.harness import INSTANT, assert_fault_shows, fake_server, run_with_connection
from tests.network.samples import CUSTOMER, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import RespClient

ONE_SLOW_CORE = ServerModel(cores=1, service_ms=60_000.0, variation=0.0, queue_length=1)


def test_a_server_gives_each_request_a_value_and_records_the_attempt() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        value, usage, report = await client.execute(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)
        assert request_id_of(value) == b"r1"
        assert len(value) == server.model.value_bytes
        assert usage is None
        assert report == b"active=0,waiting=0"
        (attempt,) = server.attempt_log.attempts_of(b"r1")
        assert attempt.outcome is AttemptOutcome.SERVED
        assert server.attempt_log.executions(b"r1") == 1
        assert 0.0 <= attempt.time_at_server_s < 1.0

    run_with_connection(fake_server(ServerModel(service_ms=0.0, load_reports=True)), scenario)


@pytest.mark.parametrize(
    ("arguments", "expected_reply"),
    [
        ([b"PING"], "PONG"),
        ([b"CLIENT", b"SETNAME", b"x"], "OK"),
        ([b"INFO", b"load"], "NOPERM"),
        ([b"HELLO", b"3"], "ERR unknown command"),
        ([b"CALL.GET", CUSTOMER, b"r1"], "SYNTAX"),
        ([b"CALL.GET", CUSTOMER, b"r1", b"c=read"], "SYNTAX"),
        ([b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS + b",units=nan"], "SYNTAX"),
    ],
)
def test_a_server_replies_to_commands_that_are_no_request(
    arguments: list[bytes], expected_reply: str
) -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        reply = await client.execute(*arguments)
        assert str(reply if isinstance(reply, Exception) else reply.decode()) == expected_reply
        assert server.attempt_log.malformed_commands == (expected_reply == "SYNTAX")
        assert not server.attempt_log.attempts

    run_with_connection(fake_server(INSTANT), scenario)


def test_a_full_queue_rejects_and_a_disconnected_caller_is_not_served() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        second = await RespClient.connect(server.port)
        third = await RespClient.connect(server.port)
        client.send(b"CALL.GET", CUSTOMER, b"runs", READ_FIELDS)
        await wait_until(lambda: server.attempt_log.attempts_of(b"runs"))
        running = server._running[0]
        second.send(b"CALL.GET", CUSTOMER, b"waits", READ_FIELDS)
        await wait_until(lambda: server.in_flight == 2)
        assert str(await third.execute(b"CALL.GET", CUSTOMER, b"late", READ_FIELDS)) == "BUSY"
        second.writer.close()
        await wait_until(lambda: len(server.connections) == 2)
        server._finish(running)  # does not wait for the service time of 60 s
        assert request_id_of((await client.read_reply())[0]) == b"runs"
        request_ids = (b"runs", b"waits", b"late")
        outcomes = [server.attempt_log.attempts_of(request_id)[0].outcome for request_id in request_ids]
        assert outcomes == [AttemptOutcome.SERVED, AttemptOutcome.ABANDONED, AttemptOutcome.REJECTED]
        assert [server.attempt_log.executions(request_id) for request_id in request_ids] == [1, 0, 0]

    run_with_connection(fake_server(ONE_SLOW_CORE), scenario)


def test_a_draining_server_completes_its_requests_and_rejects_new_ones() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        client.send(b"CALL.GET", CUSTOMER, b"old", READ_FIELDS)
        await wait_until(lambda: server.in_flight)
        server.draining = True
        second = await RespClient.connect(server.port)
        assert str(await second.execute(b"CALL.GET", CUSTOMER, b"new", READ_FIELDS)) == "BUSY"
        assert request_id_of((await client.read_reply())[0]) == b"old"

    run_with_connection(fake_server(ServerModel(service_ms=30.0, variation=0.0)), scenario)


def test_replies_on_a_connection_come_in_the_order_of_its_requests() -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        request_ids = [b"r%d" % number for number in range(20)]
        for request_id in request_ids:
            client.send(b"CALL.GET", CUSTOMER, request_id, READ_FIELDS)
        assert [request_id_of((await client.read_reply())[0]) for _ in request_ids] == request_ids
        attempts = [server.attempt_log.attempts_of(request_id)[0] for request_id in request_ids]
        completed = [attempt.completed_at or 0.0 for attempt in attempts]
        assert completed != sorted(completed)  # the requests ran concurrently

    model = ServerModel(cores=8, service_ms=3.0, variation=1.0, queue_length=20)
    run_with_connection(fake_server(model), scenario)


def test_service_times_are_drawn_from_the_seed_with_the_mean_of_the_model() -> None:
    async def scenario() -> None:
        model = ServerModel(service_ms=4.0)
        servers = [FakeServer("s", model, AttemptLog(), seed) for seed in (7, 7, 8)]
        draws = [[server._draw_service_s(2.0, False) for _ in range(4000)] for server in servers]
        assert draws[0] == draws[1] != draws[2]
        assert sum(draws[0]) / 4000 == pytest.approx(0.008, rel=0.05)

    run_scenario(scenario())


@pytest.mark.parametrize(
    ("kind", "outcome", "executions"),
    [
        ("reset", "broken", 1),
        ("silence", "open", 1),
        ("partial", "broken", 1),
        ("spoilt", "broken", 1),
        ("error", "failed", 1),
        ("unavailable", "busy", 0),
    ],
)
def test_how_each_fault_of_a_server_appears_and_whether_the_request_has_run(
    kind: str, outcome: str, executions: int
) -> None:
    async def scenario(server: FakeServer, client: RespClient) -> None:
        server.faults.inject(Fault(FaultKind(kind)))
        client.send(b"CALL.GET", CUSTOMER, b"r1", READ_FIELDS)
        await assert_fault_shows(client, FaultKind(kind))
        assert server.attempt_log.count_by_outcome() == {outcome: 1}
        assert server.attempt_log.executions(b"r1") == executions

    run_with_connection(fake_server(INSTANT), scenario)
