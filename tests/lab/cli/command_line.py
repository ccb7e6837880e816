"""Runs the command line as a child process, and finds the gateways that it started."""

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
COMMAND_TIMEOUT_S = 60.0  # keeps a broken test from hanging; no test expects it to elapse


@dataclass(frozen=True, slots=True)
class CommandResult:
    """Exit status and output of a command."""

    exit_status: int
    stdout: str
    stderr: str


def start_command(temporary_directory: Path, *arguments: str) -> subprocess.Popen[str]:
    """Start the command, with the given directory for its temporary files."""
    environ = {**os.environ, "TMPDIR": str(temporary_directory), "COLUMNS": "100"}
    pipe = subprocess.PIPE
    command = [*COMMAND, *arguments]
    return subprocess.Popen(command, cwd=ROOT, env=environ, text=True, stdout=pipe, stderr=pipe)


def run_command(temporary_directory: Path, *arguments: str) -> CommandResult:
    """Run the command until it exits."""
    with start_command(temporary_directory, *arguments) as process:
        stdout, stderr = process.communicate(timeout=COMMAND_TIMEOUT_S)
    return CommandResult(process.returncode, stdout, stderr)


def gateway_pids(directory: Path) -> list[int]:
    """Return the ids of processes whose gateway configuration is in a directory."""
    pids = []
    for path in Path("/proc").glob("[0-9]*/environ"):
        try:
            if f"EDGE_CONFIG={directory}".encode() in path.read_bytes():
                pids.append(int(path.parent.name))
        except OSError:
            continue  # the process has exited or belongs to another user
    return pids


def wait_for(condition: Callable[[], object]) -> None:
    """Wait until a condition holds, and fail if it does not within `COMMAND_TIMEOUT_S`."""
    deadline_s = time.monotonic() + COMMAND_TIMEOUT_S
    while not condition() and time.monotonic() < deadline_s:
        time.sleep(0.01)
    assert condition()
