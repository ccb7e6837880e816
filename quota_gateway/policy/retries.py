"""Retries: whether a request may be attempted again, and how long an attempt may take before."""

from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy_state.requests import PendingRequest
from quota_gateway.settings import Idempotency, Settings

INITIAL_BUDGET, MAX_BUDGET = 5.0, 10.0  # retries
BUDGET_PER_REQUEST = 0.2  # retries that a new request adds: a busy fleet gets a fifth more attempts at most
MAX_TIMED_ATTEMPTS = 2  # attempts of a request with a time-out before its deadline
MIN_TIMEOUT, MAX_TIMEOUT = 0.5, 0.75  # of the latency objective; after a longer one a retry is too late
MIN_TIMEOUT_MEANS = 5.0  # mean durations, more while responses are slow
USEFUL_MEAN = 0.5  # mean durations that have to be left for a retry
DEDUPLICATION_MARGIN_MS = 5.0  # before the deduplication window ends, for the way to the server


class RetryPolicy:
    """Keeps the retry budget, and decides which requests may be attempted again."""

    def __init__(self, settings: Settings, load_balancer: LoadBalancer) -> None:
        self._max_attempts = settings.max_attempts
        self._load_balancer = load_balancer
        self._budget = INITIAL_BUDGET

    def add_request(self) -> None:
        """Add a new request's part to the retry budget."""
        self._budget = min(MAX_BUDGET, self._budget + BUDGET_PER_REQUEST)

    def take_from_budget(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._budget < 1.0:
            return False
        self._budget -= 1.0
        return True

    def may_retry(self, now_ms: float, pending: PendingRequest) -> bool:
        """Whether another attempt is allowed and may still be of use, whatever the budget holds."""
        request_class, useful_until_ms = pending.request_class, pending.deadline_ms
        if request_class.late_weight <= 0:
            objective_at_ms = pending.received_at_ms + request_class.latency_objective_ms
            useful_until_ms = min(useful_until_ms, objective_at_ms)
        mean_ms = self._load_balancer.mean_ms(request_class, pending.units)
        if pending.attempts >= self._max_attempts or now_ms + USEFUL_MEAN * mean_ms > useful_until_ms:
            return False
        if pending.may_have_run_at_ms is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        forgotten_at_ms = pending.may_have_run_at_ms + request_class.deduplication_window_ms
        keyed = request_class.idempotency is Idempotency.KEYED
        return keyed and now_ms < forgotten_at_ms - DEDUPLICATION_MARGIN_MS

    def attempt_timeout_ms(self, now_ms: float, pending: PendingRequest, mean_ms: float) -> float:
        """Return the time-out of the next attempt; 0: none, as a retry would come too late or not at all."""
        request_class = pending.request_class
        objective_ms = request_class.latency_objective_ms
        slowdown = max(1.0, self._load_balancer.relative_latency)
        timeout_ms = max(MIN_TIMEOUT * objective_ms, MIN_TIMEOUT_MEANS * mean_ms * slowdown)
        left_ms = pending.deadline_ms - now_ms - timeout_ms
        late = timeout_ms > MAX_TIMEOUT * objective_ms or left_ms < mean_ms
        last = pending.attempts >= min(MAX_TIMED_ATTEMPTS, self._max_attempts - 1)
        once = request_class.idempotency is Idempotency.NON_IDEMPOTENT
        return 0.0 if late or last or once else timeout_ms
