"""What the commands that run a trial share: from checked arguments to an exit status."""

from __future__ import annotations

import logging
import sys
from collections.abc import Sequence
from pathlib import Path

import structlog
import typer

from . import report, results
from .load import LoadPlan
from .processes import GatewayError
from .rig import Shape
from .trial import SignalError, check_output, run, trial, warn
from .troubles import Trouble, TroubleError


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
