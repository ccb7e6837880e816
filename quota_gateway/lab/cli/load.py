"""`quota-gateway lab load`: real gateways with fakes on loopback, and the latency that they add."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from quota_gateway.lab.cli.trial_command import run_trial_command
from quota_gateway.lab.fakes.server import ServerModel
from quota_gateway.lab.load.schedule import LoadSpec
from quota_gateway.lab.load.scheduled_fault import parse_scheduled_fault
from quota_gateway.lab.load.testbed import LoopbackTestbedSpec

FAULT_HELP = "TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S], as servers:reset,share=0.2. Repeatable."


def load(
    gateways: Annotated[int, typer.Option(help="Real gateways to start.")] = 2,
    servers: Annotated[int, typer.Option(help="Fake servers.")] = 20,
    rate: Annotated[float, typer.Option(help="Requests a second, over all gateways.")] = 200.0,
    seconds: Annotated[float, typer.Option(help="How long the load lasts.")] = 10.0,
    beyond: Annotated[float, typer.Option(help="Share of customers over their quota.")] = 0.0,
    service_ms: Annotated[float, typer.Option(help="Mean time of a request of one unit at a server.")] = 5.0,
    cores: Annotated[int, typer.Option(help="Cores of a server.")] = 2,
    seed: Annotated[int, typer.Option(help="Everything random is drawn from it.")] = 1,
    fault: Annotated[list[str] | None, typer.Option(help=FAULT_HELP)] = None,
    json: Annotated[Path | None, typer.Option(help="Write the result to this file.")] = None,
) -> None:
    """Run real gateways on loopback under load, and measure the latency that they add.

    The added latency is a served request's latency from its intended sending, less its time at the servers,
    which they record by request id. The same load is first sent to the servers directly, to show what of it
    is this tool's own doing.
    """
    try:
        load_spec = LoadSpec(rate, seconds, seed, beyond)
        faults = [parse_scheduled_fault(text) for text in fault or ()]
        server_model = ServerModel(cores=cores, service_ms=service_ms)
        testbed_spec = LoopbackTestbedSpec(gateways, servers, server_model, seed=seed)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from None
    run_trial_command(testbed_spec, load_spec, json, detailed=True, faults=faults)


def register(app: typer.Typer) -> None:
    """Add the command to an app."""
    app.command("load")(load)
