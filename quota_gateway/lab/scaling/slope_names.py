"""Names of the measured figures, as result files of `quota-gateway lab slopes` store them."""

from __future__ import annotations

from enum import StrEnum


class SlopeName(StrEnum):
    """A measured figure. The values are part of the file format: existing files must stay readable."""

    DECISION = "decision: request and its outcome"
    DECISION_BY_CUSTOMERS = "decision, by known customers"
    TICK = "tick"
    TICK_BY_CUSTOMERS = "tick, by customers with use to tell"
    ONE_CHANGE = "one change of the list"
    SNAPSHOT_HANDLED = "whole list taken in by the module"
    FIRST_LIST_HANDLED = "first list taken in by a new module"
    SNAPSHOT_PARSED = "whole list read from JSON"
    LONGEST_PARSE_STEP = "longest step of a whole list read"
    SNAPSHOT_BYTES = "whole list"
    ONE_CHANGE_BYTES = "one change"
    ENDPOINT_RECORDS = "records of servers"
    CUSTOMER_RECORDS = "records of customers"
    CLIENT_COMMAND = "client's command read and passed on"
    SERVER_RESPONSE = "server's answer read"
    COUNTER_CALL = "counter's call written"
    IDLE_WATCH_CALLS = "an idle watch: calls"
    IDLE_WATCH_BYTES = "an idle watch: call and answer"
    UPDATE_BYTES = "news of a watch: call and answer"
    COUNTER_CALL_BYTES = "counter: call written"
    COUNTER_REPLY_BYTES = "counter: answer"
    EMPTY_PROCESS = "a gateway's process, nothing held"
    PROCESS_RESIDENT = "a gateway's process, most resident"
    PROCESS_START = "a gateway's start, to its first answer"
