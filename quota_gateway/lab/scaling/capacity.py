"""Capacity: what each role needs at a size, worked out from measured slopes.

A figure is a slope (`quota-gateway lab slopes`) times a count of the size file, or a count alone. Beside it
stand the limit, what is left of that, and the mechanism that carries it; "missing" where none does. Nothing
is measured here, so that a page can be made anew from the same slopes.
"""

from __future__ import annotations

import statistics
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from quota_gateway.lab.simulation.experiment import Count, Part, Positive, Problem, Share
from quota_gateway.network.discovery.watch import WAIT_S
from quota_gateway.policy.endpoints import SUBSET_SIZE
from quota_gateway.policy.gateway import TICK_MS
from quota_gateway.policy.quota import CUSTOMER_IDLE_MS

DAY_S = 86_400.0
HEADERS = 52  # bytes of IP and TCP round a small message, with time stamps: RFC 791, 9293, 7323
ACKED = 2 * HEADERS  # a call and its answer, each acknowledged by what comes next
MESSAGES = 3  # a server that is replaced drains, is gone, and its successor comes


class Size(Part, frozen=True):
    """How large the fleet is."""

    gateways: Count
    servers: Count
    services: Count
    requests_per_s: Positive
    routes: Count
    tenants: Count
    regions: Count
    zones: Count
    configuration_changes_per_day: Positive
    restarts_per_day: Positive
    failures_per_day: Positive
    servers_in_a_rack: Count
    release_share: Share
    release_s: Positive


class Limits(Part, frozen=True):
    """What the operators allow, of a gateway where nothing else is said."""

    control_core_share: Share
    memory_mb: Positive
    control_bytes_per_s: Positive
    control_machines: Count
    added_ms: Positive
    in_force_s: Positive


class CounterSize(Part, frozen=True):
    """The counter."""

    calls_per_machine_s: Positive
    calls_per_request: Positive


class Outlook(Part, frozen=True):
    """A size file."""

    name: str
    size: Size
    limits: Limits
    counter: CounterSize


def impossible(made: Outlook) -> Problem | None:
    """Sizes that don't fit each other."""
    size = made.size
    checks = (
        (size.zones < size.regions, "size.zones", f"fewer than the {size.regions} regions"),
        (size.servers < size.services, "size.servers", f"fewer than the {size.services} services"),
        (size.servers < size.zones, "size.servers", f"fewer than the {size.zones} zones"),
        (size.servers_in_a_rack > size.servers, "size.servers_in_a_rack", "more than there are"),
    )
    return next(((key, what) for wrong, key, what in checks if wrong), None)


class SlopesError(ValueError):
    """A file of slopes that can't be used; the text is one line."""


