"""Tests that a signal ends a run after its clean-up has completed."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from quota_gateway.lab.cli.signals import TERMINATION_SIGNALS, TerminationSignalError, run_until_signal


def test_a_run_without_a_signal_returns_its_result() -> None:
    async def work() -> int:
        await asyncio.sleep(0)
        return 7

    assert run_until_signal(work()) == 7


@pytest.mark.parametrize("number", TERMINATION_SIGNALS)
def test_a_signal_cancels_the_run_and_waits_for_its_clean_up(number: signal.Signals) -> None:
    cleaned_up: list[bool] = []

    async def work() -> None:
        try:
            os.kill(os.getpid(), number)
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0.01)
            cleaned_up.append(True)

    with pytest.raises(TerminationSignalError, match=number.name) as error:
        run_until_signal(work())
    assert error.value.exit_status == 128 + number
    assert cleaned_up == [True]
