"""Request commands over loopback sockets: validation and limits."""

from __future__ import annotations

import pytest

from quota_gateway.network import client_connection
from quota_gateway.policy_api.events import Request
from tests.network.gateway_fixture import forwarding_policy, running_gateway
from tests.network.samples import CHARGE_FIELDS, CUSTOMER, OK_RESPONSE, READ_FIELDS
from tests.network.scenario import run_scenario
from tests.network.scripted_peers import always_reply

REQUEST_ID = b"9b1f03aa5c7e2d41"


INVALID_COMMANDS = [
    ([b"NOPE"], "unknown command 'NOPE'"),
    ([b"HELLO", b"3"], "unknown command 'HELLO'"),
    ([b"PING", b"a", b"b"], "wrong number of arguments"),
    ([b"CALL.GET"], "wrong number of arguments"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS, b"body", b"more"], "wrong number of arguments"),
    *[
        ([b"CALL.GET", bad, REQUEST_ID, READ_FIELDS], "bad customer")
        for bad in (b"xyz", b"-1", b"0x1f", b"", b"1f", b"00000000b4d6552g", b"0000000200000000", b"+" * 16)
    ],
    *[
        ([b"CALL.GET", CUSTOMER, bad, READ_FIELDS], "bad request id")
        for bad in (b"", b"a b", b"\n", b"x" * 65)
    ],
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=basic"], "no time left"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,c=read,t=basic,d=9"], "bad fields"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, READ_FIELDS + b",x=" + b"1" * 600], "bad fields"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=other,t=basic,d=9"], "unknown class"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=other,d=9"], "unknown plan"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"t=basic,d=9"], "unknown class"),
    ([b"CALL.POST", CUSTOMER, REQUEST_ID, READ_FIELDS, b""], "other command"),
    ([b"CALL.GET", CUSTOMER, REQUEST_ID, CHARGE_FIELDS], "other command"),
    ([b"CALL.POST", CUSTOMER, REQUEST_ID, b"c=order,t=basic,d=9", b""], "no idempotency key"),
    ([b"CALL.POST", CUSTOMER, REQUEST_ID, b"c=order,t=basic,d=9,k=", b""], "no idempotency key"),
    *[
        ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=basic,d=%b" % bad], "bad number for d")
        for bad in (b"", b"nan", b"inf", b"-1", b"1_0", b"0", b"9" * 400, b" 5", b"x", b"1e3")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=basic,d=9,units=%b" % bad], "bad number for units")
        for bad in (b"-2", b"0", b"nan", b"7", b"1e1", b"")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=basic,d=9,spread=%b" % bad], "bad number for spread")
        for bad in (b"0", b"3", b"-1", b"1.5", b"x")
    ],
    *[
        ([b"CALL.GET", CUSTOMER, REQUEST_ID, b"c=read,t=basic,d=9,first=%b" % bad], "bad number for first")
        for bad in (b"2", b"-1", b"x")
    ],
]


def test_invalid_commands_get_an_error_and_go_no_further(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            for words, text in INVALID_COMMANDS:
                assert text in str(await client.execute(*words)), words
            assert script.events_of(Request) == []
            assert await client.execute(b"CLIENT", b"SETNAME", b"x") == b"OK"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", READ_FIELDS) == b"value"
            assert len(gateway.servers[0].received_commands()) == 1

    monkeypatch.setattr(client_connection, "MAX_COMMAND_ERRORS", 1000)  # keeps the connection open
    run_scenario(scenario())


def test_a_long_deadline_is_shortened_to_the_limit_of_the_settings() -> None:
    async def scenario() -> None:
        script = forwarding_policy()
        async with running_gateway(always_reply(OK_RESPONSE), policy=script) as gateway:
            client = await gateway.connect_client()
            fields = b"c=read,t=basic,d=999999999"
            assert await client.execute(b"CALL.GET", CUSTOMER, b"1", fields) == b"value"
            assert [event.time_left_ms for event in script.events_of(Request)] == [20_000.0]

    run_scenario(scenario())
