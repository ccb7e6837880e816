"""The operators' limits for the files that hold the decisions."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_policy_files_keep_their_limits() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = {ROOT / name for name in deploy["policy"]}
    assert named == set((ROOT / "quota_gateway" / "policy").glob("*.py"))
    lines = [line for path in named for line in path.read_text().splitlines()]
    assert sum(1 for line in lines if line.strip()) <= 1200
    assert max(len(line) for line in lines) <= 110
