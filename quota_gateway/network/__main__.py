"""The command line of the gateway: ``python -m quota_gateway.network``, configured by EDGE_CONFIG."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping

import uvloop

from quota_gateway.network.config import ConfigError, GatewayConfig, load_config
from quota_gateway.network.log_setup import configure_logging
from quota_gateway.network.process import GatewayProcess

# Must match pyproject.toml. It is not read from the package metadata, since `run` starts the gateway without
# an installed package.
VERSION = "0.1.0"

EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_USAGE = 2  # invalid configuration or argument

# Plain text: there are no options to parse, and importing an argument parser would slow down each start.
USAGE = """\
usage: python -m quota_gateway.network

Runs one gateway: accepts requests over RESP2, enforces the customers' quotas across all gateways, chooses a
server and gives each request one answer. It takes no options; environment variables configure it:

  EDGE_CONFIG     path of the JSON configuration file (required); the file must hold "settings"
  EDGE_NAME       name of the gateway if the file has no "name"
  EDGE_LISTEN     address to listen on (HOST:PORT) if the file has no "listen"
  EDGE_DISCOVERY  address of discovery (HOST:PORT) if the file has no "discovery"

SIGHUP reloads the addresses of discovery and the counter from the file; SIGTERM shuts the gateway down
gracefully. Log lines go to standard error. Exit status: 0 after a shutdown, 1 if the gateway can't start,
2 for an invalid configuration or argument.

To try a gateway with fake servers, counter and discovery on loopback: quota-gateway demo
"""


async def _run(config: GatewayConfig, environ: Mapping[str, str], early_sighups: list[int]) -> None:
    process = GatewayProcess(config, asyncio.get_running_loop(), environ=environ)
    await process.run(early_sighups)


def _handle_arguments(arguments: list[str]) -> int:
    """Handle a command line with arguments, which never starts a gateway; return the exit status."""
    if len(arguments) == 1 and arguments[0] in ("-h", "--help"):
        print(USAGE, end="")
        return EXIT_OK
    if arguments == ["--version"]:
        print(f"quota-gateway {VERSION}")
        return EXIT_OK
    _print_error(f"unknown arguments {' '.join(arguments)!r}: expected none, --help or --version")
    return EXIT_USAGE


def _print_error(text: str) -> None:
    print(f"quota-gateway: {text}", file=sys.stderr)


def main() -> int:
    """Run a gateway until it receives SIGTERM or SIGINT; return the exit status."""
    if len(sys.argv) > 1:
        return _handle_arguments(sys.argv[1:])
    # SIGHUP ends a process that has no handler for it, so it is caught even before the event loop runs.
    early_sighups: list[int] = []
    signal.signal(signal.SIGHUP, lambda number, _frame: early_sighups.append(number))
    configure_logging()
    environ = dict(os.environ)
    try:
        config = load_config(environ)
    except ConfigError as error:
        _print_error(str(error))
        return EXIT_USAGE
    try:
        uvloop.run(_run(config, environ, early_sighups))
    except OSError as error:
        _print_error(f"can't start: {error}")
        return EXIT_START_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
