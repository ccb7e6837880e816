"""What the commands that run a trial share: from checked arguments to an exit status."""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence
from pathlib import Path

import structlog
import typer

from quota_gateway.lab import results
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
    _log_to_standard_error()
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


def _log_to_standard_error() -> None:
    """Standard output is for the result alone."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
