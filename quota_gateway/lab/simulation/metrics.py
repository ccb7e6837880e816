"""What is counted, by role. Everything here but `Measured` is the same for the same seed on any machine."""

from __future__ import annotations

from collections import Counter as Tally
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST_US = 60_000_000
RULES = (
    "late_drains_told",
    "late_drains_deemed",
    "ceiling_overruns",
    "sent_after_client_left",
    "sent_without_request",
    "cut_by_drain",
)
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Histogram:
    """Times in microseconds, to two significant figures."""

    def __init__(self) -> None:
        self.hdr = HdrHistogram(1, LONGEST_US, 2)
        self.waiting: Tally[int] = Tally()  # recorded in one go: the library's call is slow

    def add(self, us: float) -> None:
        """Books one time."""
        self.waiting[min(LONGEST_US, max(1, round(us)))] += 1
        if len(self.waiting) > 50_000:
            self.flush()

    def flush(self) -> None:
        """Hands over to the library what has been booked."""
        for value, count in self.waiting.items():
            self.hdr.record_value(value, count)
        self.waiting.clear()

    def report(self) -> dict[str, float]:
        """Milliseconds by percentile, with the number, mean and maximum."""
        self.flush()
        if not self.hdr.get_total_count():
            return {"count": 0}
        out = {"count": self.hdr.get_total_count(), "mean": round(self.hdr.get_mean_value() / 1000.0, 4)}
        out |= {f"p{p:g}": self.hdr.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
        return out | {"max": self.hdr.get_max_value() / 1000.0}


@dataclass(slots=True)
class Fall:
    """A cold server that was pushed over. `budget` is N calls in the window; 2 sqrt(N) + 2 are chance."""

    at_ms: float
    server: str
    calls: int
    budget: float
    told: int  # of the calls, those from gateways that had been told of the start

    def report(self) -> dict[str, Any]:
        """The excess over budget and chance; the rule is broken where two thirds were told (WIRE rule 4)."""
        excess = self.calls - self.budget - 2.0 * self.budget**0.5 - 2.0
        return {
            "at_ms": round(self.at_ms, 1),
            "server": self.server,
            "calls": self.calls,
            "budget": round(self.budget, 2),
            "excess": round(excess, 2),
            "told": self.told,
            "rule_broken": 3 * self.told >= 2 * self.calls,
        }


def tallies() -> defaultdict[str, Tally[str]]:
    """A tally for each role, made when it is needed."""
    return defaultdict(Tally)


@dataclass(slots=True)
class Books:
    """Counts of one run."""

    service: Tally[str] = field(default_factory=Tally)
    quota: Tally[str] = field(default_factory=Tally)  # units and tries
    rules: Tally[str] = field(default_factory=Tally)
    calls: defaultdict[str, Tally[str]] = field(default_factory=tallies)  # by role
    sizes: defaultdict[str, Tally[str]] = field(default_factory=tallies)  # bytes, by role
    endings: Tally[str] = field(default_factory=Tally)
    logs: Tally[str] = field(default_factory=Tally)
    falls: list[Fall] = field(default_factory=list)
    nearest_to_fall: float = 0.0  # most calls that a cold server had in a window, as a share of what it bears
    waited: Histogram = field(default_factory=Histogram)  # from a request to its first sending or refusal
    answered: Histogram = field(default_factory=Histogram)  # from a first try to its served answer
    ready: Histogram = field(default_factory=Histogram)  # from a gateway's restart to its list of the day

    def count(self, role: str, what: str, size: int = 0) -> None:
        """Books a message of a role, with its bytes."""
        self.calls[role][what] += 1
        if size:
            self.sizes[role][what] += size

    def broken(self) -> Tally[str]:
        """Breaks of the rules, those that did not occur too."""
        out = Tally({rule: 0 for rule in RULES})
        out.update(self.rules)
        out["requests_lost"] = self.service["lost"]
        out["cold_falls"] = len(self.falls)
        out["cold_falls_told"] = sum(fall.report()["rule_broken"] for fall in self.falls)
        return out

    def report(self) -> dict[str, Any]:
        """All counts, in a fixed order."""

        def plain(tally: Tally[str]) -> dict[str, float]:
            return {k: round(v, 3) for k, v in sorted(tally.items())}

        return {
            "service": plain(self.service),
            "quota": plain(self.quota),
            "rules": plain(self.broken()),
            "attempt_endings": plain(self.endings),
            "calls": {role: plain(tally) for role, tally in sorted(self.calls.items())},
            "bytes": {role: plain(tally) for role, tally in sorted(self.sizes.items())},
            "falls": [fall.report() for fall in self.falls],
            "waited_ms": self.waited.report(),
            "answered_ms": self.answered.report(),
            "restart_to_list_ms": self.ready.report(),
            "log_lines": plain(self.logs),
        }


@dataclass(slots=True)
class Measured:
    """Processor time of the module, by kind of event. It depends on the machine and on what else it does."""

    ns: Tally[str] = field(default_factory=Tally)
    events: Tally[str] = field(default_factory=Tally)
    decision: Histogram = field(default_factory=Histogram)  # of one `Request` event
    added: Histogram = field(
        default_factory=Histogram
    )  # simulated wait and processor time before the sending

    def add(self, kind: str, ns: int) -> None:
        """Books one call of `handle`."""
        self.ns[kind] += ns
        self.events[kind] += 1
        if kind == "Request":
            self.decision.add(ns / 1000.0)

    def report(self) -> dict[str, Any]:
        """Seconds and microseconds an event, by kind."""
        return {
            "module_s": round(sum(self.ns.values()) / 1e9, 3),
            "by_event": {
                kind: {
                    "events": self.events[kind],
                    "s": round(ns / 1e9, 3),
                    "mean_us": round(ns / 1000.0 / self.events[kind], 2),
                }
                for kind, ns in sorted(self.ns.items())
            },
            "decision_ms": self.decision.report(),
            "added_ms": self.added.report(),
        }
