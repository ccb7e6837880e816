"""The commands `quota-gateway lab run`, `slopes` and `capacity`."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from quota_gateway.lab import results
from quota_gateway.lab.cli.errors import EXIT_BAD_INPUT
from quota_gateway.lab.cli.experiment_runs import run_experiment, run_seeds
from quota_gateway.lab.cli.logging_setup import configure_logging
from quota_gateway.lab.cli.progress import progress_bar
from quota_gateway.lab.machine import machine_line
from quota_gateway.lab.scaling import capacity, slopes
from quota_gateway.lab.scaling.fleet_plan import load_fleet_plan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes, SlopesFileError
from quota_gateway.lab.simulation.experiment_validation import load_experiment
from quota_gateway.lab.simulation.run_tables import show_run, show_spread
from quota_gateway.lab.tables import standard_output
from quota_gateway.lab.toml_config import ConfigFileError

app = typer.Typer(
    name="lab",
    no_args_is_help=True,
    add_completion=False,
    help="Simulate the fleet, measure costs, and calculate the capacity that a fleet needs.",
)
OutputPath = Annotated[
    Path | None, typer.Option("--out", dir_okay=False, help="Write the result to this file, as JSON.")
]


@app.command()
def run(
    experiment_path: Annotated[Path, typer.Argument(metavar="experiment", help="Experiment file (TOML).")],
    seed: Annotated[
        int | None, typer.Option(min=0, help="Seed to use instead of the one in the experiment file.")
    ] = None,
    out: OutputPath = None,
    repeat: Annotated[int, typer.Option(min=1, max=1000, help="Number of runs, with consecutive seeds.")] = 1,
    processes: Annotated[
        int, typer.Option(min=1, max=os.cpu_count() or 1, help="Number of runs to execute in parallel.")
    ] = 1,
) -> None:
    """Run an experiment in simulated time, and print its figures."""
    configure_logging()
    _check_output(out)
    try:
        experiment = load_experiment(experiment_path)
    except ConfigFileError as error:
        raise _bad_input(str(error)) from None
    first_seed = experiment.seed if seed is None else seed
    if repeat == 1:
        result = run_experiment(experiment, first_seed)
        show_run(standard_output(), result)
    else:
        result = run_seeds(experiment, list(range(first_seed, first_seed + repeat)), processes)
        show_spread(standard_output(), result)
    _write_result(out, result)


@app.command("slopes")
def measure_slopes(
    out: OutputPath = None,
    max_servers: Annotated[
        int, typer.Option("--most", min=20, help="Length of the longest endpoint list to measure.")
    ] = 20_000,
    repeats: Annotated[int, typer.Option(min=1, help="Number of repetitions of each measurement.")] = 5,
) -> None:
    """Measure the costs of the real policy and network code against the numbers of servers and customers."""
    configure_logging()
    _check_output(out)
    with progress_bar("slopes") as progress:
        result = slopes.measure(max_servers, repeats, progress)
    slopes.show(standard_output(), result)
    _write_result(out, result)


@app.command("capacity")
def capacity_page(
    size: Annotated[Path, typer.Argument(help="Fleet plan file (TOML).")],
    measured: Annotated[Path, typer.Argument(help="Result file of `quota-gateway lab slopes --out`.")],
    out: OutputPath = None,
) -> None:
    """Calculate the resources that each role needs at a fleet size, and print them as a Markdown table."""
    _check_output(out)
    try:
        plan = load_fleet_plan(size)
        measured_slopes = MeasuredSlopes(measured)
        lines = capacity.requirements(plan, measured_slopes)
    except (ConfigFileError, SlopesFileError) as error:
        raise _bad_input(str(error)) from None
    print(f"{plan.name}: slopes measured on {machine_line(measured_slopes.machine)}\n")
    print(capacity.markdown(lines))
    _write_result(out, capacity.report(plan, measured_slopes, lines))


def _bad_input(message: str) -> typer.Exit:
    """Print the message as one line on standard error, and return the exit to raise."""
    print(f"quota-gateway lab: {message}", file=sys.stderr)
    return typer.Exit(EXIT_BAD_INPUT)


def _check_output(out: Path | None) -> None:
    """Exit with an error if the result of the command can't be written to the file `out`."""
    try:
        if out is not None:
            results.check_output_path(out)
    except OSError as error:
        raise _bad_input(str(error)) from None


def _write_result(out: Path | None, result: dict[str, Any]) -> None:
    """Write the result to the file `out`, if one is given."""
    if out is None:
        return
    try:
        results.write(out, result)
    except OSError as error:
        raise _bad_input(f"{out}: can't be written: {error.strerror}") from None
