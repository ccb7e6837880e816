"""The `quota-gateway` command line."""

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
    """Try out a quota-keeping gateway, and measure it in the lab."""


def main() -> None:
    """Run the console script. Invalid arguments are reported in one line, with exit status 2."""
    try:
        status = app(standalone_mode=False)
    except typer.TyperException as error:
        message = error.format_message()
        if message.strip():  # the message is empty if the help was printed instead
            print_error(message)
        sys.exit(EXIT_BAD_INPUT)
    sys.exit(status if isinstance(status, int) else 0)
