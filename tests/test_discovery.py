"""Discovery under many gateways: what each asks for, and how soon, when all of them ask."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from glenchute.discovery import Discovery, Exchange
from heathglade import interface as api

from .loopback import DiscoveryPeer, Script, http, listing, play, row, site, until


class Loop:
    """A clock that stands, and the calls booked on it."""

    def __init__(self) -> None:
        self.booked: list[float] = []

    def time(self) -> float:
        return 0.0

    def call_later(self, delay: float, then: Callable[..., None], *args: Any) -> Loop:
        self.booked.append(delay)
        return self

    def cancel(self) -> None:
        self.booked.pop()


def turned_away(gateways: int) -> list[float]:
    """When each of the gateways asks again after all were turned away at once."""
    delays = []
    for seed in range(gateways):
        loop = Loop()
        discovery = Discovery(
            cast(asyncio.AbstractEventLoop, loop), ("127.0.0.1", 1), lambda news: None, seed, gateways
        )
        discovery.exchange = Exchange(lambda status, body: None, lambda: None)
        discovery.answered(discovery.exchange, 503, b"")
        delays += loop.booked
    return sorted(delays)


def test_gateways_that_are_turned_away_together_do_not_come_back_together() -> None:
    # All forty came back within a second, and each second after that; no list ever got through.
    delays = turned_away(40)
    assert len(delays) == 40
    assert all(sum(at <= d < at + 1.0 for d in delays) <= 10 for at in delays)


def test_a_few_gateways_come_back_soon() -> None:
    assert turned_away(3)[-1] <= 3.0


def test_none_of_hundreds_stays_away_for_longer_than_it_may() -> None:
    assert turned_away(400)[-1] <= 4 * 10.0  # without having asked after a failed call


def test_an_agent_that_can_not_be_reached_is_tried_again_within_a_drains_grace() -> None:
    # The pause doubled with each try: a drain told at the agent's return was heard of up to 1.5 s later.
    loop = Loop()
    discovery = Discovery(cast(asyncio.AbstractEventLoop, loop), ("127.0.0.1", 1), lambda news: None)
    pauses = []
    for _ in range(8):
        discovery.exchange = Exchange(lambda status, body: None, lambda: None)
        discovery.lost(discovery.exchange)
        pauses += loop.booked
    assert min(pauses) > 0.0 and max(pauses) < 0.2


def test_a_lost_watch_goes_on_from_the_version_held() -> None:
    # A whole list for every gateway, each time, is what kept discovery from answering.
    async def scenario() -> None:
        rows = [row("a", 80), row("b", 81)]
        discovery = DiscoveryPeer(listing(4, rows), http(b"", "503 Service Unavailable"))
        script = Script(lambda event: [])
        async with site(decisions=script, discovery=discovery):
            await until(lambda: len(discovery.targets) == 3)
            discovery.writers[-1].transport.abort()
            await until(lambda: len(discovery.targets) == 4)
            discovery.answers += [b"", listing(5, [row("c", 82)], full=False)]
            await until(lambda: len(script.of(api.ServerList)) == 3)
        since = [target.partition("since=")[2].partition("&")[0] for target in discovery.targets]
        assert since[:4] == ["1", "4", "4", "4"]

    play(scenario())
