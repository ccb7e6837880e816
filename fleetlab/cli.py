"""The command line `gingerwheel`."""

from __future__ import annotations

import typer

from . import lab

app = typer.Typer(name="gingerwheel", no_args_is_help=True, add_completion=False)
app.add_typer(lab.app, name="lab")


@app.callback()
def root() -> None:
    """A quota-keeping gateway: try it out, and measure it in the lab."""


def main() -> None:
    """The console script."""
    app()
