"""`quota-gateway demo`: one real gateway with fakes on loopback, and a few seconds of load."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from quota_gateway.lab.cli.trial_command import run_trial_command
from quota_gateway.lab.load.schedule import LoadSpec, LoadSpecError
from quota_gateway.lab.load.testbed import LoopbackTestbedSpec


def demo(
    seconds: Annotated[float, typer.Option(help="How long the load lasts.")] = 5.0,
    rate: Annotated[float, typer.Option(help="Requests a second.")] = 100.0,
    seed: Annotated[int, typer.Option(help="Customers and requests are drawn from it.")] = 1,
    json: Annotated[Path | None, typer.Option(help="Write the result to this file.")] = None,
) -> None:
    """Run one gateway on loopback under load for a few seconds.

    Starts a gateway with fakes of servers, counter and discovery, sends requests of customers of whom one in
    four asks for more than its quota, shows what became of them, and ends all that it started. Exit status 0
    only if each request got exactly one reply.
    """
    try:
        load_spec = LoadSpec(rate, seconds, seed)
    except LoadSpecError as error:
        raise typer.BadParameter(str(error)) from None
    run_trial_command(LoopbackTestbedSpec(seed=seed), load_spec, json, detailed=False)


def register(app: typer.Typer) -> None:
    """Add the command to an app."""
    app.command("demo")(demo)
