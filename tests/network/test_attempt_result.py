"""Classification of server responses."""

from __future__ import annotations

import pytest

from quota_gateway.network import resp
from quota_gateway.network.attempt_result import AttemptResult, classify_response
from quota_gateway.policy_api.events import CallOutcome

ERROR = AttemptResult(CallOutcome.ERROR)


@pytest.mark.parametrize(
    ("response", "result"),
    [
        ([b"v", [7], b"queue=1"], AttemptResult(CallOutcome.OK, b"v", b"queue=1", True)),
        ([b"v", None, None], AttemptResult(CallOutcome.OK, b"v", None, True)),
        ([b"v", None, 5], AttemptResult(CallOutcome.OK, b"v", None, True)),
        ([b"v", None], ERROR),
        ([None, None, None], ERROR),
        (b"v", ERROR),
        ("OK", ERROR),
        (None, ERROR),
        (resp.ReplyError("BUSY"), AttemptResult(CallOutcome.REJECTED, None, None, True)),
        (resp.ReplyError("BUSY queue=3"), AttemptResult(CallOutcome.REJECTED, None, b"queue=3", True)),
        (resp.ReplyError("BUSY or not"), ERROR),
        (resp.ReplyError("ERR failed"), AttemptResult(CallOutcome.ERROR, None, None, True)),
        (resp.ReplyError("ERR failed active=2"), AttemptResult(CallOutcome.ERROR, None, b"active=2", True)),
        (resp.ReplyError("ERR other"), ERROR),
    ],
)
def test_only_exact_forms_are_an_answer_or_a_rejection(response: resp.Message, result: AttemptResult) -> None:
    assert classify_response(response) == result
