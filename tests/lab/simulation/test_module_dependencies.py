"""Imports between the simulation's modules follow the layers in the table of docs/SIMULATION.md."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import quota_gateway.lab.simulation

PACKAGE = "quota_gateway.lab.simulation"
FOLDER = Path(quota_gateway.lab.simulation.__file__).parent
PAGE = Path(__file__).resolve().parents[3] / "docs" / "SIMULATION.md"


def documented_rows() -> dict[str, int]:
    """Return the row of each module in the table, from 0."""
    section = PAGE.read_text().partition("## Modules")[2].partition("## ")[0]
    rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {module: number for number, row in enumerate(rows) for module in re.findall(r"`(\w+)`", row)}


def imports(path: Path) -> set[str]:
    """Return the modules of the simulation that a module imports."""
    nodes = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)]
    return {
        node.module.removeprefix(f"{PACKAGE}.") for node in nodes if node.module and PACKAGE in node.module
    }


def test_the_table_lists_every_module() -> None:
    assert documented_rows().keys() == {path.stem for path in FOLDER.glob("*.py")} - {"__init__"}


def test_modules_import_only_from_their_own_row_and_rows_above() -> None:
    rows = documented_rows()
    for path in FOLDER.glob("*.py"):
        if path.stem != "__init__":
            assert all(rows[module] <= rows[path.stem] for module in imports(path)), path.stem


def test_there_are_no_import_cycles() -> None:
    assert not [path for path in FOLDER.glob("*.py") if "TYPE_CHECKING" in path.read_text()]
    unsorted = {path.stem: imports(path) for path in FOLDER.glob("*.py")}
    while ready := [module for module, needed in unsorted.items() if not needed & unsorted.keys()]:
        for module in ready:
            del unsorted[module]
    assert not unsorted
