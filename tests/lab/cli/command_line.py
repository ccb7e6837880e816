"""Runs the command line as a process of its own, and finds the gateways that it started."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
COMMAND = [sys.executable, "-c", "from quota_gateway.lab.cli.main import main; main()"]
LIMIT_S = 60.0  # only keeps a broken test from hanging


@dataclass(frozen=True, slots=True)
class CommandResult:
    """What a command left."""

    exit_status: int
    stdout: str
    stderr: str


def start_command(temporary_directory: Path, *arguments: str) -> subprocess.Popen[str]:
    """Start the command, with a directory of its own for temporary files."""
    environ = {**os.environ, "TMPDIR": str(temporary_directory), "COLUMNS": "100"}
    pipe = subprocess.PIPE
    command = [*COMMAND, *arguments]
    return subprocess.Popen(command, cwd=ROOT, env=environ, text=True, stdout=pipe, stderr=pipe)


def run_command(temporary_directory: Path, *arguments: str) -> CommandResult:
    """Run the command to its end."""
    with start_command(temporary_directory, *arguments) as process:
        stdout, stderr = process.communicate(timeout=LIMIT_S)
    return CommandResult(process.returncode, stdout, stderr)


def gateway_pids(directory: Path) -> list[int]:
    """Return the processes that run with a configuration in a directory."""
    found = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"EDGE_CONFIG={directory}".encode() in path.read_bytes():
                found.append(int(path.parent.name))
        except OSError:
            continue  # it has exited, or belongs to another user
    return found


def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + LIMIT_S
    while not condition() and time.monotonic() < end:
        time.sleep(0.01)
    assert condition()
