"""Counters and histograms of one run.

All of them except `ProcessorTime` depend only on the experiment and the seed, not on the machine. The values
of the enumerations are keys of result files.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_RECORDED_US = 60_000_000
# Number of distinct values that a histogram buffers before it writes them to HdrHistogram.
MAX_UNFLUSHED_VALUES = 50_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class ServiceCount(StrEnum):
    """Outcomes of clients' requests and attempts, and the revenue from them (units times price)."""

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
    """Attempts and units within and over the customers' true quotas."""

    ATTEMPTS_WITHIN_QUOTA = "tries_inside"
    ATTEMPTS_OVER_QUOTA = "tries_beyond"
    UNITS_WITHIN_QUOTA = "units_inside"
    UNITS_OVER_QUOTA = "units_beyond"
    REJECTED = "refused"
    REJECTED_UNNECESSARILY = "refused_with_room"  # At least half of the quota's burst was unused.


class RuleViolation(StrEnum):
    """Violations of rules for gateways, set by the simulator wire specification and the capacity target."""

    # Attempts to a draining server after the grace period that follows the gateway's notice of the drain.
    LATE_AFTER_DRAIN_NOTICE = "late_drains_told"
    # Attempts to a draining server after the grace period that follows the deadline of the notice, by a
    # gateway that got the notice late or not at all.
    LATE_AFTER_NOTICE_DEADLINE = "late_drains_deemed"
    HARD_LIMIT_EXCEEDED = "ceiling_overruns"
    ATTEMPT_AFTER_DISCONNECT = "sent_after_client_left"
    ATTEMPT_WITHOUT_REQUEST = "sent_without_request"
    CUT_BY_DRAIN = "cut_by_drain"  # Requests that a server still held when its drain period ended.


class Role(StrEnum):
    """Components whose messages are counted."""

    GATEWAY = "gateway"
    SERVER = "server"
    COUNTER = "counter"
    DISCOVERY = "discovery"


