"""What the commands that run a trial share: from checked arguments to an exit status."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import typer

from quota_gateway.lab import results
from quota_gateway.lab.cli.logging_setup import configure_logging
from quota_gateway.lab.load import report
from quota_gateway.lab.load.client import LoadPlan
from quota_gateway.lab.load.fault_injection import Trouble, TroubleError
from quota_gateway.lab.load.gateway_process import GatewayError
from quota_gateway.lab.load.testbed import Shape
from quota_gateway.lab.load.trial import SignalError, check_output, run, trial, warn


def perform(
    shape: Shape, plan: LoadPlan, json: Path | None, detailed: bool, troubles: Sequence[Trouble] = ()
) -> None:
    """Runs a trial, shows and writes what it gave, and exits: 0 after a sound one, else 1; 2 where the result
    can't be written or a trouble can't be shown; 128 and the signal's number after one that ended it."""
    configure_logging()
    try:
        if json is not None:
            check_output(json)
    except OSError as error:
        raise typer.BadParameter(str(error)) from None
    try:
        result = run(trial(shape, plan, detailed, troubles))
        report.show(result, detailed)
        if json is not None:
            results.write(json, result)
    except TroubleError as error:
        raise typer.BadParameter(str(error)) from None
    except (GatewayError, OSError) as error:
        warn(str(error))
        raise typer.Exit(1) from None
    except SignalError as signalled:
        warn(f"ended by {signalled}")
        raise typer.Exit(signalled.status) from None
    raise typer.Exit(0 if result.sound else 1)
