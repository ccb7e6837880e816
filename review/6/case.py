"""Case: servers hang for a while in a quiet time; gateways then reject everything before sound servers."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand2"))

from platform2 import LOOPBACK, Bench, Call, caba, get, play, read_message, trouble  # noqa: E402

GATEWAYS = 9
SERVERS = 8
HANGING = 4  # half of the servers: the most that the pages name
QUIET_S = 65.0  # in which each gateway gets a request each 5 to 7 s
REST_S = 3.0  # after the servers have come back
USUAL_S = 15.0
USUAL_PER_S = 10.0  # requests a second for each gateway, all inside the quotas
SPAN_S = 4.0  # a gateway may not reject all that it gets for so long on end
SPAN_REQUESTS = 15  # if it gets at least so many
ALLOWED_SHARE = 0.1  # of the gateways


class Answers:
    """The requests of each gateway: when they were sent, and whether they were refused."""

    def __init__(self) -> None:
        self.sent: dict[int, list[tuple[float, bool]]] = {number: [] for number in range(GATEWAYS)}
        self.count = 0

    async def ask(self, bench: Bench, number: int) -> None:
        """Send one request, of a customer with a full quota, and read its answer."""
        self.count += 1
        name = f"g{number}-{self.count}"
        reader, writer = await asyncio.open_connection(LOOPBACK, bench.gateways[number].port)
        writer.write(get(name, customer=1000 + self.count % 2000, spread=2))
        at = bench.record.note(f"send    {name}")
        answer = await asyncio.wait_for(read_message(reader), 10.0)
        bench.record.note(f"answer  {name} {answer!r}")
        self.sent[number].append((at, isinstance(answer, tuple) and answer[1].startswith("BUSY")))
        writer.close()


def rejects_all(sent: list[tuple[float, bool]], attempts: list[float]) -> float | None:
    """Return the start of a span in which a gateway rejected all it got, without an attempt, or None."""
    for start, _ in sent:
        inside = [refused for at, refused in sent if start <= at < start + SPAN_S]
        attempted = any(start <= at < start + SPAN_S for at in attempts)
        whole = sent[-1][0] >= start + SPAN_S
        if whole and len(inside) >= SPAN_REQUESTS and all(inside) and not attempted:
            return start
    return None


async def case(bench: Bench) -> list[str]:
    """Return the gateways that reject everything, if there are more than the pages allow."""
    await bench.open(servers=SERVERS, gateways=GATEWAYS, work_s=0.05)
    answers = Answers()
    back = asyncio.Event()

    async def hang(call: Call) -> bytes | None:
        await back.wait()
        return call.good()

    async def traffic(number: int, seconds: float, least_s: float, most_s: float) -> None:
        tasks = []
        until = time.monotonic() + seconds
        await asyncio.sleep(random.uniform(0.0, most_s))
        while time.monotonic() < until:
            tasks.append(asyncio.create_task(answers.ask(bench, number)))
            await asyncio.sleep(random.uniform(least_s, most_s))
        await asyncio.gather(*tasks)

    if trouble():
        bench.record.note(f"{HANGING} of {SERVERS} servers hang")
        for server in bench.servers[:HANGING]:
            server.handler = hang
    await asyncio.gather(*(traffic(number, QUIET_S, 5.0, 7.0) for number in range(GATEWAYS)))
    bench.record.note("all servers are sound")
    back.set()
    await asyncio.sleep(REST_S)
    usual = bench.record.note("usual traffic begins")
    pause_s = 1.0 / USUAL_PER_S
    await asyncio.gather(
        *(traffic(number, USUAL_S, 0.5 * pause_s, 1.5 * pause_s) for number in range(GATEWAYS))
    )
    attempts: dict[int, list[float]] = {number: [] for number in range(GATEWAYS)}
    for server in bench.servers:
        for call in server.calls:
            attempts[int(call.id[1:].split("-")[0])].append(call.at)
    breaks = []
    for number in range(GATEWAYS):
        sent = sorted(entry for entry in answers.sent[number] if entry[0] >= usual)
        start = rejects_all(sent, attempts[number])
        if start is not None:
            refused = sum(entry[1] for entry in sent)
            begun = sum(at >= usual for at in attempts[number])
            breaks.append(
                f"n{number} rejected {refused} of {len(sent)} usual requests and began {begun} attempts"
                f" in {USUAL_S:g} s; rejected all from {start - usual:.1f} s on for {SPAN_S:g} s or more"
            )
    return breaks if len(breaks) > ALLOWED_SHARE * GATEWAYS else []


if __name__ == "__main__":
    play(str(HERE), caba(), case)
