"""Error output and exit status of the commands."""

from __future__ import annotations

import sys

EXIT_BAD_INPUT = 2


def print_error(message: str) -> None:
    """Print a message as one line on standard error."""
    print(f"quota-gateway: {' '.join(message.split())}", file=sys.stderr)
