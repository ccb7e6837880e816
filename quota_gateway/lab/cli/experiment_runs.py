"""Runs an experiment with one seed or with several, and collects the results."""

from __future__ import annotations

import statistics
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from typing import Any

import structlog

from quota_gateway.lab.cli.logging_setup import configure_logging
from quota_gateway.lab.cli.progress import progress_bar
from quota_gateway.lab.machine import describe_machine
from quota_gateway.lab.simulation.experiment import Experiment
from quota_gateway.lab.simulation.experiment_keys import result_section
from quota_gateway.lab.simulation.run_report import measured_figures, simulated_figures
from quota_gateway.lab.simulation.simulation import Simulation


def run_experiment(experiment: Experiment, seed: int) -> dict[str, Any]:
    """Run an experiment with one seed, and return its result as data for a result file."""
    configure_logging()  # needed here too: `run_seeds` calls this function in new processes
    log = structlog.get_logger()
    log.info(
        "simulation_building",
        experiment=experiment.name,
        seed=seed,
        gateways=experiment.fleet.gateways,
        servers=experiment.fleet.servers,
        visible=experiment.visible_servers,
        pools=experiment.pool_count,
    )
    simulation = Simulation(experiment, seed)
    cost = simulation.cost
    log.info(
        "simulation_started",
        seconds=experiment.duration_s,
        memory_mb=round(cost.memory_bytes["gateways"] / 1e6),
    )
    with progress_bar(experiment.name) as progress:
        simulation.run(progress)
    log.info("simulation_finished", wall_s=round(cost.wall_s, 2), events=simulation.scheduler.executed)
    return {
        "experiment": result_section(experiment),
        "seed": seed,
        "machine": describe_machine(),
        "simulated": simulated_figures(simulation),
        "measured": measured_figures(simulation),
    }


def run_seeds(experiment: Experiment, seeds: list[int], processes: int) -> dict[str, Any]:
    """Run an experiment with several seeds in a pool of processes.

    Args:
        experiment: the experiment to run.
        seeds: the seeds, one for each run.
        processes: maximum number of parallel runs.

    Returns:
        Data for a result file: all runs, and the spread of each rate over the runs.
    """
    with ProcessPoolExecutor(processes, mp_context=get_context("spawn")) as pool:
        runs = list(pool.map(run_experiment, [experiment] * len(seeds), seeds))
    return {
        "experiment": runs[0]["experiment"],
        "machine": describe_machine(),
        "spread": _spread_of_rates(runs),
        "runs": [{key: run[key] for key in ("seed", "simulated", "measured")} for run in runs],
    }


def _spread_of_rates(runs: list[dict[str, Any]]) -> dict[str, dict[str, float]]:
    """Return the minimum, median and maximum of each rate over the runs."""
    spread = {}
    for name in runs[0]["simulated"]["rates"]:
        values = sorted(run["simulated"]["rates"][name] for run in runs)
        median = round(statistics.median(values), 4)
        spread[name] = {"min": values[0], "median": median, "max": values[-1]}
    return spread
