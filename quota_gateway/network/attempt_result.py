"""Results of attempts, and the classification of server responses."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.network import resp
from quota_gateway.network.load_report import is_load_report
from quota_gateway.policy_api.events import CallOutcome


@dataclass(slots=True)
class AttemptResult:
    """How an attempt completed.

    `load_report` is the encoded load report of the response, or None without one.
    """

    outcome: CallOutcome
    value: bytes | None = None  # value of the response; None unless the outcome is `CallOutcome.OK`
    load_report: bytes | None = None
    connection_reusable: bool = False  # well-formed response: the connection may carry another request


def classify_response(response: resp.Message) -> AttemptResult:
    """Classify a complete RESP message from a server.

        array of the value, the usage figures and the load report   OK
        BUSY [load report]                                          REJECTED
        ERR failed [load report], or anything else                  ERROR

    The value must be a bulk string. The usage figures are ignored, and a load report that is not a bulk
    string counts as absent.

    Any other response may have been corrupted in transit, and its request may have run. It must neither be
    served nor be taken for a rejection, which promises that the request did not run.
    """
    if isinstance(response, list) and len(response) == 3:
        value, _, report = response
        if isinstance(value, bytes):
            return AttemptResult(CallOutcome.OK, value, report if isinstance(report, bytes) else None, True)
    if isinstance(response, resp.ReplyError):
        return _classify_error(str(response))
    return AttemptResult(CallOutcome.ERROR)


def _classify_error(error: str) -> AttemptResult:
    """Classify an error response; the last word of its text may be a load report."""
    text, _, last_word = error.rpartition(" ")
    report = last_word.encode() if is_load_report(last_word) else None
    if report is None:
        text = error
    if text == "BUSY":
        return AttemptResult(CallOutcome.REJECTED, None, report, True)
    return AttemptResult(CallOutcome.ERROR, None, report, text == "ERR failed")
