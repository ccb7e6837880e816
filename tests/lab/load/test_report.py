"""The report of a trial: every outcome has a label, and no line is wider than a terminal."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from quota_gateway.lab.load.report import OUTCOME_LABELS, print_report
from quota_gateway.lab.load.trial_result import SHOWN_OUTCOMES, TrialResult

FIXTURE = Path(__file__).resolve().parents[1] / "fixtures" / "trial_result_load.json"
TERMINAL_COLUMNS = 80


def test_every_outcome_that_is_shown_has_a_label() -> None:
    assert list(OUTCOME_LABELS) == [outcome.value for outcome in SHOWN_OUTCOMES]


@pytest.mark.parametrize("detailed", [False, True])
def test_a_report_fits_a_terminal(
    detailed: bool, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("COLUMNS", str(TERMINAL_COLUMNS))
    print_report(msgspec.json.decode(FIXTURE.read_bytes(), type=TrialResult), detailed)
    lines = capsys.readouterr().out.splitlines()
    assert all(len(line) <= TERMINAL_COLUMNS for line in lines)
    assert "Forwarded: 239 (8 over quota). Rejected: 61 (34 within quota)." in lines
    assert ("Attempts at servers: 33 failed, 234 served" in lines) is detailed
    assert ("Fault: s0:drain,from=0.3,to=1" in lines) is detailed
