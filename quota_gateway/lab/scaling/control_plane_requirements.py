"""Requirements of the control plane: counter, discovery, endpoint changes and configuration changes.

`what` and `mechanism` of each requirement are stored in result files.
"""

from __future__ import annotations

from quota_gateway.lab.scaling.fleet_load import ROUND_TRIP_HEADER_BYTES, SECONDS_PER_DAY, FleetLoad
from quota_gateway.lab.scaling.gateway_requirements import GATEWAY
from quota_gateway.lab.scaling.requirement import Requirement
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.network.discovery.poll_schedule import LONG_POLL_S

COUNTER = "counter"
DISCOVERY = "discovery"


def counter(load: FleetLoad) -> list[Requirement]:
    """Return the rate of counter calls, for one gateway and for all, and the bytes of a gateway's calls."""
    size = load.plan.size
    limits = load.plan.limits
    call_bytes = load.slopes.at(SlopeName.COUNTER_CALL_BYTES, 1)
    call_bytes += load.slopes.at(SlopeName.COUNTER_REPLY_BYTES, 1) + ROUND_TRIP_HEADER_BYTES
    return [
        Requirement(
            COUNTER,
            "calls wanted by one gateway",
            load.counter_calls_wanted,
            "/s",
            load.counter_calls_available,
            "missing: a budget of calls off the request path (the limits issue)",
        ),
        Requirement(
            COUNTER,
            "calls wanted by all gateways",
            load.counter_calls_wanted * size.gateways,
            "/s",
            limits.control_machines * load.plan.counter.calls_per_machine_s,
            "missing: the same",
        ),
        Requirement(
            GATEWAY,
            "bytes of calls, as many as the counter takes",
            load.counter_calls * call_bytes,
            "B/s",
            limits.control_bytes_per_s,
            "calls throttled by the counter's replies and their latency",
        ),
    ]


def discovery(load: FleetLoad) -> list[Requirement]:
    """Return the costs of watching the endpoint list and of receiving a snapshot of it."""
    return [*_watches(load), *_snapshots(load)]


def _watches(load: FleetLoad) -> list[Requirement]:
    size = load.plan.size
    limits = load.plan.limits
    idle_bytes_per_s = load.slopes.at(SlopeName.IDLE_WATCH_BYTES, 1) + ROUND_TRIP_HEADER_BYTES / LONG_POLL_S
    release_bytes_per_s = idle_bytes_per_s + load.change_bytes(load.release_changes_per_s)
    return [
        Requirement(
            DISCOVERY,
            "idle watches of all gateways",
            size.gateways / LONG_POLL_S,
            "/s",
            None,
            "long polls by one agent a machine",
        ),
        Requirement(
            GATEWAY,
            "bytes of an idle watch",
            idle_bytes_per_s,
            "B/s",
            limits.control_bytes_per_s,
            "the same",
        ),
        Requirement(
            GATEWAY,
            "bytes of a watch during a release",
            release_bytes_per_s,
            "B/s",
            limits.control_bytes_per_s,
            "deltas from the version held",
        ),
        Requirement(
            DISCOVERY,
            "bytes of all watches during a release",
            release_bytes_per_s * size.gateways / 1e6,
            "MB/s",
            None,
            "one agent a machine; the service sends each change once a machine",
        ),
    ]


def _snapshots(load: FleetLoad) -> list[Requirement]:
    limits = load.plan.limits
    slopes = load.slopes
    servers = load.plan.size.servers
    snapshot_bytes = slopes.at(SlopeName.SNAPSHOT_BYTES, servers)
    parsing_ms = slopes.at(SlopeName.SNAPSHOT_PARSED, servers)
    handling_ms = slopes.at(SlopeName.FIRST_LIST_HANDLED, servers)
    return [
        Requirement(
            GATEWAY,
            "a snapshot",
            snapshot_bytes / 1e6,
            "MB",
            None,
            "a start goes on from the cached snapshot",
        ),
        Requirement(
            GATEWAY,
            "a snapshot, time at the allowed rate",
            snapshot_bytes / limits.control_bytes_per_s,
            "s",
            limits.in_force_s,
            "missing: lists by service or zone, or compressed ones",
        ),
        Requirement(
            GATEWAY,
            "a first snapshot, processor time",
            parsing_ms + handling_ms,
            "ms",
            None,
            "parsed and handled 250 servers at a time",
        ),
    ]


def failures(load: FleetLoad) -> list[Requirement]:
    """Return the costs of losing a failure domain and of the restarts and failures of an ordinary day."""
    return [*_lost_domains(load), *_ordinary_day(load)]


def _lost_domains(load: FleetLoad) -> list[Requirement]:
    size = load.plan.size
    limits = load.plan.limits
    servers_lost = {
        "rack": float(size.servers_in_a_rack),
        "zone": size.servers / size.zones,
        "region": size.servers / size.regions,
    }
    requirements = []
    for domain, servers in servers_lost.items():
        # One delta carries all changes, so the header bytes are counted once.
        delta_bytes = load.change_bytes(1) + (servers - 1) * load.slopes.per_unit(SlopeName.UPDATE_BYTES)
        fits = delta_bytes < limits.in_force_s * limits.control_bytes_per_s
        requirements.append(
            Requirement(
                GATEWAY,
                f"a {domain} lost ({servers:.0f} servers), notified at the allowed rate",
                delta_bytes / limits.control_bytes_per_s,
                "s",
                limits.in_force_s,
                "one delta with all changes" if fits else "missing: the loss of a domain as a single change",
            )
        )
    return requirements


def _ordinary_day(load: FleetLoad) -> list[Requirement]:
    changes_per_s = load.daily_changes_per_s
    return [
        Requirement(GATEWAY, "endpoint changes of an ordinary day", changes_per_s, "/s", None, "deltas"),
        Requirement(
            GATEWAY,
            "their bytes",
            load.change_bytes(changes_per_s),
            "B/s",
            load.plan.limits.control_bytes_per_s,
            "deltas",
        ),
        Requirement(
            GATEWAY,
            "their processor time",
            load.change_processor_ms(changes_per_s),
            "ms/s",
            load.control_ms_per_s,
            "work in proportion to the change",
        ),
    ]


def configuration(load: FleetLoad) -> list[Requirement]:
    """Return the rate of configuration changes."""
    return [
        Requirement(
            GATEWAY,
            "changes of configuration",
            load.plan.size.configuration_changes_per_day / SECONDS_PER_DAY,
            "/s",
            None,
            "missing: SIGHUP follows addresses only; plans, classes and routes wait for a restart",
        )
    ]