class Message(StrEnum):
    """Kinds of messages, and other events that are counted like messages."""

    REQUESTS = "requests"
    ATTEMPTS = "attempts"
    VALUES = "values"  # Responses of servers.
    WASTED = "wasted"  # Requests that a server completed after they were cancelled.
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
    """A histogram of durations in microseconds, with two significant figures."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_FIGURES)
        # Values that are buffered, because a call of HdrHistogram for each value is slow.
        self._unflushed: Counter[int] = Counter()

    def record(self, microseconds: float) -> None:
        """Record one duration; values outside 1 us to 60 s are clamped."""
        self._unflushed[min(MAX_RECORDED_US, max(1, round(microseconds)))] += 1
        if len(self._unflushed) > MAX_UNFLUSHED_VALUES:
            self._flush()

    def report(self) -> dict[str, float]:
        """Return count, mean, percentiles and maximum, in ms; only the count if nothing was recorded."""
        self._flush()
        histogram = self._histogram
        count = histogram.get_total_count()
        if not count:
            return {"count": 0}
        report = {"count": count, "mean": round(histogram.get_mean_value() / 1000.0, 4)}
        report |= {
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1000.0
            for percentile in PERCENTILES
        }
        return report | {"max": histogram.get_max_value() / 1000.0}

    def _flush(self) -> None:
        for value, count in self._unflushed.items():
            self._histogram.record_value(value, count)
        self._unflushed.clear()


def overload_limit(budget: float) -> float:
    """Return the number of calls in the overload window above which a server that is warming up fails.

    The budget N is the number of calls that the server's capacity allows in one overload window. The capacity
    target sets the limit at N + 2 sqrt(N) + 2: the budget, and a safety margin for random arrivals of two
    standard deviations of a Poisson process and two calls.
    """
    deviation: float = budget**0.5
    return budget + 2.0 * deviation + 2.0


@dataclass(slots=True)
class ColdServerFailure:
    """Failure of a server from overload during its warm-up.

    Attributes:
        at_ms: simulated time of the failure, ms.
        server: name of the server.
        calls: calls that the server received in the overload window before the failure.
        budget: calls that the server's capacity at that time allows in one overload window.
        calls_after_notice: those of `calls` from gateways that had been notified of the server's start.
    """

    at_ms: float
    server: str
    calls: int
    budget: float
    calls_after_notice: int

    @property
    def rule_broken(self) -> bool:
        """Whether gateways broke the slow-start rule.

        They did if at least two thirds of the calls came from gateways that had been notified of the start.
        """
        return 3 * self.calls_after_notice >= 2 * self.calls

    def report(self) -> dict[str, Any]:
        """Return the failure for a result file; `excess` is the number of calls above `overload_limit`."""
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
    """Counts of one run.

    Attributes:
        service: counts by `ServiceCount`.
        revenue: sums of units times price by `ServiceCount`.
        quota: counts by `QuotaCount`.
        violations: counts by `RuleViolation`.
        messages: number of messages by `Role`, then by `Message` or another kind.
        message_bytes: total size of messages, bytes, by the same keys.
        attempt_outcomes: completed attempts of gateways at servers by `CallOutcome`.
        log_lines: log events of the policy by name and state, and injected faults.
        cold_failures: failures of servers from overload during their warm-up.
        peak_cold_load: largest ratio, over all warming servers, of the calls in a window to `overload_limit`.
        wait_us: time from the arrival of an attempt at a gateway to its first forwarding or its rejection.
        response_us: time from a request's first attempt to the answer that served it.
        recovery_us: time from a gateway's restart to its first response from discovery.
    """

    service: Counter[str] = field(default_factory=Counter)
    revenue: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    quota: Counter[str] = field(default_factory=Counter)
    violations: Counter[str] = field(default_factory=Counter)
    messages: defaultdict[str, Counter[str]] = field(default_factory=_counter_by_role)
    message_bytes: defaultdict[str, Counter[str]] = field(default_factory=_counter_by_role)
    attempt_outcomes: Counter[str] = field(default_factory=Counter)
    log_lines: Counter[str] = field(default_factory=Counter)
    cold_failures: list[ColdServerFailure] = field(default_factory=list)
    peak_cold_load: float = 0.0
    wait_us: Histogram = field(default_factory=Histogram)
    response_us: Histogram = field(default_factory=Histogram)
    recovery_us: Histogram = field(default_factory=Histogram)

    def count_message(self, role: Role, kind: str, size: int = 0) -> None:
        """Count a message of a role; `size` in bytes is added to `message_bytes` unless it is 0."""
        self.messages[role][kind] += 1
        if size:
            self.message_bytes[role][kind] += size

    def total_bytes(self, role: Role) -> int:
        """Return the size of all messages of a role together, bytes."""
        return sum(self.message_bytes[role].values()) if role in self.message_bytes else 0

    def violation_counts(self) -> Counter[str]:
        """Return the counts of rule violations, lost requests and cold-server failures, zeros included."""
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
    """Processor time of the policy by event type. It depends on the machine and on its other load.

    Attributes:
        nanoseconds: processor time by class name of the event.
        events: number of events by class name.
        decision_us: processor time of each `Request` event.
        added_us: latency that a gateway adds to an attempt until its first forwarding or its rejection: the
            simulated wait and the processor time of the policy.
    """

    nanoseconds: Counter[str] = field(default_factory=Counter)
    events: Counter[str] = field(default_factory=Counter)
    decision_us: Histogram = field(default_factory=Histogram)
    added_us: Histogram = field(default_factory=Histogram)

    def record(self, event_type: str, nanoseconds: int) -> None:
        """Record the processor time of one call of the policy's `handle`."""
        self.nanoseconds[event_type] += nanoseconds
        self.events[event_type] += 1
        if event_type == "Request":
            self.decision_us.record(nanoseconds / 1000.0)

    def total_ns(self) -> int:
        """Return the processor time of all events together, ns."""
        return sum(self.nanoseconds.values())

    def report(self) -> dict[str, Any]:
        """Return the figures for a result file: total seconds, figures by event type, histograms in ms."""
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
