"""The boundaries of the policy: its modules, what they import, and what hosts import of them."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "quota_gateway"
POLICY_FOLDER = PACKAGE / "policy"
POLICY_MODULES = sorted(POLICY_FOLDER.rglob("*.py"))
MAX_LINE_LENGTH = 110

# Packages of this project that the policy may import.
POLICY_DEPENDENCIES = (
    "quota_gateway.policy",
    "quota_gateway.policy_api",
    "quota_gateway.policy_state",
    "quota_gateway.settings",
)

# Names of the policy that hosts import, by the package or top-level module that imports them. `Gateway` is
# the interface for hosts; the lab works out costs from the constants and the hash.
HOST_IMPORTS = {
    "quota_gateway.network": {"quota_gateway.policy.gateway.Gateway"},
    "quota_gateway.simulator_adapter": {"quota_gateway.policy.gateway.Gateway"},
    "quota_gateway.lab.simulation": {"quota_gateway.policy.gateway.Gateway"},
    "quota_gateway.lab.scaling": {
        "quota_gateway.policy.endpoints.SUBSET_SIZE",
        "quota_gateway.policy.gateway.Gateway",
        "quota_gateway.policy.gateway.TICK_MS",
        "quota_gateway.policy.hash_ring.stable_hash",
        "quota_gateway.policy.quota.CUSTOMER_IDLE_MS",
    },
}


def imported_names(path: Path) -> set[str]:
    """Return the full dotted names that a module imports anywhere in its code."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, f"{path}:{node.lineno}: relative import; expected an absolute one"
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def is_part_of(name: str, package: str) -> bool:
    return name == package or name.startswith(f"{package}.")


def importing_package(path: Path) -> str:
    """Return the package of a module, or the module itself if it stands at the top level."""
    relative = path.relative_to(ROOT)
    parts = relative.parent.parts if len(relative.parts) > 2 else relative.with_suffix("").parts
    return ".".join(parts)


def test_deploy_file_names_each_policy_module_and_nothing_else() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = [ROOT / name for name in deploy["policy"]]
    assert sorted(named) == POLICY_MODULES


@pytest.mark.parametrize("path", POLICY_MODULES, ids=lambda path: path.name)
def test_policy_imports_only_the_standard_library_and_its_own_packages(path: Path) -> None:
    foreign = {
        name
        for name in imported_names(path)
        if name.partition(".")[0] not in sys.stdlib_module_names
        and not any(is_part_of(name, package) for package in POLICY_DEPENDENCIES)
    }
    assert not foreign


def test_hosts_import_only_known_names_of_the_policy() -> None:
    imports: dict[str, set[str]] = {}
    for path in PACKAGE.rglob("*.py"):
        if POLICY_FOLDER in path.parents:
            continue
        names = {name for name in imported_names(path) if is_part_of(name, "quota_gateway.policy")}
        if names:
            imports.setdefault(importing_package(path), set()).update(names)
    assert imports == HOST_IMPORTS


@pytest.mark.parametrize("path", POLICY_MODULES, ids=lambda path: path.name)
def test_policy_lines_are_at_most_110_characters_long(path: Path) -> None:
    assert max(len(line) for line in path.read_text().splitlines()) <= MAX_LINE_LENGTH
