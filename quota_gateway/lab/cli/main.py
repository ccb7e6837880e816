"""The command line `quota-gateway`."""

from __future__ import annotations

import sys

import typer

from quota_gateway.lab.cli import demo, lab
from quota_gateway.lab.cli import load as loadcmd

app = typer.Typer(name="quota-gateway", no_args_is_help=True, add_completion=False)
demo.register(app)
loadcmd.register(lab.app)
app.add_typer(lab.app, name="lab")


@app.callback()
def root() -> None:
    """A quota-keeping gateway: try it out, and measure it in the lab."""


def main() -> None:
    """The console script. What is wrong with the arguments is told in one line, with exit status 2."""
    try:
        status = app(standalone_mode=False)
    except Exception as error:
        message = getattr(error, "format_message", None)  # what typer raises for bad arguments
        if message is None:
            raise
        line = " ".join(message().split())
        if line:  # none where the help was shown instead
            print(f"quota-gateway: {line}", file=sys.stderr)
        sys.exit(2)
    sys.exit(status if isinstance(status, int) else 0)
