"""Tests of invalid arguments: every command prints one line on standard error and exits with status 2."""

from __future__ import annotations

import sys

import pytest

from quota_gateway.lab.cli import main


@pytest.mark.parametrize(
    "arguments",
    [
        ["demo", "--seconds", "0"],
        ["demo", "--rate", "nan"],
        ["demo", "--rate", "many"],
        ["demo", "--nope"],
        ["demo", "--seed", "-1"],
        ["demo", "more"],
        ["demo", "--json", "/no/such/folder/x.json"],
        ["demo", "--json", "/"],
        ["lab", "load", "--gateways", "0"],
        ["lab", "load", "--servers", "9999"],
        ["lab", "load", "--service-ms", "-1"],
        ["lab", "load", "--beyond", "2"],
        ["nothing"],
    ],
)
def test_invalid_arguments_are_reported_in_one_line_and_start_nothing(
    arguments: list[str], monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(sys, "argv", ["quota-gateway", *arguments])
    # Starting a trial would call None: a TypeError, which the command line does not catch, fails the test.
    monkeypatch.setattr("quota_gateway.lab.cli.trial_command.run_trial", None)
    with pytest.raises(SystemExit) as exit_info:
        main.main()
    stdout, stderr = capsys.readouterr()
    assert exit_info.value.code == 2
    assert not stdout
    assert stderr.startswith("quota-gateway: ")
    assert stderr.count("\n") == 1
