"""The simulator adapter: every event and action, malformed input, and the command of the deploy file."""

from __future__ import annotations

import io
import json
import shlex
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.policy_api.actions import (
    Action,
    CancelAttempt,
    Fail,
    IncrementCounter,
    LogEvent,
    Reject,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from quota_gateway.policy_api.events import Event
from quota_gateway.simulator_adapter import GatewayHost, WireError, encode_action, serve

ROOT = Path(__file__).resolve().parent.parent
RAW_SETTINGS: dict[str, Any] = {
    "my_zone": "a",
    "balancers": 2,
    "me": 0,
    "no_such_key": {"x": [1]},
    "domain": {"counter": True},
    "limits": {"attempts_cap": 3, "retry_after": True, "max_retry_after_ms": 500.0, "max_open": None},
    "membership_mode": "subscribe",
    "packages": [{"name": "basic", "per_second": 2.0, "most_at_once": 9.0, "price": None, "odd": 1}],
    "profiles": [{"name": "read", "repeat": "read_like", "aim_ms": 500.0, "hard_limit_ms": 1000.0}],
    "reporting": {"fields": ["x0", "waiting", "active"], "how": "piggyback"},
    "safety": {"cold_from": 0.22, "warm_after_ms": 18000.0},
}


def endpoint_row(server_id: str, state: str = "active", started_ms: float | None = None) -> list[Any]:
    return [1, started_ms, "a", 0, "std", server_id, state]


def batch_line(now_ms: float, *messages: list[Any]) -> str:
    return json.dumps({"moment_ms": now_ms, "inbox": messages})


def accept_message(gateway_id: int, request_id: str) -> list[Any]:
    return ["accept", gateway_id, request_id, "read", "basic", "c1", 900.0, 1, 2, 0, False, False]


def host_with_gateways(*gateway_ids: int) -> GatewayHost:
    host = GatewayHost()
    messages: list[list[Any]] = []
    for gateway_id in gateway_ids:
        messages.append(["create", gateway_id, 7 + gateway_id, RAW_SETTINGS])
        messages.append(["directory", 0, [endpoint_row(f"s{gateway_id}:1")]])
        messages.append(["topology", gateway_id, "warm_copy", 1, 0])
    host.handle_line(batch_line(10.0, *messages))
    return host


def handle_batch(host: GatewayHost, now_ms: float, *messages: list[Any]) -> list[list[Any]]:
    actions: list[list[Any]] = json.loads(host.handle_line(batch_line(now_ms, *messages)))["actions"]
    return actions


def test_directory_numbers_are_reused_within_a_batch() -> None:
    host = host_with_gateways(3, 5)
    actions = handle_batch(host, 20.0, accept_message(3, "r3"), accept_message(5, "r5"))
    attempts = [action for action in actions if action[0] == "hand_off"]
    targets = [(action[1], action[2], action[4]) for action in attempts]
    assert targets == [(3, "r3", "s3:1"), (5, "r5", "s5:1")]


def test_every_event_is_decoded() -> None:
    host = host_with_gateways(3)
    handle_batch(host, 20.0, accept_message(3, "r"))
    load_report = [9, 4.0, None]
    messages: list[list[Any]] = [
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True, 86, 3, load_report],
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True, None, None, None],
        ["ended", 3, "r", 0, "s3:1", "pass", 18.5, True],
        ["streaming", 3, "r", 0, "s3:1", 5.0],
        ["gone", 3, "other"],
        ["alarm", 3, 77],
        ["echo", 3, "s3:1", "pass", 1.0, load_report],
        ["whisper", 3, 1, "aGkgNw=="],
        ["ledger_reply", 3, 2.15, 9041552, 38, "pass"],
        ["topology", 3, "lost", 0, 0],
        ["directory", 4, [endpoint_row("s4:1", started_ms=15.0)]],
        ["topology", 3, "incr", 2, 4],
        ["shutdown", 3],
    ]
    for message in messages:
        assert all(action[0] != "die" for action in handle_batch(host, 30.0, message)), message
    assert 3 not in host.gateways


