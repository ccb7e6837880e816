"""Retries: which requests may be attempted again, and the timeout after which an attempt is given up."""

import math

from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy_state.requests import PendingRequest
from quota_gateway.settings import Idempotency, RequestClass, Settings

# Retries that the budget holds at the start.
INITIAL_RETRY_BUDGET = 5.0
# Retries that the budget holds at most.
MAX_RETRY_BUDGET = 10.0
# Retries that a new request adds to the budget: retries add at most a fifth to the load of a busy fleet.
RETRIES_PER_REQUEST = 0.2
# Attempts of a request that may get a timeout; later ones may last until its deadline.
MAX_TIMED_ATTEMPTS = 2
# Shortest timeout, as a share of the latency objective.
MIN_TIMEOUT_SHARE = 0.5
# Longest timeout, as a share of the latency objective: after a longer one, a retry would come too late.
MAX_TIMEOUT_SHARE = 0.75
# Shortest timeout in mean durations of the same kind of request. It grows while responses are slower than
# their means.
MIN_TIMEOUT_MEANS = 5.0
# Time that must remain for a retry to be useful, in mean durations of the same kind of request.
MIN_RETRY_MEANS = 0.5
# Time before the end of the deduplication window that is reserved for what follows the last check of the
# time: a process that is held up before its write, and the transit to the server.
DEDUPLICATION_MARGIN_MS = 105.0


class RetryPolicy:
    """Keeps the retry budget and decides which requests may be attempted again."""

    def __init__(self, settings: Settings, load_balancer: LoadBalancer) -> None:
        self._max_attempts = settings.max_attempts
        self._load_balancer = load_balancer
        self._budget = INITIAL_RETRY_BUDGET

    def add_retry_credit(self) -> None:
        """Add the share of a new request to the retry budget."""
        self._budget = min(MAX_RETRY_BUDGET, self._budget + RETRIES_PER_REQUEST)

    def take_retry_credit(self) -> bool:
        """Deduct one retry from the budget; return False if the budget does not hold one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def may_retry(self, now_ms: float, pending: PendingRequest) -> bool:
        """Return whether another attempt is allowed and can still be useful, regardless of the retry budget.

        It can be useful if enough time remains until the deadline and, for a class in which late answers
        earn nothing, until the latency objective. A request that may have run is only repeated if it is
        idempotent, or keyed and within the deduplication window.
        """
        request_class = pending.request_class
        useful_until_ms = pending.deadline_ms
        if request_class.late_weight <= 0:
            objective_at_ms = pending.received_at_ms + request_class.latency_objective_ms
            useful_until_ms = min(useful_until_ms, objective_at_ms)
        mean_ms = self._load_balancer.mean_ms(request_class, pending.units)
        if pending.attempts >= self._max_attempts or now_ms + MIN_RETRY_MEANS * mean_ms > useful_until_ms:
            return False
        return now_ms < self.write_before_ms(pending)

    def write_before_ms(self, pending: PendingRequest) -> float:
        """Return the Unix time up to which the next attempt may be written; infinite if nothing limits it."""
        if pending.may_have_run_at_ms is None:
            return math.inf
        return _repeats_end_ms(pending.request_class, pending.may_have_run_at_ms)

    def attempt_timeout_ms(self, now_ms: float, pending: PendingRequest, mean_ms: float) -> float:
        """Return the timeout of the next attempt.

        0 means no timeout before the deadline: no retry is allowed to follow or it would come too late, for
        the client or the deduplication window, or this attempt is beyond `MAX_TIMED_ATTEMPTS`. `mean_ms` is
        the mean duration of attempts for this kind of request.
        """
        request_class = pending.request_class
        objective_ms = request_class.latency_objective_ms
        slowdown = max(1.0, self._load_balancer.relative_latency)
        timeout_ms = max(MIN_TIMEOUT_SHARE * objective_ms, MIN_TIMEOUT_MEANS * mean_ms * slowdown)
        retry_time_ms = pending.deadline_ms - now_ms - timeout_ms
        is_too_late = timeout_ms > MAX_TIMEOUT_SHARE * objective_ms or retry_time_ms < mean_ms
        is_last = pending.attempts >= min(MAX_TIMED_ATTEMPTS, self._max_attempts - 1)
        may_run_at_ms = now_ms if pending.may_have_run_at_ms is None else pending.may_have_run_at_ms
        may_repeat = now_ms + timeout_ms < _repeats_end_ms(request_class, may_run_at_ms)
        return 0.0 if is_too_late or is_last or not may_repeat else timeout_ms


def _repeats_end_ms(request_class: RequestClass, may_have_run_at_ms: float) -> float:
    """Return the Unix time up to which a request that may have run may be repeated.

    Servers know the idempotency key of a keyed request only for the deduplication window.
    """
    match request_class.idempotency:
        case Idempotency.IDEMPOTENT:
            return math.inf
        case Idempotency.NON_IDEMPOTENT:
            return -math.inf
        case Idempotency.KEYED:
            window_end_ms = may_have_run_at_ms + request_class.deduplication_window_ms
            return window_end_ms - DEDUPLICATION_MARGIN_MS
