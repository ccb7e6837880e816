"""The schedule of discovery polls, and the deadline by which the endpoint list must be confirmed again.

The gateway counts as notified of a change `NOTIFICATION_DEADLINE_S` after discovery has the change and is
reachable, even if all polls before have failed. The schedule therefore keeps one deadline, counted from the
last readable response. The time left until it limits the timeouts of polls, and the delay of the next poll
after the first rejection by a shared service. Since discovery may be reachable again right after it has
failed a poll, no delay is longer than `MAX_POLL_DELAY_S`, whatever happened to the polls before.

Discovery is either an agent on the gateway's machine or a service shared by all gateways. An agent answers at
once and at no cost, so failed polls are repeated at a steady rate. For a shared service each list entry that
it sends costs work: gateways that it rejects spread their next polls. After a lost connection or a malformed
response the next poll is sooner, since mostly one gateway alone is affected; if polls keep failing,
exponential backoff leads to the same delays.

At least one poll per gateway and deadline is needed: 5 a second of 30 gateways, 33 of 200, 350 of 2,100.
While a shared service rejects all polls, each gateway polls every 4.5 to 5 s: 6.3, 42 and 442 times a second
on average. That is less than their idle watches, which poll every `LONG_POLL_S`: 7.5, 50 and 525 times.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from enum import Enum

from quota_gateway.network.log_setup import log_event

NOTIFICATION_DEADLINE_S = 6.0  # set by the protocol specification
# Deadline after a SIGHUP that has changed discovery's address, set by the deployment specification.
NOTIFICATION_DEADLINE_AFTER_RELOAD_S = 4.0

# Longest wait for a change in one poll. By the protocol specification, a change that a silent long poll
# misses counts as notified 6 s after the poll fell silent, or 2 s after the end of its wait if that is later.
# With a wait of 4 s the two are the same moment.
LONG_POLL_S = 4.0
# Wait in the first poll and in a poll after a failure: short, so that its response soon confirms the list.
CONFIRMATION_POLL_S = 0.1
# Time allowed for the response after the wait has ended; after that, discovery counts as silent.
RESPONSE_GRACE_S = 1.0
# Part of the time until the deadline that is reserved for another poll and its response.
RESPONSE_RESERVE_S = 0.5
# Shortest timeout of a poll of a shared service, which may queue it for 2 s.
MIN_SHARED_TIMEOUT_S = 3.0
# Pause after an empty response to a long poll that arrives in less than this time, to avoid polling in a busy
# loop. Discovery continues a watch only if the next poll comes within 200 ms of the response.
EMPTY_RESPONSE_PAUSE_S = 0.1

# Mean delay before reconnecting. An agent runs on this machine: the changes it holds count as notified even
# while no watch is open, and the grace period of a draining server can be as short as 250 ms. The delay
# therefore does not grow with the number of failures.
RECONNECT_DELAY_S = 0.1

# Backoff of the polls of a shared service after lost connections and malformed responses. It grows to one
# second, or more for many gateways, up to `MAX_POLL_DELAY_S`.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_PER_GATEWAY_S = 0.2
# Spread of the polls of all gateways after the first failure, which may be that of the service for all of
# them; it is short, since mostly only one connection was lost.
FIRST_RETRY_SPREAD_S = 3.0
FIRST_RETRY_SPREAD_PER_GATEWAY_S = 0.03

# Longest delay of a poll. It leaves 1 s of the deadline for the connection and the response.
MAX_POLL_DELAY_S = 5.0
# A shared service takes 0.44 s to build a snapshot of 60 endpoints, and it also works on polls whose callers
# have given up. A few gateways that it rejects therefore poll together every `POLL_SPACING_PER_GATEWAY_S`;
# the limit for many gateways is `MAX_POLL_DELAY_S`.
POLL_SPACING_PER_GATEWAY_S = 0.5
# Shortest delay after repeated failures, as a part of the longest: gateways that failed together shortly
# before their deadline poll together at first, and the differences spread them.
MIN_REPEATED_DELAY_SHARE = 0.9

# Multiples of this number, modulo 1, are spread evenly over 0 to 1, however many there are.
GOLDEN_RATIO_CONJUGATE = 0.5 * (5.0**0.5 - 1.0)

log = logging.getLogger("quota_gateway")


class Freshness(Enum):
    """How reliable the endpoint list in use is.

    A readable response makes the list CURRENT. A change of discovery's address or a failed poll makes it
    UNCONFIRMED; a poll that fails after the deadline makes it STALE. A STALE list stays so until the next
    readable response.
    """

    CURRENT = "current"  # the last poll got a readable response
    UNCONFIRMED = "unconfirmed"  # no response from this address so far, or the last poll failed
    STALE = "stale"  # a poll failed after the deadline


class PollSchedule:
    """The deadline of one watch, and the delays and timeouts of its polls.

    All times are in seconds. `now` returns the time of the event loop. `sharing_gateways` is the number of
    gateways that share the discovery service, or 0 if discovery is an agent on this machine. `gateway_index`
    is the number of this gateway among them, from 0.
    """

    def __init__(
        self, now: Callable[[], float], seed: int = 0, sharing_gateways: int = 0, gateway_index: int = 0
    ) -> None:
        self._now = now
        self._random = random.Random(seed)
        self._sharing_gateways = sharing_gateways
        # Position of this gateway's next poll, from 0 to 1, in the spread of all gateways rejected together.
        self._phase = gateway_index * GOLDEN_RATIO_CONJUGATE % 1.0
        self._backoff_s = MIN_BACKOFF_S
        # Whether failures since the last readable response have spread the polls of all gateways.
        self._polls_are_spread = False
        self._confirmed_at = now()
        self._deadline = self._confirmed_at + NOTIFICATION_DEADLINE_S
        self.freshness = Freshness.UNCONFIRMED

    def remaining_s(self) -> float:
        """Return the time left until the list must be confirmed again; negative after the deadline."""
        return self._deadline - self._now()

    def poll_succeeded(self, confirmed_at: float) -> None:
        """Record a readable response: the list now holds all changes that discovery had at `confirmed_at`."""
        if self.freshness is Freshness.STALE:
            log_event(log, logging.INFO, "endpoint_list_current", stale_s=self._format_age_s())
        self.freshness = Freshness.CURRENT
        self._confirmed_at = confirmed_at
        self._deadline = confirmed_at + NOTIFICATION_DEADLINE_S
        self._backoff_s = MIN_BACKOFF_S
        self._polls_are_spread = False

    def poll_failed(self) -> None:
        """Record a poll that got no readable response; the list may become stale."""
        if self.freshness is Freshness.STALE:
            return
        self.freshness = Freshness.UNCONFIRMED
        if self.remaining_s() < 0.0:
            self.freshness = Freshness.STALE
            log_event(log, logging.WARNING, "endpoint_list_stale", stale_s=self._format_age_s())

    def discovery_moved(self) -> None:
        """Forget the failures of the old discovery and set the shorter deadline that applies at the new one.

        An earlier deadline is not extended, unless it has passed.
        """
        if self.freshness is Freshness.CURRENT:
            self.freshness = Freshness.UNCONFIRMED
        self._backoff_s = MIN_BACKOFF_S
        self._polls_are_spread = False
        deadline_after_reload = self._now() + NOTIFICATION_DEADLINE_AFTER_RELOAD_S
        has_passed = self.remaining_s() < 0.0
        self._deadline = deadline_after_reload if has_passed else min(self._deadline, deadline_after_reload)

    def long_poll_s(self) -> float:
        """Return how long discovery may hold the next poll open while nothing changes."""
        return LONG_POLL_S if self.freshness is Freshness.CURRENT else CONFIRMATION_POLL_S

    def response_timeout_s(self) -> float:
        """Return how long to wait for the response to the next poll.

        While the list is not current, the timeout leaves time for another poll before the deadline. For an
        agent it is not less than a poll with the shorter wait may take, nor more than one with the full wait.

        A shared service queues its responses: it would still work on a poll that was given up, and receive
        the same poll again. If the deadline leaves it less than `MIN_SHARED_TIMEOUT_S`, the timeout is
        therefore that of the full wait.
        """
        max_timeout_s = LONG_POLL_S + RESPONSE_GRACE_S
        if self.freshness is Freshness.CURRENT:
            return max_timeout_s
        timeout_s = min(max_timeout_s, self._time_for_poll_s())
        if not self._sharing_gateways:
            return max(self.long_poll_s() + RESPONSE_GRACE_S, timeout_s)
        return timeout_s if timeout_s >= MIN_SHARED_TIMEOUT_S else max_timeout_s

    def _time_for_poll_s(self) -> float:
        """Return the time left until the next poll has to be sent, for a response within the deadline."""
        return self.remaining_s() - RESPONSE_RESERVE_S

    def delay_after_response_s(self, empty: bool, duration_s: float) -> float:
        """Return the delay of the next poll after a readable response that took `duration_s`.

        The delay is 0, since a watch continues only if the next poll follows at once, except after an empty
        response to a long poll that came without a wait. A poll that confirms the list waits no longer than
        the pause, and the start of the process may hold up the next poll, so no pause is added after it.
        """
        was_long_poll = self.freshness is Freshness.CURRENT
        came_at_once = empty and duration_s < EMPTY_RESPONSE_PAUSE_S
        return EMPTY_RESPONSE_PAUSE_S if was_long_poll and came_at_once else 0.0

    def delay_after_timeout_s(self) -> float:
        """Return the delay after a poll without a response: short, since the timeout has used up the time."""
        return self._reconnect_delay_s()

    def delay_after_failure_s(self) -> float:
        """Return the delay after a lost connection or a malformed response.

        An agent is polled again at a steady rate. The polls of a shared service are spread over the gateways
        after the first failure, and follow each other after exponential backoff.
        """
        if not self._sharing_gateways:
            return self._reconnect_delay_s()
        max_backoff_s = max(MAX_BACKOFF_S, self._sharing_gateways * MAX_BACKOFF_PER_GATEWAY_S)
        max_backoff_s = min(MAX_POLL_DELAY_S, max_backoff_s)
        backoff_s = self._backoff_s
        if backoff_s >= max_backoff_s:
            return self._spread_delay_s(max_backoff_s, 0.5 * max_backoff_s, max_backoff_s)
        self._backoff_s = 2.0 * backoff_s
        if self._polls_are_spread:  # by a rejection, which has used up most of the time until the deadline
            return backoff_s * self._random.uniform(0.5, 1.0)
        delay_s = backoff_s * self._jitter()
        if backoff_s > MIN_BACKOFF_S:
            return delay_s
        return max(delay_s, self._next_phase() * self._first_retry_spread_s())

    def _spread_delay_s(self, max_delay_s: float, min_first_s: float, max_first_s: float) -> float:
        """Return a delay that spreads the polls of all gateways evenly, or keeps them spread from then on.

        The first delay is between the two given ones, the following ones are close to `max_delay_s`.
        """
        if self._polls_are_spread:
            return max_delay_s * self._random.uniform(MIN_REPEATED_DELAY_SHARE, 1.0)
        self._polls_are_spread = True
        return min_first_s + self._next_phase() * (max_first_s - min_first_s)

    def _first_retry_spread_s(self) -> float:
        spread_s = min(FIRST_RETRY_SPREAD_S, self._sharing_gateways * FIRST_RETRY_SPREAD_PER_GATEWAY_S)
        return min(spread_s, self._time_for_poll_s())

    def _reconnect_delay_s(self) -> float:
        return RECONNECT_DELAY_S * self._jitter()

    def _jitter(self) -> float:
        """Return a random factor for a delay."""
        return self._random.uniform(0.5, 1.5)

    def _next_phase(self) -> float:
        """Return the position of this gateway's next poll, from 0 to 1, among those of all gateways."""
        self._phase = (self._phase + GOLDEN_RATIO_CONJUGATE) % 1.0
        return self._phase

    def delay_after_rejection_s(self) -> float:
        """Return the delay after a 503 response, different for each gateway.

        The first delays spread the polls of all gateways evenly over the time left until the deadline; random
        delays would put twice as many polls into one second as into another. Further delays keep them spread
        and don't depend on the deadline, so that polls neither become denser towards it nor stop after it.
        """
        if not self._sharing_gateways:
            return self._reconnect_delay_s()
        max_delay_s = min(MAX_POLL_DELAY_S, self._sharing_gateways * POLL_SPACING_PER_GATEWAY_S)
        time_for_poll_s = self._time_for_poll_s()
        can_meet_deadline = time_for_poll_s > RESPONSE_RESERVE_S
        max_first_s = min(max_delay_s, time_for_poll_s) if can_meet_deadline else max_delay_s
        return self._spread_delay_s(max_delay_s, 0.0, max_first_s)

    def _format_age_s(self) -> str:
        """Return the seconds since the list was last confirmed, with one decimal place, for a log field."""
        return f"{self._now() - self._confirmed_at:.1f}"