@pytest.mark.parametrize(
    "outcome", ["pass", "fault", "no_room", "too_slow", "no_route", "cut", "undone", "stale_send"]
)
def test_every_outcome_is_decoded(outcome: str) -> None:
    host = host_with_gateways(3)
    handle_batch(host, 20.0, accept_message(3, "r"))
    ended = ["ended", 3, "r", 0, "s3:1", outcome, 10.0, outcome == "pass", 0, 0, [1, 2, 3]]
    assert all(action[0] != "die" for action in handle_batch(host, 30.0, ended))


def test_every_action_is_encoded() -> None:
    encoded: list[tuple[Action, list[Any]]] = [
        (StartAttempt("r", "s", 5.0), ["hand_off", 1, "r", 5.0, "s"]),
        (Reject("r", 9.0), ["bounce", 1, "r", 9.0]),
        (Fail("r"), ["give_up", 1, "r"]),
        (CancelAttempt("r", 2), ["recall", 1, "r", 2]),
        (SetTimer(4, 8.0), ["remind", 1, 4, 8.0]),
        (IncrementCounter(6, 2.0, 60.0), ["incr", 1, 6, 2.0, 60.0]),
        (WatchEndpoints(), ["tail", 1, True]),
        (LogEvent("x", (("y", "a b"),)), ["say_log", 1, 'event=x y="a b"']),
    ]
    assert [encode_action(1, action) for action, _ in encoded] == [wire for _, wire in encoded]


@pytest.mark.parametrize(
    "text",
    [
        "not json",
        "[]",
        '{"inbox": []}',
        '{"moment_ms": 1, "inbox": 3}',
        '{"moment_ms": 1, "inbox": [["no_such_event", 1]]}',
        '{"moment_ms": 1, "inbox": [["alarm", 9, 1]]}',
        '{"moment_ms": 1, "inbox": [7]}',
    ],
)
def test_malformed_line_is_reported_and_ends_the_process(
    text: str, capsys: pytest.CaptureFixture[str]
) -> None:
    out = io.StringIO()
    assert serve([text], out) == 1
    assert out.getvalue() == ""
    assert "quota_gateway.simulator_adapter: " in capsys.readouterr().err
    with pytest.raises(WireError):
        GatewayHost().handle_line(text)


def test_exception_in_the_policy_becomes_a_die_action(monkeypatch: pytest.MonkeyPatch) -> None:
    host = host_with_gateways(3)

    def broken(now_ms: float, event: Event) -> list[Action]:
        raise RuntimeError("broken policy")

    monkeypatch.setattr(host.gateways[3], "handle", broken)
    assert handle_batch(host, 20.0, ["alarm", 3, 1]) == [["die", 3, "RuntimeError: broken policy"]]


def test_gateways_of_one_process_share_nothing() -> None:
    alone, together = host_with_gateways(3), host_with_gateways(3, 5)
    for now_ms in range(20, 400, 20):
        first = handle_batch(alone, now_ms, accept_message(3, f"r{now_ms}"))
        messages = accept_message(5, f"q{now_ms}"), accept_message(3, f"r{now_ms}")
        second = handle_batch(together, now_ms, *messages)
        assert first == [action for action in second if action[1] == 3]


def test_deploy_file_starts_the_adapter() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert all((ROOT / name).is_file() for name in deploy["policy"])
    command = deploy["sim"].replace(".venv/bin/python", shlex.quote(sys.executable))
    session = [
        batch_line(0.0),
        batch_line(
            10.0,
            ["create", 3, 7, RAW_SETTINGS],
            ["directory", 0, [endpoint_row("s:1")]],
            ["topology", 3, "warm_copy", 1, 0],
        ),
        batch_line(20.0, accept_message(3, "r")),
        batch_line(40.0, ["ended", 3, "r", 0, "s:1", "pass", 18.0, True, 0, 0, [1, 2, 3]]),
    ]
    done = subprocess.run(
        ["/bin/sh", "-c", command],
        input="\n".join(session) + "\n",
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    replies = [json.loads(reply)["actions"] for reply in done.stdout.splitlines()]
    assert len(replies) == 4
    assert replies[0] == []
    assert [action[2] for action in replies[2] if action[0] == "hand_off"] == ["r"]


def test_readme_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout == "10.0.0.1:80\n"
