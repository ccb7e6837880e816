"""Runs test scenarios in an event loop. Scenarios wait for conditions instead of fixed times."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on uvloop, as the gateway does. The timeout only keeps a failing test from hanging."""
    uvloop.run(asyncio.wait_for(scenario, 60.0))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition is true, without a timeout of its own."""
    while not condition():
        await asyncio.sleep(0.002)
