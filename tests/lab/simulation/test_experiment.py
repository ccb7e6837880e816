"""Experiment files: errors are one line with file, line and key; the exit status is 2; nothing is written."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from quota_gateway.lab.cli.main import app
from quota_gateway.lab.simulation.experiment_validation import load_experiment
from quota_gateway.lab.toml_config import ConfigFileError

HEAD = 'name = "t"\nduration_s = 1.0\n[fleet]\ngateways = 2\nservers = 3\n'
LOAD = "[load]\nrequests_per_s = 10.0\ngateways_per_tenant = [1, 2]\n"
GOOD = HEAD + LOAD
CALIBRATIONS = ("calibration", "calibration_loopback")


@pytest.mark.parametrize(
    "name", ["small", "today", "ahead", "ahead_faults", "zone_loss", "restarts", "ramp", *CALIBRATIONS]
)
def test_the_experiment_files_of_the_project_are_valid(name: str) -> None:
    experiment = load_experiment(Path(__file__).resolve().parents[3] / "experiments" / f"{name}.toml")
    assert experiment.name == name
    servers = experiment.fleet.servers
    assert servers >= experiment.visible_servers >= servers // experiment.pool_count


@pytest.mark.parametrize(
    ("text", "line", "key"),
    [
        ("name = \n", 1, "not TOML"),
        (GOOD + 'x = "unclosed\n', 9, "not TOML"),
        ("duration_s = 1.0\n" + GOOD[GOOD.index("[fleet]") :], 1, "name: missing"),
        (GOOD.replace("servers = 3\n", ""), 3, "fleet.servers: missing"),
        (GOOD.replace("gateways = 2", "gateways = 0"), 4, "fleet.gateways"),
        (GOOD.replace("gateways = 2", 'gateways = "two"'), 4, "fleet.gateways"),
        (GOOD + "spred = 2\n", 9, "load.spred: unknown key"),
        (GOOD + "heavy_share = 0.6\nspiky_share = 0.6\n", 10, "load.spiky_share: more than"),
        (
            GOOD + "heavy_share = 0.5\n",
            6,
            "load.quota_utilization: heavy and spiky tenants alone ask for 1.65",
        ),
        (GOOD + "spike_duration_s = [1.0, 12.0]\n", 9, "load.spike_duration_s: longer than"),
        (GOOD + "[cuonter]\nenabled = true\n", 9, "cuonter: unknown key"),
        (GOOD + "[counter]\ncalls_per_s = [740.0]\n", 10, "counter.calls_per_s"),
        (GOOD + "[counter]\ncalls_per_s = [740.0, 550.0]\n", 10, "counter.calls_per_s: the range"),
        (GOOD + "[servers]\nservice_time_ms = 100.0\n", 10, "servers.service_time_ms"),
        (GOOD + "sampled_share = 1.5\n", 9, "load.sampled_share"),
        (GOOD.replace("[1, 2]", "[1, 3]"), 8, "load.gateways_per_tenant: more than"),
        (
            GOOD.replace("servers = 3\n", "servers = 3\nvisible_servers = 4\n"),
            6,
            "fleet.visible_servers: more than the 3",
        ),
        (
            GOOD.replace("gateways = 2", "gateways = 2100").replace("servers = 3", "servers = 20000"),
            5,
            "fleet.servers: impossible size",
        ),
        (GOOD.replace("10.0", "1e8"), 7, "load.requests_per_s: impossible size"),
        (
            GOOD.replace("10.0", "1e6").replace("duration_s = 1.0", "duration_s = 60.0"),
            7,
            "load.requests_per_s: impossible size",
        ),
        (GOOD.replace("10.0", "nan"), 7, "load.requests_per_s"),
        (GOOD.replace("duration_s = 1.0", "duration_s = inf"), 2, "duration_s"),
        ("seed = -1\n" + GOOD, 1, "seed"),
        (GOOD + "tenants = 1000000000000\n", 9, "load.tenants"),
        (GOOD + "max_units = 100000000\n", 9, "load.max_units"),
        (GOOD + "[counter]\nmachines = 100000000\n", 10, "counter.machines"),
        (GOOD + "[servers]\nqueue_capacity = 1000000000000\n", 10, "servers.queue_capacity"),
        (
            GOOD
            + 2
            * '[[plans]]\nname = "a"\nusage_share = 1.0\nrelative_rate = 1.0\nburst_s = 1.0\nprice = 1.0\n',
            16,
            "plans[1].name: another",
        ),
        (GOOD + '[[faults]]\nkind = "flood"\nat_s = 0.5\n', 10, "faults[0].kind"),
        (GOOD + '[[faults]]\nkind = "counter_cleared"\nat_s = 2.0\n', 11, "faults[0].at_s: after the end"),
        (GOOD + '[[faults]]\nkind = "counter_unavailable"\nat_s = 0.5\n', 9, "faults[0].duration_s: missing"),
        (
            GOOD + '[[faults]]\nkind = "zone_isolated"\nat_s = 0.5\nduration_s = 1\nzone = "z9"\n',
            13,
            "faults[0].zone",
        ),
        (
            GOOD + '[[faults]]\nkind = "counter_cleared"\nat_s = 0.5\n'
            '[[faults]]\nkind = "servers_crashed"\nat_s = 0.5\ncount = 4\n',
            15,
            "faults[1].count: more than",
        ),
    ],
)
def test_an_invalid_experiment_gives_one_line_of_error_and_no_output_file(
    tmp_path: Path, text: str, line: int, key: str
) -> None:
    file = tmp_path / "bad.toml"
    out = tmp_path / "out.json"
    file.write_text(text)
    result = CliRunner().invoke(app, ["lab", "run", str(file), "--out", str(out)])
    assert result.exit_code == 2
    assert result.stdout == ""
    assert result.stderr.count("\n") == 1
    assert f"{file}:{line}: {key}" in result.stderr
    assert list(tmp_path.iterdir()) == [file]


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("heavy = 0.6\nspiky = 0.6\n", ":10: load.spiky: more than"),
        ("spike_s = [1.0, 12.0]\n", ":9: load.spike_s: longer than"),
        ("spike_s = [1.0, -2.0]\n", ":9: load.spike_s[1]: expected"),
        ("part = 1.5\n", ":9: load.part: expected"),
        ("use = 0.5\nquota_utilization = 0.5\n", ":9: load.use: unknown key"),
        ("[servers]\nwork_ms = 100.0\n", ":10: servers.work_ms: expected"),
        (
            '[[faults]]\nkind = "zone_cut"\nat_s = 0.5\nfor_s = 1\nzone = "z9"\n',
            ":13: faults[0].zone: no zone",
        ),
        ('[[faults]]\nkind = "surge"\nat_s = 0.5\nfor_s = -1\n', ":12: faults[0].for_s: expected"),
    ],
)
def test_errors_name_former_keys_as_the_file_writes_them(tmp_path: Path, text: str, error: str) -> None:
    file = tmp_path / "bad.toml"
    file.write_text(GOOD + text)
    with pytest.raises(ConfigFileError) as caught:
        load_experiment(file)
    assert str(caught.value).startswith(f"{file}{error}")


def test_former_and_present_keys_give_the_same_experiment(tmp_path: Path) -> None:
    present = tmp_path / "present.toml"
    former = tmp_path / "former.toml"
    present.write_text(GOOD + "quota_utilization = 0.4\n")
    former.write_text(
        GOOD.replace("duration_s", "seconds").replace("gateways_per_tenant", "spread") + "use = 0.4\n"
    )
    assert load_experiment(present) == load_experiment(former)


def test_unreadable_input_and_unwritable_output_give_one_line_of_error(tmp_path: Path) -> None:
    good = tmp_path / "good.toml"
    good.write_text(GOOD)
    for arguments in (
        ["lab", "run", str(tmp_path / "none.toml")],
        ["lab", "run", str(good), "--out", str(tmp_path / "none" / "out.json")],
    ):
        result = CliRunner().invoke(app, arguments)
        assert (result.exit_code, result.stderr.count("\n"), result.stdout) == (2, 1, "")
