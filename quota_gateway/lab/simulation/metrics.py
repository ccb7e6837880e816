"""What a run counts, by role.

All but `ProcessorTime` is the same for the same seed on any machine. The values of the enumerations are the
keys of result files.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_RECORDED_US = 60_000_000
MAX_UNFLUSHED_VALUES = 50_000  # distinct values that a histogram holds back from the library
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class ServiceCount(StrEnum):
    """What became of clients' requests and attempts; revenue is units times price."""

    FIRST_ATTEMPTS = "first_tries"
    FIRST_ATTEMPTS_WITHIN_QUOTA = "first_tries_inside"
    ATTEMPTS = "tries"
    SERVED = "served"
    SERVED_WITHIN_OBJECTIVE = "served_in_aim"
    SERVED_LATE = "served_late"
    REJECTED = "refused"
    FAILED = "failed"
    CLIENT_DISCONNECTED = "left"
    UNANSWERED = "lost"
    GATEWAY_UNREACHABLE = "unreached"
    RESET_BY_RESTART = "cut_by_restart"
    RETRIES_EXHAUSTED = "given_up"
    OFFERED_REVENUE = "offered_worth"
    SERVED_REVENUE = "served_worth"


class QuotaCount(StrEnum):
    """Attempts, and their units, against the customers' true quotas."""

    ATTEMPTS_WITHIN_QUOTA = "tries_inside"
    ATTEMPTS_OVER_QUOTA = "tries_beyond"
    UNITS_WITHIN_QUOTA = "units_inside"
    UNITS_OVER_QUOTA = "units_beyond"
    REJECTED = "refused"
    REJECTED_UNNECESSARILY = "refused_with_room"  # half of the quota's burst or more was unused


class RuleViolation(StrEnum):
    """Breaches of the rules that WIRE and the letter set."""

    LATE_AFTER_DRAIN_NOTICE = "late_drains_told"  # an attempt to a draining server that the gateway knew of
    LATE_AFTER_NOTICE_DEADLINE = "late_drains_deemed"  # ... that it should have known of
    HARD_LIMIT_EXCEEDED = "ceiling_overruns"
    ATTEMPT_AFTER_DISCONNECT = "sent_after_client_left"
    ATTEMPT_WITHOUT_REQUEST = "sent_without_request"
    CUT_BY_DRAIN = "cut_by_drain"  # requests that a server still held when its drain period ended


class Role(StrEnum):
    """Parties whose messages are counted."""

    GATEWAY = "gateway"
    SERVER = "server"
    COUNTER = "counter"
    DISCOVERY = "discovery"


class Message(StrEnum):
    """Kinds of messages and of work for them."""

    REQUESTS = "requests"
    ATTEMPTS = "attempts"
    VALUES = "values"  # responses of servers
    WASTED = "wasted"  # requests completed that nobody waited for
    UNREACHABLE = "unreachable"
    HANDSHAKES = "handshakes"
    CALLS = "calls"
    LOST = "lost"
    BUSY = "busy"
    ADDED = "added"
    CHANGES = "changes"
    OVERLOADED = "turned_away"
    EMPTY = "empty"
    SNAPSHOTS = "whole_lists"
    DELTAS = "change_lists"
    ENDPOINTS = "lines"


