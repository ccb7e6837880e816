"""Runs the scenario of a test in an event loop; waits are for conditions, never for a time to pass."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop


def run_scenario(scenario: Coroutine[Any, Any, None]) -> None:
    """Run a scenario on uvloop, as the gateway does; the timeout only keeps a broken test from hanging."""
    uvloop.run(asyncio.wait_for(scenario, 60.0))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.002)
