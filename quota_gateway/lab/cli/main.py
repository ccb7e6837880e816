"""The command line `quota-gateway`."""

from __future__ import annotations

import sys

import typer

from quota_gateway.lab.cli import demo, lab, load
from quota_gateway.lab.cli.errors import EXIT_BAD_INPUT, print_error

app = typer.Typer(name="quota-gateway", no_args_is_help=True, add_completion=False)
demo.register(app)
load.register(lab.app)
app.add_typer(lab.app, name="lab")


@app.callback()
def root() -> None:
    """A quota-keeping gateway: try it out, and measure it in the lab."""


def main() -> None:
    """Run the console script. Bad arguments are reported in one line, with exit status 2."""
    try:
        status = app(standalone_mode=False)
    except typer.TyperException as error:
        message = error.format_message()
        if message.strip():  # empty where the help was shown instead
            print_error(message)
        sys.exit(EXIT_BAD_INPUT)
    sys.exit(status if isinstance(status, int) else 0)