class Histogram:
    """Times in microseconds, to two significant figures."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_FIGURES)
        self._unflushed: Counter[int] = Counter()  # recorded in one go: the library's call is slow

    def record(self, microseconds: float) -> None:
        """Record one time."""
        self._unflushed[min(MAX_RECORDED_US, max(1, round(microseconds)))] += 1
        if len(self._unflushed) > MAX_UNFLUSHED_VALUES:
            self._flush()

    def report(self) -> dict[str, float]:
        """Return milliseconds by percentile, with the count, mean and maximum."""
        self._flush()
        histogram = self._histogram
        count = histogram.get_total_count()
        if not count:
            return {"count": 0}
        report = {"count": count, "mean": round(histogram.get_mean_value() / 1000.0, 4)}
        report |= {f"p{p:g}": histogram.get_value_at_percentile(p) / 1000.0 for p in PERCENTILES}
        return report | {"max": histogram.get_max_value() / 1000.0}

    def _flush(self) -> None:
        for value, count in self._unflushed.items():
            self._histogram.record_value(value, count)
        self._unflushed.clear()


def overload_limit(budget: float) -> float:
    """Return the calls in a window beyond which a server that is warming up fails, for a budget of N calls.

    That many by chance are allowed on top of N: N + 2 sqrt(N) + 2 (letter of 2026-12-02).
    """
    deviation: float = budget**0.5
    return budget + 2.0 * deviation + 2.0


@dataclass(slots=True)
class ColdServerFailure:
    """A server that was warming up and failed from overload."""

    at_ms: float
    server: str
    calls: int  # in the overload window
    budget: float  # calls that its present capacity allows in the window
    calls_after_notice: int  # of the calls, those from gateways that had been notified of the start

    @property
    def rule_broken(self) -> bool:
        """Whether two thirds of the calls came from gateways that knew (WIRE rule 4)."""
        return 3 * self.calls_after_notice >= 2 * self.calls

    def report(self) -> dict[str, Any]:
        """Return the failure for a result file; `excess` is over budget and chance."""
        return {
            "at_ms": round(self.at_ms, 1),
            "server": self.server,
            "calls": self.calls,
            "budget": round(self.budget, 2),
            "excess": round(self.calls - overload_limit(self.budget), 2),
            "told": self.calls_after_notice,
            "rule_broken": self.rule_broken,
        }


def _counter_by_role() -> defaultdict[str, Counter[str]]:
    return defaultdict(Counter)


def _rounded(counts: Counter[str]) -> dict[str, float]:
    return {str(key): round(value, 3) for key, value in sorted(counts.items())}


@dataclass(slots=True)
class Metrics:
    """Counts of one run."""

    service: Counter[str] = field(default_factory=Counter)  # by ServiceCount
    revenue: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))  # by ServiceCount
    quota: Counter[str] = field(default_factory=Counter)  # by QuotaCount
    violations: Counter[str] = field(default_factory=Counter)  # by RuleViolation
    messages: defaultdict[str, Counter[str]] = field(default_factory=_counter_by_role)
    message_bytes: defaultdict[str, Counter[str]] = field(default_factory=_counter_by_role)
    attempt_outcomes: Counter[str] = field(default_factory=Counter)
    log_lines: Counter[str] = field(default_factory=Counter)
    cold_failures: list[ColdServerFailure] = field(default_factory=list)
    peak_cold_load: float = 0.0  # most calls of a warming server in a window, as a share of its limit
    wait_us: Histogram = field(
        default_factory=Histogram
    )  # from a request to its first forwarding or rejection
    response_us: Histogram = field(default_factory=Histogram)  # from a first attempt to its served answer
    recovery_us: Histogram = field(default_factory=Histogram)  # from a gateway's restart to a current list

    def count_message(self, role: Role, kind: str, size: int = 0) -> None:
        """Count a message of a role, with its size in bytes."""
        self.messages[role][kind] += 1
        if size:
            self.message_bytes[role][kind] += size

    def total_bytes(self, role: Role) -> int:
        """Return the bytes of all messages of a role."""
        return sum(self.message_bytes[role].values()) if role in self.message_bytes else 0

    def violation_counts(self) -> Counter[str]:
        """Return the count of each breach of a rule, those that did not occur too."""
        counts: Counter[str] = Counter(dict.fromkeys(RuleViolation, 0))
        counts.update(self.violations)
        counts["requests_lost"] = self.service[ServiceCount.UNANSWERED]
        counts["cold_falls"] = len(self.cold_failures)
        counts["cold_falls_told"] = sum(failure.rule_broken for failure in self.cold_failures)
        return counts

    def report(self) -> dict[str, Any]:
        """Return all counts for a result file, in a fixed order."""
        service = _rounded(self.service) | {str(key): round(value, 3) for key, value in self.revenue.items()}
        return {
            "service": dict(sorted(service.items())),
            "quota": _rounded(self.quota),
            "rules": _rounded(self.violation_counts()),
            "attempt_endings": _rounded(self.attempt_outcomes),
            "calls": {str(role): _rounded(counts) for role, counts in sorted(self.messages.items())},
            "bytes": {str(role): _rounded(counts) for role, counts in sorted(self.message_bytes.items())},
            "falls": [failure.report() for failure in self.cold_failures],
            "waited_ms": self.wait_us.report(),
            "answered_ms": self.response_us.report(),
            "restart_to_list_ms": self.recovery_us.report(),
            "log_lines": _rounded(self.log_lines),
        }


@dataclass(slots=True)
class ProcessorTime:
    """Processor time of the policy, by type of event. It depends on the machine and on its other load."""

    nanoseconds: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    decision_us: Histogram = field(default_factory=Histogram)  # of one `Request` event
    added_us: Histogram = field(default_factory=Histogram)  # simulated wait and processor time to forwarding

    def record(self, event_type: str, nanoseconds: int) -> None:
        """Record one call of the policy's `handle`."""
        self.nanoseconds[event_type] += nanoseconds
        self.events[event_type] += 1
        if event_type == "Request":
            self.decision_us.record(nanoseconds / 1000.0)

    def total_ns(self) -> int:
        """Return the processor time of all events, ns."""
        return sum(self.nanoseconds.values())

    def report(self) -> dict[str, Any]:
        """Return seconds, and microseconds an event, by type of event."""
        return {
            "module_s": round(self.total_ns() / 1e9, 3),
            "by_event": {
                event_type: {
                    "events": self.events[event_type],
                    "s": round(nanoseconds / 1e9, 3),
                    "mean_us": round(nanoseconds / 1000.0 / self.events[event_type], 2),
                }
                for event_type, nanoseconds in sorted(self.nanoseconds.items())
            },
            "decision_ms": self.decision_us.report(),
            "added_ms": self.added_us.report(),
        }
