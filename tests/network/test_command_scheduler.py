"""Turns for the commands of many connections: none holds up the event loop, and none waits for long."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable

from quota_gateway.network.command_scheduler import (
    ITERATION_BUDGET_S,
    MAX_COMMANDS_PER_TURN,
    MIN_COMMANDS_PER_TURN,
    CommandScheduler,
)
from quota_gateway.network.resp import encode_command
from tests.network.gateway_fixture import forwarding_policy, running_gateway
from tests.network.samples import CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario, wait_until
from tests.network.scripted_peers import RespClient, always_reply
from tests.network.simulated_discovery import ScheduledCall

COMMAND_S = 0.001  # time that a fake command takes


class FakeTime:
    """A clock that only commands advance."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


class FakeLoop:
    """An event loop whose iterations the test runs."""

    def __init__(self) -> None:
        self.iteration = 0
        self.handles: list[ScheduledCall] = []

    def time(self) -> float:
        return float(self.iteration)

    def call_soon(self, callback: Callable[[], None], /) -> ScheduledCall:
        self.handles.append(ScheduledCall(callback, ()))
        return self.handles[-1]

    def run_iteration(self) -> None:
        self.iteration += 1
        handles, self.handles = self.handles, []
        for handle in handles:
            if not handle.cancelled:
                handle.callback()


class FakeConnection:
    """A connection with a number of commands, each of which takes `COMMAND_S`."""

    def __init__(self, scheduler: CommandScheduler, clock: FakeTime, commands: int) -> None:
        self.scheduler = scheduler
        self.clock = clock
        self.commands = commands
        self.finished_at_s = 0.0

    def process_commands(self, max_commands: int) -> None:
        processed = min(self.commands, max_commands)
        self.commands -= processed
        self.clock.now_s += processed * COMMAND_S
        self.finished_at_s = self.clock.now_s
        if self.commands:
            self.scheduler.schedule(self)


def test_an_iteration_is_bounded_however_many_connections_have_commands() -> None:
    """Guards against an event loop held up by a crowd: only the commands of each connection were bounded."""
    clock = FakeTime()
    loop = FakeLoop()
    scheduler = CommandScheduler(loop, clock)
    crowd = [FakeConnection(scheduler, clock, 300) for _ in range(200)]
    for connection in crowd:
        if not scheduler.process(connection):
            scheduler.schedule(connection)
    longest_s = clock.now_s
    for _ in range(200):
        started_s = clock.now_s
        loop.run_iteration()
        longest_s = max(longest_s, clock.now_s - started_s)
    assert longest_s <= ITERATION_BUDGET_S + MAX_COMMANDS_PER_TURN * COMMAND_S
    assert all(connection.commands < 300 for connection in crowd)


def test_a_connection_with_one_command_waits_for_one_round_at_most() -> None:
    """Guards against answers that come late or never while another client sends at full speed."""
    clock = FakeTime()
    loop = FakeLoop()
    scheduler = CommandScheduler(loop, clock)
    for _ in range(100):
        scheduler.schedule(FakeConnection(scheduler, clock, 10_000))
    ordinary = FakeConnection(scheduler, clock, 1)
    assert not scheduler.process(ordinary)
    scheduler.schedule(ordinary)
    while ordinary.commands:
        loop.run_iteration()
    assert ordinary.finished_at_s <= 101 * MIN_COMMANDS_PER_TURN * COMMAND_S


def test_a_closed_connection_gets_no_turn() -> None:
    clock = FakeTime()
    loop = FakeLoop()
    scheduler = CommandScheduler(loop, clock)
    connection = FakeConnection(scheduler, clock, 1)
    scheduler.schedule(connection)
    scheduler.discard(connection)
    loop.run_iteration()
    assert connection.commands == 1


def test_clients_that_send_at_full_speed_take_turns_on_real_connections() -> None:
    """Each of many clients sends hundreds of commands at once; all are answered, evenly."""

    async def scenario() -> None:
        commands = 300
        async with running_gateway(always_reply(OK_RESPONSE), policy=forwarding_policy()) as gateway:
            clients = [await gateway.connect_client() for _ in range(20)]
            answers: Counter[int] = Counter()

            async def read(number: int, client: RespClient) -> None:
                for _ in range(commands):
                    assert await client.read_reply() == b"PONG"
                    answers[number] += 1

            await wait_until(lambda: len(gateway.listener.connections) == len(clients))
            for client in clients:
                client.writer.write(encode_command(b"PING") * commands)
            reading = [asyncio.ensure_future(read(*numbered)) for numbered in enumerate(clients)]
            ordinary = await gateway.connect_client()
            assert await ordinary.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            await asyncio.gather(*reading)
            assert set(answers.values()) == {commands}

    run_scenario(scenario())
