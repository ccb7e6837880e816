"""The state of the shared counter as its replies show it: whether it replies, and how busy it is."""

from quota_gateway.settings import Settings

UNAVAILABLE_AFTER = 3  # consecutive failures
MIN_CALL_SHARE = 0.1  # share of the wanted calls that is made at least
FAILURE_FACTOR = 0.8  # on that share, for each failure
SLOW_REPLY_FACTOR, FAST_REPLY_FACTOR = 0.92, 1.02  # on that share: slow replies tell of a crowd early
FAST_REPLY = 0.5  # share of the time-out within which a reply is fast
PROBE_INTERVAL_MS, PROBE_SPACING_MS = 500.0, 5.0  # least time between probes of one gateway, and of all


class CounterHealth:
    """Tells how often the counter may be called; it is called less while calls fail or take long."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._consecutive_failures = 0
        self.call_share = 1.0  # of the wanted calls, those that are made
        self.next_probe_ms = 0.0  # Unix time from which an unavailable counter may be called again

    @property
    def available(self) -> bool:
        """Whether replies can be expected; without them each gateway keeps to its own part of every quota."""
        return self._settings.counter_enabled and self._consecutive_failures < UNAVAILABLE_AFTER

    def record_call(self, now_ms: float) -> None:
        """Record a call to the counter, which is a probe while it is unavailable."""
        if not self.available:
            spacing_ms = self._settings.gateway_count * PROBE_SPACING_MS
            self.next_probe_ms = now_ms + max(PROBE_INTERVAL_MS, spacing_ms)

    def record_reply(self, duration_ms: float) -> None:
        """Record a reply that came in time."""
        self._consecutive_failures = 0
        fast = duration_ms < FAST_REPLY * self._settings.counter_timeout_ms
        factor = FAST_REPLY_FACTOR if fast else SLOW_REPLY_FACTOR
        self.call_share = min(1.0, max(MIN_CALL_SHARE, factor * self.call_share))

    def record_failure(self) -> None:
        """Record a call that failed; failed probes say nothing of a crowd."""
        if self._consecutive_failures < UNAVAILABLE_AFTER:
            self.call_share = max(MIN_CALL_SHARE, FAILURE_FACTOR * self.call_share)
        self._consecutive_failures += 1
