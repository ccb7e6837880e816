"""Experiments: a bad file is one line with file, line and key, exit 2, and nothing written."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from quota_gateway.lab.cli.main import app
from quota_gateway.lab.simulation.experiment_validation import load_experiment

HEAD = 'name = "t"\nseconds = 1.0\n[fleet]\ngateways = 2\nservers = 3\n'
LOAD = "[load]\nrequests_per_s = 10.0\nspread = [1, 2]\n"
GOOD = HEAD + LOAD
CALIBRATIONS = ("calibration", "calibration_loopback")


@pytest.mark.parametrize(
    "name", ["small", "today", "ahead", "ahead_faults", "zone_loss", "restarts", "ramp", *CALIBRATIONS]
)
def test_the_experiments_of_the_project_can_be_run(name: str) -> None:
    experiment = load_experiment(Path(__file__).resolve().parents[3] / "experiments" / f"{name}.toml")
    assert experiment.name == name
    servers = experiment.fleet.servers
    assert servers >= experiment.visible_servers >= servers // experiment.pool_count


@pytest.mark.parametrize(
    ("text", "line", "key"),
    [
        ("name = \n", 1, "not TOML"),
        (GOOD + 'x = "unclosed\n', 9, "not TOML"),
        ("seconds = 1.0\n" + GOOD[GOOD.index("[fleet]") :], 1, "name: missing"),
        (GOOD.replace("servers = 3\n", ""), 3, "fleet.servers: missing"),
        (GOOD.replace("gateways = 2", "gateways = 0"), 4, "fleet.gateways"),
        (GOOD.replace("gateways = 2", 'gateways = "two"'), 4, "fleet.gateways"),
        (GOOD + "spred = 2\n", 9, "load.spred: unknown key"),
        (GOOD + "heavy = 0.6\nspiky = 0.6\n", 10, "load.spiky: more than"),
        (GOOD + "heavy = 0.5\n", 6, "load.use: heavy and spiky tenants alone ask for 1.65"),
        (GOOD + "spike_s = [1.0, 12.0]\n", 9, "load.spike_s: longer than"),
        (GOOD + "[cuonter]\non = true\n", 9, "cuonter: unknown key"),
        (GOOD + "[counter]\ncalls_per_s = [740.0]\n", 10, "counter.calls_per_s"),
        (GOOD + "[counter]\ncalls_per_s = [740.0, 550.0]\n", 10, "counter.calls_per_s: the range"),
        (GOOD + "[servers]\nwork_ms = 100.0\n", 10, "servers.work_ms"),
        (GOOD + "part = 1.5\n", 9, "load.part"),
        (GOOD.replace("[1, 2]", "[1, 3]"), 8, "load.spread: more than"),
        (GOOD.replace("servers = 3\n", "servers = 3\nvisible = 4\n"), 6, "fleet.visible: more than the 3"),
        (
            GOOD.replace("gateways = 2", "gateways = 2100").replace("servers = 3", "servers = 20000"),
            5,
            "fleet.servers: impossible size",
        ),
        (GOOD.replace("10.0", "1e8"), 7, "load.requests_per_s: impossible size"),
        (
            GOOD.replace("10.0", "1e6").replace("seconds = 1.0", "seconds = 60.0"),
            7,
            "load.requests_per_s: impossible size",
        ),
        (GOOD.replace("10.0", "nan"), 7, "load.requests_per_s"),
        (GOOD.replace("seconds = 1.0", "seconds = inf"), 2, "seconds"),
        ("seed = -1\n" + GOOD, 1, "seed"),
        (GOOD + "tenants = 1000000000000\n", 9, "load.tenants"),
        (GOOD + "most_units = 100000000\n", 9, "load.most_units"),
        (GOOD + "[counter]\nmachines = 100000000\n", 10, "counter.machines"),
        (GOOD + "[servers]\nroom = 1000000000000\n", 10, "servers.room"),
        (
            GOOD + 2 * '[[plans]]\nname = "a"\nshare = 1.0\nrate = 1.0\nburst_s = 1.0\nprice = 1.0\n',
            16,
            "plans[1].name: another",
        ),
        (GOOD + '[[faults]]\nkind = "flood"\nat_s = 0.5\n', 10, "faults[0].kind"),
        (GOOD + '[[faults]]\nkind = "counter_emptied"\nat_s = 2.0\n', 11, "faults[0].at_s: after the end"),
        (GOOD + '[[faults]]\nkind = "counter_mute"\nat_s = 0.5\n', 9, "faults[0].for_s: missing"),
        (GOOD + '[[faults]]\nkind = "zone_cut"\nat_s = 0.5\nfor_s = 1\nzone = "z9"\n', 13, "faults[0].zone"),
        (
            GOOD + '[[faults]]\nkind = "counter_emptied"\nat_s = 0.5\n'
            '[[faults]]\nkind = "servers_crashed"\nat_s = 0.5\ncount = 4\n',
            15,
            "faults[1].count: more than",
        ),
    ],
)
def test_a_bad_experiment_is_one_line_and_nothing_is_written(
    tmp_path: Path, text: str, line: int, key: str
) -> None:
    file, out = tmp_path / "bad.toml", tmp_path / "out.json"
    file.write_text(text)
    result = CliRunner().invoke(app, ["lab", "run", str(file), "--out", str(out)])
    assert result.exit_code == 2
    assert result.stdout == ""
    assert result.stderr.count("\n") == 1
    assert f"{file}:{line}: {key}" in result.stderr
    assert list(tmp_path.iterdir()) == [file]


def test_unreadable_input_and_unwritable_output_are_one_line_too(tmp_path: Path) -> None:
    good = tmp_path / "good.toml"
    good.write_text(GOOD)
    for arguments in (
        ["lab", "run", str(tmp_path / "none.toml")],
        ["lab", "run", str(good), "--out", str(tmp_path / "none" / "out.json")],
    ):
        result = CliRunner().invoke(app, arguments)
        assert (result.exit_code, result.stderr.count("\n"), result.stdout) == (2, 1, "")
