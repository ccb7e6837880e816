"""The commands `quota-gateway lab run`, `slopes` and `capacity`."""

from __future__ import annotations

import os
import statistics
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from typing import Annotated, Any

import msgspec
import structlog
import typer
from rich.console import Console
from rich.progress import Progress, TaskProgressColumn, TextColumn, TimeElapsedColumn

from quota_gateway.lab import results
from quota_gateway.lab.cli.logging_setup import configure_logging
from quota_gateway.lab.scaling import capacity, slopes
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.experiment_validation import load_experiment
from quota_gateway.lab.simulation.run_report import measured_figures, simulated_figures
from quota_gateway.lab.simulation.simulation import Simulation
from quota_gateway.lab.toml_config import ConfigFileError, load_config

app = typer.Typer(
    name="lab", no_args_is_help=True, add_completion=False, help="The emulator of the fleet, and its figures."
)
Out = Annotated[Path | None, typer.Option("--out", dir_okay=False, help="Write the result here, as JSON.")]


def fail(message: str) -> typer.Exit:
    """One line for the operator, and the status of bad input."""
    print(f"quota-gateway lab: {message}", file=sys.stderr)
    return typer.Exit(2)


def check_output(out: Path | None) -> None:
    """Raise typer.Exit before the run if the result could not be written after it."""
    try:
        if out is not None:
            results.check_output_path(out)
    except OSError as error:
        raise fail(str(error)) from None


class Bar:
    """Progress from 0 to 1."""

    def __init__(self, progress: Progress, text: str) -> None:
        self.progress = progress
        self.task = progress.add_task(text, total=1.0)

    def __call__(self, share: float) -> None:
        self.progress.update(self.task, completed=share)


@contextmanager
def bar(text: str) -> Iterator[Bar]:
    """A bar on standard error, where that is a terminal."""
    console = Console(stderr=True)
    columns = (TextColumn("{task.description}"), TaskProgressColumn(), TimeElapsedColumn())
    with Progress(*columns, console=console, transient=True, disable=not console.is_terminal) as progress:
        yield Bar(progress, text)


def play(experiment: Experiment, seed: int) -> dict[str, Any]:
    """Runs an experiment and returns its result."""
    configure_logging()  # also where this is a process of its own
    log = structlog.get_logger()
    fleet = experiment.fleet
    log.info(
        "build",
        experiment=experiment.name,
        seed=seed,
        gateways=fleet.gateways,
        servers=fleet.servers,
        visible=experiment.visible_servers,
        pools=experiment.pool_count,
    )
    simulation = Simulation(experiment, seed)
    log.info(
        "play", seconds=experiment.duration_s, memory_mb=round(simulation.cost.memory_bytes["gateways"] / 1e6)
    )
    with bar(experiment.name) as progress:
        simulation.run(progress)
    log.info("done", wall_s=round(simulation.cost.wall_s, 2), events=simulation.scheduler.executed)
    return {
        "experiment": msgspec.to_builtins(experiment),
        "seed": seed,
        "machine": results.machine(),
        "simulated": simulated_figures(simulation),
        "measured": measured_figures(simulation),
    }


def repeated(experiment: Experiment, seeds: list[int], processes: int) -> dict[str, Any]:
    """Runs an experiment with several seeds, one in each process; what they share is told once."""
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        runs = list(pool.map(play, [experiment] * len(seeds), seeds))
    spread = {}
    for name in runs[0]["simulated"]["rates"]:
        values = sorted(run["simulated"]["rates"][name] for run in runs)
        spread[name] = {"min": values[0], "median": round(statistics.median(values), 4), "max": values[-1]}
    return {
        "experiment": runs[0]["experiment"],
        "machine": results.machine(),
        "spread": spread,
        "runs": [{key: run[key] for key in ("seed", "simulated", "measured")} for run in runs],
    }


def deliver(out: Path | None, result: dict[str, Any]) -> None:
    """Writes the result, if it is wanted."""
    if out is None:
        return
    try:
        results.write(out, result)
    except OSError as error:
        raise fail(f"{out}: can't be written: {error.strerror}") from None


@app.command()
def run(
    experiment: Annotated[Path, typer.Argument(help="The experiment, a TOML file.")],
    seed: Annotated[int | None, typer.Option(min=0, help="In place of the seed in the file.")] = None,
    out: Out = None,
    repeat: Annotated[int, typer.Option(min=1, max=1000, help="Play so many seeds in a row.")] = 1,
    processes: Annotated[
        int, typer.Option(min=1, max=os.cpu_count() or 1, help="Play so many of them at once.")
    ] = 1,
) -> None:
    """Plays an experiment in simulated time and prints its figures."""
    configure_logging()
    check_output(out)
    try:
        made = load_experiment(experiment)
    except ConfigFileError as error:
        raise fail(str(error)) from None
    first = made.seed if seed is None else seed
    if repeat == 1:
        result = play(made, first)
        results.show(results.console(), result)
    else:
        result = repeated(made, list(range(first, first + repeat)), processes)
        results.show_spread(results.console(), result)
    deliver(out, result)


@app.command("slopes")
def measure(
    out: Out = None,
    most: Annotated[int, typer.Option(min=20, help="The longest list of servers to measure.")] = 20_000,
    repeats: Annotated[int, typer.Option(min=1, help="Repetitions of each measurement.")] = 5,
) -> None:
    """Measures what the real module and network code cost against the number of servers and customers."""
    configure_logging()
    check_output(out)
    with bar("slopes") as progress:
        result = slopes.measure(most, repeats, progress)
    slopes.show(results.console(), result)
    deliver(out, result)


@app.command("capacity")
def work_out(
    size: Annotated[Path, typer.Argument(help="The size of the fleet, a TOML file.")],
    measured: Annotated[Path, typer.Argument(help="Slopes, as `quota-gateway lab slopes --out` wrote them.")],
    out: Out = None,
) -> None:
    """Works out what each role needs at a size, from measured slopes, as a table for a page."""
    check_output(out)
    try:
        made = load_config(size, capacity.Outlook, capacity.impossible)
        found = capacity.Slopes(measured)
        lines = capacity.Page(made, found).lines()
    except (ConfigFileError, capacity.SlopesError) as error:
        raise fail(str(error)) from None
    print(f"{made.name}: slopes measured on {results.where(found.machine)}\n")
    print(capacity.markdown(lines))
    deliver(out, capacity.result(made, found))
