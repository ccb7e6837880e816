"""The command `load`: several real gateways with stand-ins on loopback, and the time that they add."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from quota_gateway.lab.cli.trial_command import perform
from quota_gateway.lab.fakes.server import ServerModel
from quota_gateway.lab.load.client import LoadPlan
from quota_gateway.lab.load.fault_injection import read
from quota_gateway.lab.load.testbed import Shape

FAULT = "TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S], as servers:reset,share=0.2. Repeatable."


def load(
    gateways: Annotated[int, typer.Option(help="Real gateways to start.")] = 2,
    servers: Annotated[int, typer.Option(help="Stand-ins of servers.")] = 20,
    rate: Annotated[float, typer.Option(help="Requests a second, over all gateways.")] = 200.0,
    seconds: Annotated[float, typer.Option(help="How long the load lasts.")] = 10.0,
    beyond: Annotated[float, typer.Option(help="Share of customers beyond their quota.")] = 0.0,
    service_ms: Annotated[float, typer.Option(help="Mean time of a request of one unit at a server.")] = 5.0,
    cores: Annotated[int, typer.Option(help="Cores of a server.")] = 2,
    seed: Annotated[int, typer.Option(help="Everything random is drawn from it.")] = 1,
    fault: Annotated[list[str] | None, typer.Option(help=FAULT)] = None,
    json: Annotated[Path | None, typer.Option(help="Write the result to this file.")] = None,
) -> None:
    """Run real gateways on loopback under load, and measure the time that they add.

    The time added is a served request's latency from its intended sending, less its time at the servers,
    which they keep by request id. The same load is first sent to the servers directly, to show what of it is
    this tool's own doing.
    """
    try:
        plan = LoadPlan(rate, seconds, seed, beyond)
        troubles = [read(text) for text in fault or ()]
        shape = Shape(gateways, servers, ServerModel(cores=cores, service_ms=service_ms), seed=seed)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    perform(shape, plan, json, True, troubles)


def register(app: typer.Typer) -> None:
    """Adds the command to an app."""
    app.command("load")(load)