class Slopes:
    """Measured slopes by name: ms of processor time, or bytes."""

    def __init__(self, path: Path) -> None:
        try:
            raw = msgspec.json.decode(path.read_bytes())
            runs = raw.get("runs", [raw])  # one result, or several that were put into one file
            self.machine: dict[str, Any] = runs[-1]["machine"]
            self.runs = [{slope["name"]: slope for slope in run["slopes"]} for run in runs]
        except (OSError, msgspec.DecodeError, AttributeError, IndexError, KeyError, TypeError) as error:
            raise SlopesError(f"{path}: not a result of `quota-gateway lab slopes`: {error!r}") from None
        self.path = path

    def found(self, name: str) -> list[dict[str, Any]]:
        """The slopes of this name, of all runs that have it."""
        slopes = [run[name] for run in self.runs if name in run]
        if not slopes:
            raise SlopesError(f"{self.path}: no slope {name!r}")
        return slopes

    def at(self, name: str, count: float) -> float:
        """The median measured at a count, else by the fitted line; the median of all runs."""
        values = []
        for slope in self.found(name):
            measured = [point["median"] for point in slope["points"] if point["count"] == count]
            fit = slope["fit"]
            values.append(measured[0] if measured else fit["intercept"] + fit["slope"] * count)
        return max(0.0, float(statistics.median(values)))

    def each(self, name: str) -> float:
        """What one more of its count adds, by the fitted line."""
        return max(0.0, float(statistics.median(slope["fit"]["slope"] for slope in self.found(name))))


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the page."""

    role: str
    what: str
    value: float
    unit: str
    limit: float | None
    carried: str  # by which mechanism; begins with "missing" where by none

    @property
    def margin(self) -> float | None:
        """How many times the figure fits into its limit."""
        return None if self.limit is None or self.value <= 0.0 else self.limit / self.value


class Page:
    """Works out the lines."""

    def __init__(self, made: Outlook, slopes: Slopes) -> None:
        self.made, self.size, self.limits, self.slopes = made, made.size, made.limits, slopes
        self.requests = self.size.requests_per_s / self.size.gateways  # a second, of one gateway
        self.customers = min(
            self.size.tenants, self.requests * CUSTOMER_IDLE_MS / 1000.0
        )  # known to one gateway
        self.wished = self.requests * made.counter.calls_per_request
        self.borne = made.counter.calls_per_machine_s * self.limits.control_machines / self.size.gateways

    def lines(self) -> list[Line]:
        """All lines of the page, by role."""
        parts: Iterable[Callable[[], list[Line]]] = (
            self.on_the_path,
            self.memory,
            self.control,
            self.counter,
            self.discovery,
            self.losses,
            self.configuration,
        )
        return [line for part in parts for line in part()]

    def changes(self, per_s: float) -> float:
        """ms of processor time a second that so many changes of the list cost."""
        taken_in = self.slopes.at("one change of the list", self.size.servers)
        return per_s * (taken_in + self.slopes.each("whole list read from JSON"))

    def bytes_of_changes(self, many: float) -> float:
        """What so many changes take on the wire, each told alone."""
        return many * (self.slopes.at("news of a watch: call and answer", 1) + ACKED)

    def releases(self) -> float:
        """Changes a second during a release."""
        return MESSAGES * self.size.release_share * self.size.servers / self.size.release_s

    def on_the_path(self) -> list[Line]:
        """Work for requests."""
        at = self.slopes.at
        network = sum(at(name, 1) for name in ("client's command read and passed on", "server's answer read"))
        decision = at("decision: request and its outcome", self.size.servers)
        return [
            Line(
                "gateway",
                "a start, to the first answer",
                at("a gateway's start, to its first answer", self.size.servers),
                "ms",
                None,
                "the saved list, taken in by pieces",
            ),
            Line("gateway", "requests", self.requests, "/s", None, "the front's spreading (assumed even)"),
            Line(
                "gateway",
                "a decision and its outcome",
                decision,
                "ms",
                self.limits.added_ms,
                f"subset of {SUBSET_SIZE}, sample of the index beyond it",
            ),
            Line(
                "gateway",
                "parsing of a request and its answer",
                network,
                "ms",
                self.limits.added_ms,
                "hiredis, one loop",
            ),
        ]

    def memory(self) -> list[Line]:
        """State of a gateway."""
        at, most = self.slopes.at, self.limits.memory_mb
        process = at("a gateway's process, nothing held", 1) / 1e6
        resident = at("a gateway's process, most resident", self.size.servers) / 1e6
        customers = at("records of customers", self.customers) / 1e6
        listed, known = f"{self.size.servers} servers", f"{self.customers:.0f} customers"
        return [
            Line("gateway", "process, nothing held", process, "MB", most, "few libraries, none of the lab"),
            Line("gateway", f"process that has read {listed}", resident, "MB", most, "a record, a pool"),
            Line(
                "gateway",
                f"records of {known}",
                customers,
                "MB",
                most,
                "kept a minute",
            ),
            Line("gateway", "memory, the last two", resident + customers, "MB", most, "both"),
        ]

    def control(self) -> list[Line]:
        """Processor time of a gateway that no request asks for."""
        at, most = self.slopes.at, 1000.0 * self.limits.control_core_share
        ticks = (
            1000.0
            / TICK_MS
            * (at("tick", self.size.servers) + at("tick, by customers with use to tell", self.customers))
        )
        calls = min(self.wished, self.borne) * at("counter's call written", 1)
        changes = self.changes(self.releases())
        return [
            Line(
                "gateway",
                "ticks, all customers with use to tell",
                ticks,
                "ms/s",
                most,
                "the customers due, in turn",
            ),
            Line(
                "gateway", "calls to the counter, as many as it bears", calls, "ms/s", most, "pipelined links"
            ),
            Line(
                "gateway",
                "changes during a release",
                changes,
                "ms/s",
                most,
                "work in proportion to the change",
            ),
            Line("gateway", "control, all of it", ticks + calls + changes, "ms/s", most, "the three above"),
        ]

    def counter(self) -> list[Line]:
        """The counter, and what a gateway tells it."""
        size, limits = self.size, self.limits
        call = self.slopes.at("counter: call written", 1) + self.slopes.at("counter: answer", 1) + ACKED
        total, bears = (
            self.wished * size.gateways,
            limits.control_machines * self.made.counter.calls_per_machine_s,
        )
        return [
            Line(
                "counter",
                "calls wished, one gateway",
                self.wished,
                "/s",
                self.borne,
                "missing: a budget of calls off the request path (the limits issue)",
            ),
            Line("counter", "calls wished, all gateways", total, "/s", bears, "missing: the same"),
            Line(
                "gateway",
                "bytes of calls, as many as the counter bears",
                min(self.wished, self.borne) * call,
                "B/s",
                limits.control_bytes_per_s,
                "share of the wish, by answers and their time",
            ),
        ]

    def discovery(self) -> list[Line]:
        """Discovery, and what a gateway hears of it."""
        size, limits, at = self.size, self.limits, self.slopes.at
        watch = self.slopes.at("an idle watch: call and answer", 1) + ACKED / WAIT_S
        release = self.bytes_of_changes(self.releases())
        whole = at("whole list", size.servers)
        read = at("whole list read from JSON", size.servers)
        read += at("first list taken in by a new module", size.servers)
        return [
            Line(
                "discovery",
                "watches without news, all gateways",
                size.gateways / WAIT_S,
                "/s",
                None,
                "long watches of one agent a machine",
            ),
            Line(
                "gateway",
                "bytes of watches without news",
                watch,
                "B/s",
                limits.control_bytes_per_s,
                "the same",
            ),
            Line(
                "gateway",
                "bytes during a release",
                watch + release,
                "B/s",
                limits.control_bytes_per_s,
                "changes alone, from the version held",
            ),
            Line(
                "discovery",
                "bytes during a release, all gateways",
                (watch + release) * size.gateways / 1e6,
                "MB/s",
                None,
                "an agent a machine; the service sends each change once a machine",
            ),
            Line("gateway", "a whole list", whole / 1e6, "MB", None, "a start goes on from the saved list"),
            Line(
                "gateway",
                "a whole list, time at the allowed rate",
                whole / limits.control_bytes_per_s,
                "s",
                limits.in_force_s,
                "missing: lists by service or zone, or packed ones",
            ),
            Line(
                "gateway",
                "a first list, processor time",
                read,
                "ms",
                None,
                "read and taken in 250 servers at a time",
            ),
        ]

    def losses(self) -> list[Line]:
        """What the loss of a part, and the restarts of a day, add."""
        size, limits = self.size, self.limits
        lost = (
            ("rack", float(size.servers_in_a_rack)),
            ("zone", size.servers / size.zones),
            ("region", size.servers / size.regions),
        )
        out = []
        for name, servers in lost:
            took = self.bytes_of_changes(1) + (servers - 1) * self.slopes.each(
                "news of a watch: call and answer"
            )
            out.append(
                Line(
                    "gateway",
                    f"a {name} lost ({servers:.0f} servers), told at the allowed rate",
                    took / limits.control_bytes_per_s,
                    "s",
                    limits.in_force_s,
                    "one answer with all changes"
                    if took < limits.in_force_s * limits.control_bytes_per_s
                    else "missing: the loss of a zone told as one",
                )
            )
        day = (MESSAGES * size.restarts_per_day + size.failures_per_day) / DAY_S
        out += [
            Line("gateway", "changes of an ordinary day", day, "/s", None, "changes alone"),
            Line(
                "gateway",
                "their bytes",
                self.bytes_of_changes(day),
                "B/s",
                limits.control_bytes_per_s,
                "changes alone",
            ),
            Line(
                "gateway",
                "their processor time",
                self.changes(day),
                "ms/s",
                1000.0 * limits.control_core_share,
                "work in proportion to the change",
            ),
        ]
        return out

    def configuration(self) -> list[Line]:
        """Changes of configuration."""
        per_s = self.size.configuration_changes_per_day / DAY_S
        return [
            Line(
                "gateway",
                "changes of configuration",
                per_s,
                "/s",
                None,
                "missing: SIGHUP follows addresses only; plans, classes and routes wait for a restart",
            )
        ]


def number(value: float) -> str:
    """Three digits that count."""
    return f"{value:,.0f}" if value >= 1000.0 else f"{value:.3g}"


def markdown(lines: Sequence[Line]) -> str:
    """The page's table."""
    rows = ["| role | what | figure | limit | fits | carried by |", "| --- | --- | --- | --- | --- | --- |"]
    for line in lines:
        limit = "" if line.limit is None else f"{number(line.limit)} {line.unit}"
        margin = "" if line.margin is None else f"{number(line.margin)} x"
        figure = f"{number(line.value)} {line.unit}"
        rows.append(f"| {line.role} | {line.what} | {figure} | {limit} | {margin} | {line.carried} |")
    return "\n".join(rows)


def result(made: Outlook, slopes: Slopes) -> dict[str, Any]:
    """For JSON."""
    return {
        "size": msgspec.to_builtins(made),
        "machine": slopes.machine,
        "lines": [
            {
                "role": line.role,
                "what": line.what,
                "value": line.value,
                "unit": line.unit,
                "limit": line.limit,
                "margin": line.margin,
                "carried_by": line.carried,
            }
            for line in Page(made, slopes).lines()
        ],
    }
