"""Tests of writing result files."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from quota_gateway.lab import results


def test_a_result_is_written_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    out = tmp_path / "out.json"
    results.write(out, {"a": 1})

    def fail_with_full_disk(descriptor: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail_with_full_disk)
    with pytest.raises(OSError, match="No space"):
        results.write(out, {"a": 2})
    assert json.loads(out.read_text()) == {"a": 1}
    assert list(tmp_path.iterdir()) == [out]
