"""When discovery is polled next, and by when the endpoint list has to be confirmed again.

A change counts as notified `NOTIFICATION_DEADLINE_S` after discovery had it and could be reached, whatever
came of the polls until then. So there is one deadline, counted from the last readable response, and the
timeouts and delays of all polls are bounded by what remains of it.

An agent on the gateway's own machine answers at once and at no cost, so it is polled again at a steady pace.
A service that all gateways share works on every line that it sends: gateways that it rejects spread their
next polls, and a snapshot that can't be parsed is requested again after exponential backoff.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from enum import Enum

from quota_gateway.network.log_setup import log_event

NOTIFICATION_DEADLINE_S = 6.0  # PROTOCOL, Figures; STANDING
NOTIFICATION_DEADLINE_AFTER_RELOAD_S = 4.0  # after SIGHUP, where that moved discovery (DAYS; STANDING)

# Long polls. A change during one counts as notified 2 s after its wait at the latest (PROTOCOL, Figures).
LONG_POLL_S = 4.0
FIRST_LONG_POLL_S = 0.1  # of the first poll and of one after a failure: it confirms the list soon
RESPONSE_GRACE_S = 1.0  # a response later than this past its wait means an agent that has gone silent
RESPONSE_RESERVE_S = 0.5  # of what remains until the deadline, this is kept for the response
EMPTY_RESPONSE_PAUSE_S = 0.1  # after an empty response that came at once; a watch lasts over 0.2 s

# An agent is on this machine and may hold changes that count as notified, whether or not a watch is open, and
# a drain leaves as little as 250 ms. So this pace stays the same, however often it could not be reached.
RECONNECT_DELAY_S = 0.1

# After responses that can't be parsed, each of which costs a shared service a snapshot.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0

# The service takes 0.44 s to make a snapshot of 60 endpoints (measured), and works on polls that nobody
# waits for any more. Gateways that it rejects spread their next polls, so that all together ask no faster
# than that. They poll sooner as long as the deadline can be met; polls that grew denser towards it, and went
# on so past it, kept the service from answering anybody (measured: 36 of 40 gateways without a list, 323 s
# in all).
POLL_SPACING_PER_GATEWAY_S = 0.5
MAX_POLL_SPREAD_S = 30.0

GOLDEN_RATIO_CONJUGATE = 0.5 * (5.0**0.5 - 1.0)  # its multiples are spread evenly over 0 to 1, however many

log = logging.getLogger("quota_gateway")


class Freshness(Enum):
    """What is known of the endpoint list in use.

    A readable response makes it CURRENT, a failed poll UNCONFIRMED, and one after the deadline STALE, where
    it stays until the next readable response.
    """

    CURRENT = "current"  # the last poll brought a readable response
    UNCONFIRMED = "unconfirmed"  # no response yet, or the last poll failed
    STALE = "stale"  # and the deadline has passed


class PollSchedule:
    """The deadline of one watch, and the delays and timeouts of its polls, in seconds.

    `now` is the loop's clock. `sharing_gateways` is the number of gateways that share the service; 0 where an
    agent on this machine answers. `gateway_index` is this one's number among them.
    """

    def __init__(
        self, now: Callable[[], float], seed: int = 0, sharing_gateways: int = 0, gateway_index: int = 0
    ) -> None:
        self._now = now
        self._random = random.Random(seed)
        self._sharing_gateways = sharing_gateways
        # The place of this gateway's next poll among those of all that were rejected together, from 0 to 1.
        self._phase = gateway_index * GOLDEN_RATIO_CONJUGATE % 1.0
        self._backoff_s = MIN_BACKOFF_S
        self._confirmed_at = now()
        self.freshness = Freshness.UNCONFIRMED

    def remaining_s(self) -> float:
        """Return the time until the list has to be confirmed again; negative once that is too late."""
        return self._confirmed_at + NOTIFICATION_DEADLINE_S - self._now()

    def poll_succeeded(self, confirmed_at: float) -> None:
        """Record a readable response: the list holds all that discovery had at `confirmed_at`."""
        if self.freshness is Freshness.STALE:
            log_event(log, logging.INFO, "endpoint_list_current", stale_s=self._age_s())
        self.freshness = Freshness.CURRENT
        self._confirmed_at = confirmed_at
        self._backoff_s = MIN_BACKOFF_S

    def poll_failed(self) -> None:
        """Record a poll that brought no readable response."""
        if self.freshness is Freshness.STALE:
            return
        self.freshness = Freshness.UNCONFIRMED
        if self.remaining_s() < 0.0:
            self.freshness = Freshness.STALE
            log_event(log, logging.WARNING, "endpoint_list_stale", stale_s=self._age_s())

    def discovery_moved(self) -> None:
        """Start over for another address; the deadline after a reload is shorter."""
        if self.freshness is Freshness.CURRENT:
            self.freshness = Freshness.UNCONFIRMED
        self._backoff_s = MIN_BACKOFF_S
        latest = self._now() + NOTIFICATION_DEADLINE_AFTER_RELOAD_S - NOTIFICATION_DEADLINE_S
        self._confirmed_at = min(self._confirmed_at, latest)

    def long_poll_s(self) -> float:
        """Return how long discovery may hold the next poll until something changes."""
        return LONG_POLL_S if self.freshness is Freshness.CURRENT else FIRST_LONG_POLL_S

    def response_timeout_s(self) -> float:
        """Return how long the response to the next poll is awaited.

        After a failed poll of an agent, less time is left for the next one. The response of a shared service
        waits its turn there: a poll that is given up would be worked on all the same, and made again.
        """
        if self.freshness is Freshness.CURRENT or self._sharing_gateways:
            return LONG_POLL_S + RESPONSE_GRACE_S
        shortest = self.long_poll_s() + RESPONSE_GRACE_S
        return min(LONG_POLL_S + RESPONSE_GRACE_S, max(shortest, self.remaining_s()))

    def delay_after_response_s(self, empty: bool, duration_s: float) -> float:
        """Return the delay after a readable response; a watch continues only if polled at once."""
        return EMPTY_RESPONSE_PAUSE_S if empty and duration_s < EMPTY_RESPONSE_PAUSE_S else 0.0

    def reconnect_delay_s(self) -> float:
        """Return the delay after a lost or failed connection."""
        return RECONNECT_DELAY_S * self._random.uniform(0.5, 1.5)

    def delay_after_malformed_response_s(self) -> float:
        """Return the delay after a response that can't be parsed, longer each time for a shared service."""
        if not self._sharing_gateways:
            return self.reconnect_delay_s()
        delay = self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2.0 * self._backoff_s)
        return delay * self._random.uniform(0.5, 1.5)

    def delay_after_rejection_s(self) -> float:
        """Return the delay after a response that the service is too busy, different at each gateway.

        The gateways' delays are spaced evenly, not drawn: chance would put twice as many polls into one
        second as into another.
        """
        if not self._sharing_gateways:
            return self.reconnect_delay_s()
        remaining = self.remaining_s() - RESPONSE_RESERVE_S
        spread = min(MAX_POLL_SPREAD_S, self._sharing_gateways * POLL_SPACING_PER_GATEWAY_S)
        if remaining > RESPONSE_RESERVE_S:
            spread = min(spread, remaining)
        self._phase = (self._phase + GOLDEN_RATIO_CONJUGATE) % 1.0
        return self._phase * spread

    def _age_s(self) -> str:
        return f"{NOTIFICATION_DEADLINE_S - self.remaining_s():.1f}"
