"""Runs a trial for a command: from validated arguments to the exit status."""

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

    Args:
        testbed_spec: the gateways and fakes to start.
        load_spec: the requests to send.
        output_path: where to write the result, as JSON; None if it is only printed.
        detailed: whether to measure the client's own overhead, and to print latencies, attempts and faults.
        faults: the faults to inject.

    Raises:
        typer.BadParameter: the result can't be written to the path, or the testbed can't inject a fault
            (exit status 2).
        typer.Exit: in all other cases, with status 0 if the trial passed, 1 if it failed or could not be
            run, and 128 plus the signal number if a signal ended it.
    """
    configure_logging()
    try:
        if output_path is not None:
            results.check_output_path(output_path)
    except OSError as error:
        raise typer.BadParameter(str(error)) from None
    try:
        result = run_until_signal(run_trial(testbed_spec, load_spec, detailed, faults))
        _print_and_write(result, output_path, detailed)
    except ScheduledFaultError as error:
        raise typer.BadParameter(str(error)) from None
    except (GatewayError, OSError) as error:
        print_error(str(error))
        raise typer.Exit(EXIT_FAILED) from None
    except TerminationSignalError as error:
        print_error(f"ended by {error}")
        raise typer.Exit(error.exit_status) from None
    raise typer.Exit(EXIT_PASSED if result.passed else EXIT_FAILED)


def _print_and_write(result: TrialResult, output_path: Path | None, detailed: bool) -> None:
    print_report(result, detailed)
    if output_path is not None:
        results.write(output_path, result)
