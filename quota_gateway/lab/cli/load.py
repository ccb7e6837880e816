"""The command `quota-gateway lab load`: measures the latency that real gateways add, with fake peers."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from quota_gateway.lab.cli.trial_command import run_trial_command
from quota_gateway.lab.fakes.server import ServerModel
from quota_gateway.lab.load.schedule import LoadSpec
from quota_gateway.lab.load.scheduled_fault import parse_scheduled_fault
from quota_gateway.lab.load.testbed import LoopbackTestbedSpec

FAULT_HELP = (
    "TARGET:KIND[,share=S][,delay=MS][,from=S][,to=S], for example servers:reset,share=0.2. May be repeated."
)


def load(
    gateways: Annotated[int, typer.Option(help="Number of gateways to start.")] = 2,
    servers: Annotated[int, typer.Option(help="Number of fake servers.")] = 20,
    rate: Annotated[float, typer.Option(help="Requests per second, over all gateways.")] = 200.0,
    seconds: Annotated[float, typer.Option(help="Duration of the load, in seconds.")] = 10.0,
    beyond: Annotated[float, typer.Option(help="Share of customers over their quota.")] = 0.0,
    service_ms: Annotated[float, typer.Option(help="Mean service time of a one-unit request, in ms.")] = 5.0,
    cores: Annotated[int, typer.Option(help="Cores of each server.")] = 2,
    seed: Annotated[int, typer.Option(help="Seed of all random draws.")] = 1,
    fault: Annotated[list[str] | None, typer.Option(help=FAULT_HELP)] = None,
    json: Annotated[Path | None, typer.Option(help="Write the result to this file, as JSON.")] = None,
) -> None:
    """Run real gateways on loopback under load, and measure the latency that they add.

    The added latency of a served request is its latency, counted from its intended send time, minus its time
    at the servers, which they record by request id. A load of the same rate is first sent directly to the
    servers, to show the share of the latency that the tool itself causes.
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
    """Add the command to a Typer app."""
    app.command("load")(load)
