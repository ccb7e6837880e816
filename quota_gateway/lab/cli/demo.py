"""The command `quota-gateway demo`: one real gateway under load, with fake peers on loopback."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from quota_gateway.lab.cli.trial_command import run_trial_command
from quota_gateway.lab.load.schedule import LoadSpec, LoadSpecError
from quota_gateway.lab.load.testbed import LoopbackTestbedSpec


def demo(
    seconds: Annotated[float, typer.Option(help="Duration of the load, in seconds.")] = 5.0,
    rate: Annotated[float, typer.Option(help="Requests per second.")] = 100.0,
    seed: Annotated[int, typer.Option(help="Seed for drawing customers and requests.")] = 1,
    json: Annotated[Path | None, typer.Option(help="Write the result to this file, as JSON.")] = None,
) -> None:
    """Run one gateway on loopback under load for a few seconds.

    Starts a gateway with fake servers, a fake counter and a fake discovery, sends it requests, prints the
    outcomes, and stops everything it started. One customer in four exceeds its quota. The exit status is 0
    only if each request got exactly one reply.
    """
    try:
        load_spec = LoadSpec(rate, seconds, seed)
    except LoadSpecError as error:
        raise typer.BadParameter(str(error)) from None
    run_trial_command(LoopbackTestbedSpec(seed=seed), load_spec, json, detailed=False)


def register(app: typer.Typer) -> None:
    """Add the command to a Typer app."""
    app.command("demo")(demo)
