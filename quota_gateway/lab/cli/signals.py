"""Runs a coroutine until it completes or a termination signal arrives."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

Result = TypeVar("Result")
TERMINATION_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
EXIT_STATUS_BASE = 128  # shell convention: exit status 128 + signal number


class TerminationSignalError(Exception):
    """A signal ended the run. The message is the signal's name."""

    def __init__(self, number: int) -> None:
        super().__init__(signal.Signals(number).name)
        self.exit_status = EXIT_STATUS_BASE + number


def run_until_signal(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on a new event loop, and return its result.

    A termination signal cancels the coroutine. Its clean-up completes before the error is raised.

    Raises:
        TerminationSignalError: a signal ended the coroutine.
    """
    received: list[int] = []

    async def main() -> Result:
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None

        def cancel(number: int) -> None:
            received.append(number)
            task.cancel()

        for number in TERMINATION_SIGNALS:
            loop.add_signal_handler(number, cancel, number)
        return await work

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(main())
    except asyncio.CancelledError:
        raise TerminationSignalError(received[0] if received else signal.SIGINT) from None
