"""One trial: real gateways between an open-loop load and the stand-ins, and the figures that it gave."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import math
import os
import signal
import sys
import time
from collections.abc import AsyncIterator, Coroutine, Sequence
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import uvloop
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from quota_gateway.lab.fakes.loopback_server import LOOPBACK
from quota_gateway.lab.load import deployment as site
from quota_gateway.lab.load.client import (
    MEAN_UNITS,
    Load,
    LoadPlan,
    Outcome,
    Request,
    Tally,
    percentiles_ms,
    schedule,
)
from quota_gateway.lab.load.fault_injection import Trouble, Troubles
from quota_gateway.lab.load.quota_audit import audit
from quota_gateway.lab.load.testbed import Rig, Shape

T = TypeVar("T")
FLOOR_S = 2.0  # of load without a gateway, at most, to tell what the tool itself adds
FLOOR_SPARE = 3.0  # times the servers that this load would keep busy
PROGRESS_S = 0.2
SHOWN = (Outcome.SERVED, Outcome.REFUSED_AFTER, Outcome.REFUSED, Outcome.FAILED, Outcome.LOST)


class GatewayFigures(msgspec.Struct):
    """One gateway's share of a trial. None where the kernel does not tell."""

    name: str
    requests: int
    processor_us_per_request: float | None
    memory_mb: float | None  # MiB, the most that was resident
    exit_status: int | None = None
    killed: bool = False  # it did not end in time after SIGTERM
    trouble: str = ""  # the end of its log, where it went before it was told to


class Result(msgspec.Struct):
    """What a trial gave; written as JSON. Times are milliseconds by percentile."""

    format: int
    gateways: list[GatewayFigures]
    servers: int
    rate: float
    seconds: float
    seed: int
    requests: int
    outcomes: dict[str, int]
    losses: dict[str, int]  # by reason
    doubled: int  # answers beyond the one owed
    ran_twice: int  # unsafe requests that servers carried out more than once
    late: int
    sent_again: int
    latency_ms: dict[str, dict[str, float | None]]  # from the intended sending, by outcome
    added_ms: dict[str, float | None]  # latency of served requests less their time at servers
    floor_ms: dict[str, float | None] | None  # the same with no gateway between: what the tool adds
    pacing_ms: dict[str, float | None]  # from the intended sending to the actual one
    counter_calls: int
    counter_turned_away: int
    tool_processor_s: float  # of client and stand-ins together, while the load ran
    attempts: dict[str, int] = msgspec.field(default_factory=dict)  # at servers, by what became of them
    quotas: dict[str, int] = msgspec.field(default_factory=dict)  # how they were kept: see `Quotas`
    troubles: list[str] = msgspec.field(default_factory=list)  # that the stand-ins showed

    @property
    def sound(self) -> bool:
        """Whether each request got its one answer, some were served, and all gateways ended as told."""
        ended = all(each.exit_status == 0 and not (each.killed or each.trouble) for each in self.gateways)
        wrong = self.outcomes[Outcome.LOST.value] + self.doubled + self.ran_twice
        return ended and not wrong and self.outcomes[Outcome.SERVED.value] > 0


async def trial(
    shape: Shape, plan: LoadPlan, floor: bool = False, troubles: Sequence[Trouble] = ()
) -> Result:
    """Runs one trial and ends all that it started. `floor` first measures what the tool itself adds. Raises
    GatewayError or OSError if it can't be run, TroubleError for a trouble that these stand-ins can't show."""
    served = site.read(site.settings(shape.gateways))
    requests = schedule(served, plan)
    rig = Rig(shape)
    planned = Troubles(rig, troubles)
    async with rig:
        least = await _floor(rig, plan) if floor else None
        direct = rig.ledger.count_by_outcome()
        before = [gateway.processor_s() for gateway in rig.gateways]
        began = time.process_time()
        load = Load([gateway.address for gateway in rig.gateways], requests, rig.ledger)
        planned.start()
        try:
            async with _progress(load, len(requests)):
                tally = await load.run()
        finally:
            planned.stop()
        used = time.process_time() - began
        figures = _figures(rig, before, requests)
    for each, gateway in zip(figures, rig.gateways, strict=True):
        each.exit_status, each.killed = gateway.exit_status, gateway.killed
    made = _result(rig, plan, tally, figures, least, used)
    made.attempts = {
        each: count - direct.get(each, 0) for each, count in rig.ledger.count_by_outcome().items()
    }
    made.troubles = [each.text for each in troubles]
    made.quotas = dataclasses.asdict(audit(served, requests, rig.ledger))
    return made


