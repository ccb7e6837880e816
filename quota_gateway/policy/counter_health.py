"""The state of the shared counter as its replies show it: whether it replies, and how busy it is."""

from quota_gateway.settings import Settings

UNAVAILABLE_AFTER_FAILURES = 3  # consecutive failed calls after which the counter counts as unavailable

# Lower bound of the call share. The call share is the part of the wanted calls that is made; the others are
# left out to relieve the counter.
MIN_CALL_SHARE = 0.1
# Factors by which each reply or failure changes the call share. A slow reply lowers it, because slow replies
# show an overload of the counter before calls fail.
FAILURE_FACTOR = 0.8
SLOW_REPLY_FACTOR = 0.92
FAST_REPLY_FACTOR = 1.02
FAST_REPLY_TIMEOUT_SHARE = 0.5  # share of the counter timeout within which a reply is fast

PROBE_INTERVAL_MS = 500.0  # minimum time between two probes by one gateway
PROBE_SPACING_MS = 5.0  # minimum mean time between two probes by any of the gateways


class CounterHealth:
    """Limits the calls to the counter: fewer are made while they fail or take long."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._consecutive_failures = 0
        self.call_share = 1.0  # share of the wanted calls that is made, from MIN_CALL_SHARE to 1
        self.next_probe_ms = 0.0  # Unix time from which an unavailable counter may be called again

    @property
    def available(self) -> bool:
        """Whether replies can be expected. Without them each gateway keeps to its local share of a quota."""
        return self._settings.counter_enabled and self._consecutive_failures < UNAVAILABLE_AFTER_FAILURES

    def record_call(self, now_ms: float) -> None:
        """Record a call to the counter. While the counter is unavailable, the call is a probe."""
        if not self.available:
            spacing_ms = self._settings.gateway_count * PROBE_SPACING_MS
            self.next_probe_ms = now_ms + max(PROBE_INTERVAL_MS, spacing_ms)

    def record_reply(self, duration_ms: float) -> None:
        """Record a reply that arrived before the timeout, `duration_ms` after its call."""
        self._consecutive_failures = 0
        fast = duration_ms < FAST_REPLY_TIMEOUT_SHARE * self._settings.counter_timeout_ms
        factor = FAST_REPLY_FACTOR if fast else SLOW_REPLY_FACTOR
        self.call_share = min(1.0, max(MIN_CALL_SHARE, factor * self.call_share))

    def record_failure(self) -> None:
        """Record a failed call. A failed probe leaves the call share as it is: it shows no overload."""
        if self._consecutive_failures < UNAVAILABLE_AFTER_FAILURES:
            self.call_share = max(MIN_CALL_SHARE, FAILURE_FACTOR * self.call_share)
        self._consecutive_failures += 1
