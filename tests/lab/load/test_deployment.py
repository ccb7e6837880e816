"""The clients' part of the settings."""

from __future__ import annotations

from typing import Any

import pytest

from quota_gateway.lab.load.deployment import decode_deployment


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        ({}, "missing required field `packages`"),
        ({"packages": [], "profiles": []}, "no plan, no class or no gateway"),
        ({"packages": [{"name": 5}]}, "packages"),
    ],
)
def test_settings_that_name_nothing_to_ask_for_are_rejected(settings: dict[str, Any], message: str) -> None:
    with pytest.raises(ValueError, match=message):
        decode_deployment(settings)