async def _floor(rig: Rig, plan: LoadPlan) -> dict[str, float | None]:
    """The same load sent to servers themselves: what is added then is the tool's own doing. It goes to no
    more of them than carry it, so that connections are as few as to gateways."""
    short = LoadPlan(plan.rate, min(plan.seconds, FLOOR_S), plan.seed + 1)
    requests = schedule(site.read(site.settings(1)), short)
    model = rig.shape.model
    needed = FLOOR_SPARE * plan.rate * MEAN_UNITS * model.service_ms / 1000.0 / model.cores
    servers = rig.servers[: max(len(rig.gateways), math.ceil(needed))]
    for number, request in enumerate(requests):
        request.gateway = number % len(servers)
    tally = await Load([(LOOPBACK, server.port) for server in servers], requests, rig.ledger).run()
    return percentiles_ms(tally.added)


@contextlib.asynccontextmanager
async def _progress(load: Load, total: int) -> AsyncIterator[None]:
    """A bar on standard error while a load runs; none where that is no terminal."""
    columns = (TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeRemainingColumn())
    console = Console(stderr=True)
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as bar:
        task = bar.add_task("requests", total=total)

        async def watch() -> None:
            while True:
                bar.update(task, completed=load.ended)
                await asyncio.sleep(PROGRESS_S)

        watcher = asyncio.ensure_future(watch())
        try:
            yield
        finally:
            watcher.cancel()


def _figures(rig: Rig, before: list[float | None], requests: list[Request]) -> list[GatewayFigures]:
    counts = [0] * len(rig.gateways)
    for request in requests:
        counts[request.gateway] += 1
    made = []
    for gateway, start, count in zip(rig.gateways, before, counts, strict=True):
        now = gateway.processor_s() if gateway.running() else None
        each = None if now is None or start is None or not count else round(1e6 * (now - start) / count, 1)
        trouble = "" if gateway.running() else gateway.log_tail()
        made.append(GatewayFigures(gateway.name, count, each, gateway.memory_mb(), trouble=trouble))
    return made


def _result(
    rig: Rig,
    plan: LoadPlan,
    tally: Tally,
    gateways: list[GatewayFigures],
    floor: dict[str, float | None] | None,
    tool_s: float,
) -> Result:
    return Result(
        format=1,
        gateways=gateways,
        servers=len(rig.servers),
        rate=plan.rate,
        seconds=plan.seconds,
        seed=plan.seed,
        requests=tally.total,
        outcomes={each.value: tally.counts[each] for each in SHOWN},
        losses=tally.losses,
        doubled=tally.doubled,
        ran_twice=tally.ran_twice,
        late=tally.late,
        sent_again=tally.sent_again,
        latency_ms={each.value: percentiles_ms(tally.latency[each]) for each in SHOWN},
        added_ms=percentiles_ms(tally.added),
        floor_ms=floor,
        pacing_ms=percentiles_ms(tally.pacing),
        counter_calls=rig.counter.call_count,
        counter_turned_away=rig.counter.rejected_count,
        tool_processor_s=round(tool_s, 3),
    )


class SignalError(Exception):
    """Ended by a signal; `status` is the exit status that tells which."""

    def __init__(self, number: int) -> None:
        super().__init__(signal.Signals(number).name)
        self.status = 128 + number


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs to the end, or raises SignalError once all that was started has ended after SIGINT or SIGTERM."""
    came: list[int] = []

    async def main() -> T:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None

        def stop(number: int) -> None:
            came.append(number)
            task.cancel()

        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            loop.add_signal_handler(number, stop, number)
        return await work

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())
    except asyncio.CancelledError:
        raise SignalError(came[0] if came else signal.SIGINT) from None


def check_output(path: Path) -> None:
    """Raises OSError if no file can be put at a path, before a run that would end there in vain."""
    if path.is_dir():
        raise IsADirectoryError(f"{path} is a folder")
    if not os.access(path.parent, os.W_OK):
        raise PermissionError(f"can't write into {path.parent}")


def warn(text: str) -> None:
    """One line on standard error."""
    print(f"quota-gateway: {' '.join(text.split())}", file=sys.stderr)
