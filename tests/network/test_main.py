"""The command line of `python -m quota_gateway.network`, and the modules that a start imports."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from quota_gateway.network.__main__ import VERSION

ROOT = Path(__file__).resolve().parents[2]


def run_program(*arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the program without any of its environment variables."""
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    command = [sys.executable, "-m", "quota_gateway.network", *arguments]
    return subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30.0)


@pytest.mark.parametrize("argument", ["-h", "--help"])
def test_help_names_the_program_and_its_environment_variables(argument: str) -> None:
    completed = run_program(argument)
    assert completed.returncode == 0
    assert not completed.stderr
    for word in (
        "gateway",
        "EDGE_CONFIG",
        "EDGE_NAME",
        "EDGE_LISTEN",
        "EDGE_DISCOVERY",
        "quota-gateway demo",
    ):
        assert word in completed.stdout


def test_the_version_is_that_in_pyproject() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert run_program("--version").stdout == f"quota-gateway {VERSION}\n"
    assert project["version"] == VERSION


@pytest.mark.parametrize("arguments", [["--nothing"], ["config.json"], ["--help", "--version"], ["a\nb"]])
def test_unknown_arguments_are_reported_in_one_line(arguments: list[str]) -> None:
    completed = run_program(*arguments)
    assert completed.returncode == 2
    assert not completed.stdout
    assert completed.stderr.startswith("quota-gateway: ")
    assert completed.stderr.count("\n") == 1


def test_a_start_without_a_configuration_says_how_to_set_one() -> None:
    completed = run_program()
    assert completed.returncode == 2
    assert not completed.stdout
    assert completed.stderr.startswith("quota-gateway: ")
    assert completed.stderr.count("\n") == 1
    assert "set it to the path" in completed.stderr
    assert "quota-gateway demo" in completed.stderr


def test_a_start_imports_neither_an_argument_parser_nor_the_lab() -> None:
    code = "import sys, quota_gateway.network.__main__; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = set(completed.stdout.split())
    assert "uvloop" in loaded
    for name in ("argparse", "typer", "msgspec", "rich", "structlog", "numpy", "hdrh", "quota_gateway.lab"):
        assert name not in loaded
