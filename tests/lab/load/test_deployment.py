"""Decoding of the settings that clients need: unusable settings are rejected."""

from __future__ import annotations

from typing import Any

import pytest

from quota_gateway.lab.load.deployment import decode_deployment


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ({}, "missing required field `packages`"),
        (
            {"packages": [], "profiles": []},
            r"at least one plan \(packages\), one request class \(profiles\) and one gateway \(balancers\)",
        ),
        ({"packages": [{"name": 5}]}, "packages"),
    ],
)
def test_unusable_settings_are_rejected(settings: dict[str, Any], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        decode_deployment(settings)
