"""Requirements of one gateway: request path, memory and control work.

`what` and `mechanism` of each requirement are stored in result files.
"""

from __future__ import annotations

from quota_gateway.lab.scaling.fleet_load import FleetLoad
from quota_gateway.lab.scaling.requirement import Requirement
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.policy.endpoints import SUBSET_SIZE
from quota_gateway.policy.gateway import TICK_MS

GATEWAY = "gateway"


def request_path(load: FleetLoad) -> list[Requirement]:
    """Return the request rate and the processor time of a start, of a decision and of parsing."""
    slopes = load.slopes
    servers = load.plan.size.servers
    added_ms = load.plan.limits.added_ms
    parsing_ms = slopes.at(SlopeName.CLIENT_COMMAND, 1) + slopes.at(SlopeName.SERVER_RESPONSE, 1)
    return [
        Requirement(
            GATEWAY,
            "start, to the first answer",
            slopes.at(SlopeName.PROCESS_START, servers),
            "ms",
            None,
            "the cached endpoint list, handled in steps",
        ),
        Requirement(
            GATEWAY,
            "requests",
            load.requests_per_s,
            "/s",
            None,
            "the load balancer in front (assumed even)",
        ),
        Requirement(
            GATEWAY,
            "a decision and its outcome",
            slopes.at(SlopeName.DECISION, servers),
            "ms",
            added_ms,
            f"subset of {SUBSET_SIZE}, sample of the index beyond it",
        ),
        Requirement(
            GATEWAY,
            "parsing of a request and its response",
            parsing_ms,
            "ms",
            added_ms,
            "hiredis, one event loop",
        ),
    ]


def memory(load: FleetLoad) -> list[Requirement]:
    """Return the memory of a gateway's process and of its customer records."""
    slopes = load.slopes
    limit_mb = load.plan.limits.memory_mb
    servers = load.plan.size.servers
    empty_mb = slopes.at(SlopeName.EMPTY_PROCESS, 1) / 1e6
    resident_mb = slopes.at(SlopeName.PROCESS_RESIDENT, servers) / 1e6
    customers_mb = slopes.at(SlopeName.CUSTOMER_RECORDS, load.known_customers) / 1e6
    return [
        Requirement(GATEWAY, "process, empty", empty_mb, "MB", limit_mb, "few libraries, none of the lab"),
        Requirement(
            GATEWAY,
            f"process that has read {servers} servers",
            resident_mb,
            "MB",
            limit_mb,
            "one record and one connection pool a server",
        ),
        Requirement(
            GATEWAY,
            f"records of {load.known_customers:.0f} customers",
            customers_mb,
            "MB",
            limit_mb,
            "dropped after a minute without requests",
        ),
        Requirement(
            GATEWAY,
            "memory, sum of the last two",
            resident_mb + customers_mb,
            "MB",
            limit_mb,
            "both of these",
        ),
    ]


def control_work(load: FleetLoad) -> list[Requirement]:
    """Return the processor time that a gateway spends on ticks, counter calls and endpoint changes."""
    slopes = load.slopes
    limit_ms_per_s = load.control_ms_per_s
    tick_ms = slopes.at(SlopeName.TICK, load.plan.size.servers)
    tick_ms += slopes.at(SlopeName.TICK_BY_CUSTOMERS, load.known_customers)
    ticks_ms_per_s = 1000.0 / TICK_MS * tick_ms
    calls_ms_per_s = load.counter_calls * slopes.at(SlopeName.COUNTER_CALL, 1)
    changes_ms_per_s = load.change_processor_ms(load.release_changes_per_s)
    return [
        Requirement(
            GATEWAY,
            "ticks, all customers with unreported usage",
            ticks_ms_per_s,
            "ms/s",
            limit_ms_per_s,
            "only customers that are due, in turn",
        ),
        Requirement(
            GATEWAY,
            "calls to the counter, as many as it takes",
            calls_ms_per_s,
            "ms/s",
            limit_ms_per_s,
            "pipelined connections",
        ),
        Requirement(
            GATEWAY,
            "endpoint changes during a release",
            changes_ms_per_s,
            "ms/s",
            limit_ms_per_s,
            "work in proportion to the change",
        ),
        Requirement(
            GATEWAY,
            "control work, sum",
            ticks_ms_per_s + calls_ms_per_s + changes_ms_per_s,
            "ms/s",
            limit_ms_per_s,
            "the three above",
        ),
    ]
