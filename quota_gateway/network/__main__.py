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

VERSION = "0.1.0"  # as in pyproject.toml: where `run` starts, the package itself is not installed

EXIT_OK = 0
EXIT_START_FAILED = 1
EXIT_USAGE = 2  # a bad configuration or argument

# Plain text and no argument parser: there is nothing to parse, and importing one would slow every start.
USAGE = """\
usage: python -m quota_gateway.network

One gateway: takes requests over RESP2, enforces customers' quotas over all gateways together, chooses a
server and gives each request one answer. It takes no options; these variables configure it:

  EDGE_CONFIG     path of the JSON configuration (required); it holds "settings" and may hold all that follows
  EDGE_NAME       its name, where the file has no "name"
  EDGE_LISTEN     address and port to listen on (HOST:PORT), where the file has no "listen"
  EDGE_DISCOVERY  address and port of discovery (HOST:PORT), where the file has no "discovery"

SIGHUP reloads the addresses of discovery and counter from the file; SIGTERM shuts it down gracefully. It
logs to standard error. Exit status: 0 after a shutdown, 1 if it can't start, 2 for a bad configuration or
argument.

To try it with fake servers, counter and discovery on loopback: quota-gateway demo
"""


async def _run(config: GatewayConfig, environ: Mapping[str, str], early_sighups: list[int]) -> None:
    process = GatewayProcess(config, asyncio.get_running_loop(), environ=environ)
    await process.run(early_sighups)


def _answer_arguments(arguments: list[str]) -> int:
    """Carry out what was asked on the command line; return the exit status."""
    if len(arguments) == 1 and arguments[0] in ("-h", "--help"):
        print(USAGE, end="")
        return EXIT_OK
    if arguments == ["--version"]:
        print(f"quota-gateway {VERSION}")
        return EXIT_OK
    _print_error(f"unknown arguments {' '.join(arguments)!r} (see --help)")
    return EXIT_USAGE


def _print_error(text: str) -> None:
    print(f"quota-gateway: {text}", file=sys.stderr)


def main() -> int:
    """Run a gateway until it is told to stop; return the exit status."""
    if len(sys.argv) > 1:
        return _answer_arguments(sys.argv[1:])
    early_sighups: list[int] = []  # without a handler SIGHUP would end the process, however early it comes
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
