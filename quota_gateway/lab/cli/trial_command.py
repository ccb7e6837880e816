"""What the commands that run a trial share: from checked arguments to an exit status."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import typer

from quota_gateway.lab import results
from quota_gateway.lab.cli.errors import print_error
from quota_gateway.lab.cli.logging_setup import configure_logging
from quota_gateway.lab.cli.signals import TerminationSignalError, run_until_signal
from quota_gateway.lab.load.gateway_process import GatewayError
from quota_gateway.lab.load.report import print_report
from quota_gateway.lab.load.schedule import LoadSpec
from quota_gateway.lab.load.scheduled_fault import ScheduledFault, ScheduledFaultError
from quota_gateway.lab.load.testbed import LoopbackTestbedSpec
from quota_gateway.lab.load.trial import run_trial
from quota_gateway.lab.load.trial_result import TrialResult

EXIT_PASSED = 0
EXIT_FAILED = 1


def run_trial_command(
    testbed_spec: LoopbackTestbedSpec,
    load_spec: LoadSpec,
    output_path: Path | None,
    *,
    detailed: bool,
    faults: Sequence[ScheduledFault] = (),
) -> None:
    """Run a trial, print and write its result, and exit.

    Raises:
        typer.BadParameter: the result cannot be written there, or a fault cannot be shown (exit status 2).
        typer.Exit: always otherwise, with status 0 after a trial that passed, 1 after one that did not, and
            128 and the signal's number after one that a signal ended.
    """
    configure_logging()
    try:
        if output_path is not None:
            results.check_output_path(output_path)
    except OSError as error:
        raise typer.BadParameter(str(error)) from None
    try:
        result = run_until_signal(run_trial(testbed_spec, load_spec, detailed, faults))
        _deliver(result, output_path, detailed)
    except ScheduledFaultError as error:
        raise typer.BadParameter(str(error)) from None
    except (GatewayError, OSError) as error:
        print_error(str(error))
        raise typer.Exit(EXIT_FAILED) from None
    except TerminationSignalError as error:
        print_error(f"ended by {error}")
        raise typer.Exit(error.exit_status) from None
    raise typer.Exit(EXIT_PASSED if result.passed else EXIT_FAILED)


def _deliver(result: TrialResult, output_path: Path | None, detailed: bool) -> None:
    print_report(result, detailed)
    if output_path is not None:
        results.write(output_path, result)
