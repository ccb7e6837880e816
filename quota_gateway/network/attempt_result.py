"""The result of an attempt, and how a server's response is classified."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.network import resp
from quota_gateway.network.load_report import is_load_report
from quota_gateway.policy_api.events import CallOutcome


@dataclass(slots=True)
class AttemptResult:
    """How an attempt completed."""

    outcome: CallOutcome
    value: bytes | None = None  # the response's value, with `CallOutcome.OK` only
    load_report: bytes | None = None
    connection_reusable: bool = False  # the response was well-formed: another request may follow it


def classify_response(response: resp.Message) -> AttemptResult:
    """Classify a complete RESP message from a server by the protocol's table of responses.

    Only the exact forms count. A response that was corrupted on its way belongs to a request that has run, so
    it must neither be served nor be taken for a rejection, which promises that the request did not run.
    """
    if isinstance(response, list) and len(response) == 3:
        value, _, report = response
        if isinstance(value, bytes):
            return AttemptResult(CallOutcome.OK, value, report if isinstance(report, bytes) else None, True)
    if isinstance(response, resp.ReplyError):
        return _classify_error(str(response))
    return AttemptResult(CallOutcome.ERROR)


def _classify_error(error: str) -> AttemptResult:
    """Classify an error response, whose last word may be a load report."""
    text, _, last_word = error.rpartition(" ")
    report = last_word.encode() if is_load_report(last_word) else None
    if report is None:
        text = error
    if text == "BUSY":
        return AttemptResult(CallOutcome.REJECTED, None, report, True)
    return AttemptResult(CallOutcome.ERROR, None, report, text == "ERR failed")
