"""What one gateway needs for requests, memory and its own control work."""

from __future__ import annotations

from quota_gateway.lab.scaling.fleet_load import FleetLoad
from quota_gateway.lab.scaling.requirement import Requirement
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.policy.endpoints import SUBSET_SIZE
from quota_gateway.policy.gateway import TICK_MS

GATEWAY = "gateway"


def request_path(load: FleetLoad) -> list[Requirement]:
    """Return the work for requests, and a gateway's start."""
    at, servers, added_ms = load.slopes.at, load.plan.size.servers, load.plan.limits.added_ms
    parsing = at(SlopeName.CLIENT_COMMAND, 1) + at(SlopeName.SERVER_RESPONSE, 1)
    return [
        Requirement(
            GATEWAY,
            "start, to the first answer",
            at(SlopeName.PROCESS_START, servers),
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
            at(SlopeName.DECISION, servers),
            "ms",
            added_ms,
            f"subset of {SUBSET_SIZE}, sample of the index beyond it",
        ),
        Requirement(
            GATEWAY,
            "parsing of a request and its response",
            parsing,
            "ms",
            added_ms,
            "hiredis, one event loop",
        ),
    ]


def memory(load: FleetLoad) -> list[Requirement]:
    """Return the state of a gateway."""
    at, limit_mb, servers = load.slopes.at, load.plan.limits.memory_mb, load.plan.size.servers
    empty_mb = at(SlopeName.EMPTY_PROCESS, 1) / 1e6
    resident_mb = at(SlopeName.PROCESS_RESIDENT, servers) / 1e6
    customers_mb = at(SlopeName.CUSTOMER_RECORDS, load.known_customers) / 1e6
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
    """Return the processor time of a gateway that no request asks for."""
    at, limit = load.slopes.at, load.control_ms_per_s
    tick_ms = at(SlopeName.TICK, load.plan.size.servers)
    tick_ms += at(SlopeName.TICK_BY_CUSTOMERS, load.known_customers)
    ticks = 1000.0 / TICK_MS * tick_ms
    calls = load.counter_calls * at(SlopeName.COUNTER_CALL, 1)
    changes = load.change_processor_ms(load.release_changes_per_s)
    return [
        Requirement(
            GATEWAY,
            "ticks, all customers with unreported usage",
            ticks,
            "ms/s",
            limit,
            "only customers that are due, in turn",
        ),
        Requirement(
            GATEWAY,
            "calls to the counter, as many as it takes",
            calls,
            "ms/s",
            limit,
            "pipelined connections",
        ),
        Requirement(
            GATEWAY,
            "endpoint changes during a release",
            changes,
            "ms/s",
            limit,
            "work in proportion to the change",
        ),
        Requirement(GATEWAY, "control work, sum", ticks + calls + changes, "ms/s", limit, "the three above"),
    ]
