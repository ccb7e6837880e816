"""What `python -m quota_gateway.network` answers without a configuration, and that it stays lean."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from quota_gateway.network.__main__ import VERSION

ROOT = Path(__file__).resolve().parents[2]


def run(*arguments: str) -> subprocess.CompletedProcess[str]:
    """The program without any of its variables."""
    environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
    command = [sys.executable, "-m", "quota_gateway.network", *arguments]
    return subprocess.run(command, cwd=ROOT, env=environ, capture_output=True, text=True, timeout=30.0)


@pytest.mark.parametrize("argument", ["-h", "--help"])
def test_help_names_what_it_is_and_the_variables_that_it_reads(argument: str) -> None:
    done = run(argument)
    assert done.returncode == 0
    assert not done.stderr
    for word in (
        "gateway",
        "EDGE_CONFIG",
        "EDGE_NAME",
        "EDGE_LISTEN",
        "EDGE_DISCOVERY",
        "quota-gateway demo",
    ):
        assert word in done.stdout


def test_the_version_is_that_of_the_package() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert run("--version").stdout == f"quota-gateway {VERSION}\n"
    assert project["version"] == VERSION


@pytest.mark.parametrize("arguments", [["--nothing"], ["config.json"], ["--help", "--version"], ["a\nb"]])
def test_unknown_arguments_get_one_line(arguments: list[str]) -> None:
    done = run(*arguments)
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.startswith("quota-gateway: ")
    assert done.stderr.count("\n") == 1


def test_a_start_without_a_configuration_names_what_to_do() -> None:
    done = run()
    assert done.returncode == 2
    assert not done.stdout
    assert done.stderr.startswith("quota-gateway: ")
    assert done.stderr.count("\n") == 1
    assert "set it to the path" in done.stderr
    assert "quota-gateway demo" in done.stderr


def test_a_start_imports_neither_an_argument_parser_nor_the_lab() -> None:
    code = "import sys, quota_gateway.network.__main__; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    assert "uvloop" in loaded
    for heavy in ("argparse", "typer", "msgspec", "rich", "structlog", "numpy", "hdrh", "quota_gateway.lab"):
        assert heavy not in loaded
