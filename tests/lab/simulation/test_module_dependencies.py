"""The modules of the simulation depend on each other one way, in the order that docs/SIMULATION.md gives."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import quota_gateway.lab.simulation

PACKAGE = "quota_gateway.lab.simulation"
FOLDER = Path(quota_gateway.lab.simulation.__file__).parent
PAGE = Path(__file__).resolve().parents[3] / "docs" / "SIMULATION.md"


def documented_rows() -> dict[str, int]:
    """The row of each module in the page's table."""
    section = PAGE.read_text().partition("## Modules")[2].partition("## ")[0]
    rows = [line.split("|")[1] for line in section.splitlines() if line.startswith("| `")]
    return {module: number for number, row in enumerate(rows) for module in re.findall(r"`(\w+)`", row)}


def imports(path: Path) -> set[str]:
    """The modules of the simulation that one of them imports."""
    nodes = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.ImportFrom)]
    return {
        node.module.removeprefix(f"{PACKAGE}.") for node in nodes if node.module and PACKAGE in node.module
    }


def test_every_module_is_in_the_page() -> None:
    assert documented_rows().keys() == {path.stem for path in FOLDER.glob("*.py")} - {"__init__"}


def test_modules_import_only_from_their_row_and_those_above() -> None:
    rows = documented_rows()
    for path in FOLDER.glob("*.py"):
        if path.stem != "__init__":
            assert all(rows[module] <= rows[path.stem] for module in imports(path)), path.stem


def test_no_module_hides_an_import_circle() -> None:
    assert not [path for path in FOLDER.glob("*.py") if "TYPE_CHECKING" in path.read_text()]
    left = {path.stem: imports(path) for path in FOLDER.glob("*.py")}
    while free := [module for module, needed in left.items() if not needed & left.keys()]:
        for module in free:
            del left[module]
    assert not left
