"""The lifecycle of a request in one gateway: admission, attempts, retries and exactly one final answer.

The host passes events to `Gateway.handle` and carries out the actions that it returns. The policy does no
I/O, reads no clock and has a single random generator, so the same events and seed give the same actions.
"""

import math
import random

from quota_gateway.policy.capacity import CapacityEstimator
from quota_gateway.policy.counter_sync import CounterSync
from quota_gateway.policy.load_balancing import LoadBalancer
from quota_gateway.policy.quota import QuotaAdmission, TooManyCustomersError
from quota_gateway.policy.retries import RetryPolicy
from quota_gateway.policy_api import actions, events
from quota_gateway.policy_api.endpoints import EndpointUpdate, UpdateKind
from quota_gateway.policy_state.requests import Attempt, PendingRequest, ReplyState
from quota_gateway.settings import Idempotency, RequestClass, Settings

# Interval between ticks. A tick updates the capacity estimate, reports usage to the counter and tries
# again to start attempts for the queued requests.
TICK_MS = 250.0
# Age up to which a request may be queued for a server, as a share of its latency objective.
MAX_QUEUED_SHARE = 0.3
# Attempts in flight above which a gateway counts as busy. With fewer attempts, its work in flight says
# nothing about the load of the fleet.
MIN_BUSY_ATTEMPTS = 4.0
# Attempts in flight per server, summed over all gateways, above which gateways count as busy.
BUSY_ATTEMPTS_PER_SERVER = 2.0
# Weight of a new duration in the moving mean of attempt durations.
ATTEMPT_DURATION_WEIGHT = 0.02
# Minimum time between two log events of one state, which may begin and end in quick succession.
MIN_LOG_INTERVAL_MS = 5000.0
# Throttling is logged as a state while less than this share of the wanted counter calls is made.
LOGGED_CALL_SHARE = 0.5
# Failures of the whole fleet are logged as a state while the median failure score is above this.
LOGGED_BASELINE_SCORE = 0.2


class Gateway:
    """Tracks each request until its one final answer. `handle` is the only method that hosts call."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.quota = QuotaAdmission(settings, self.rng)
        self.counter_sync = CounterSync(settings, self.rng, self.quota)
        self.load_balancer = LoadBalancer(settings, self.rng)
        self.retries = RetryPolicy(settings, self.load_balancer)
        self.capacity = CapacityEstimator()
        self.pending: dict[str, PendingRequest] = {}  # requests without a final answer, by id
        self.attempts: dict[tuple[str, int], Attempt] = {}  # attempts in flight, by request id and number
        self.queued: list[str] = []  # ids of the requests that wait for a server
        # Requests whose client left before the counter replied, by request id.
        self.abandoned: dict[str, PendingRequest] = {}
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._logged_states: set[str] = set()  # names of the states last logged as begun
        self._logged_at_ms: dict[str, float] = {}  # time of the last log event, by name of the state
        self._actions: list[actions.Action] = []  # the result of handling the current event

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        """Handle one event at Unix time `now_ms` and return the actions to carry out, in this order."""
        self._actions = []
        if self.quota.started_at_ms == math.inf:
            self.quota.started_at_ms = now_ms
            # Random jitter desynchronises the ticks of gateways that start together.
            self._actions.append(actions.SetTimer(0, now_ms + TICK_MS * self.rng.uniform(0.5, 1.5)))
        match event:
            case events.Request():
                self._on_request(now_ms, event)
            case events.AttemptCompleted():
                self._on_attempt_completed(now_ms, event)
            case EndpointUpdate():
                self.load_balancer.update_endpoints(event, now_ms)
                stale = event.kind in (UpdateKind.CACHED_SNAPSHOT, UpdateKind.WATCH_FAILED)
                if stale and self.settings.watch_required:
                    self._actions.append(actions.WatchEndpoints())
                self._resume_queued(now_ms)
            case events.TimerFired():
                self.tick(now_ms)
            case events.CounterReply():
                self._on_counter_reply(now_ms, event)
            case events.ClientDisconnected(request_id) | events.ResponseStarted(request_id):
                self._release(request_id)
        return self._actions

    def tick(self, now_ms: float) -> None:
        """Run the periodic work: capacity estimate, logs, counter reports, queued requests, next timer."""
        self._actions.append(actions.SetTimer(0, now_ms + TICK_MS))
        self.capacity.end_window(now_ms, self.attempts.values())
        self._log_states(now_ms)
        for customer in self.quota.forget_idle(now_ms):
            self.counter_sync.unreported.pop(customer.key, None)
        self._actions += self.counter_sync.report_due_usage(now_ms)
        self._resume_queued(now_ms)

    def _log_states(self, now_ms: float) -> None:
        """Log each state that has begun or ended since it was last logged."""
        health = self.counter_sync.health
        balancer = self.load_balancer
        states: dict[str, bool | str] = {
            "counter_unavailable": self.settings.counter_enabled and not health.available,
            "counter_calls_throttled": health.call_share < LOGGED_CALL_SHARE,
            "capacity_limited": self.capacity.capacity < math.inf,
            "customer_table_full": len(self.quota.customers) >= self.settings.max_customers,
            "no_endpoints": not balancer.endpoints.servers,
            "fleet_failing": balancer.outliers.baseline > LOGGED_BASELINE_SCORE,
            # This call also updates the baseline above, whose state is therefore that of the previous tick.
            "outliers_ejected": ", ".join(balancer.outliers.detect(now_ms)),
        }
        for event, state in states.items():
            self._log_state_transition(now_ms, event, state)

    def _log_state_transition(self, now_ms: float, event: str, state: bool | str) -> None:
        """Log that a state has begun or ended, at most once per change and per `MIN_LOG_INTERVAL_MS`.

        `state` says whether the state holds. If it is a text, it lists the servers concerned; an empty text
        means that the state does not hold.
        """
        logged_recently = now_ms - self._logged_at_ms.get(event, -math.inf) < MIN_LOG_INTERVAL_MS
        if logged_recently or bool(state) == (event in self._logged_states):
            return
        self._logged_states ^= {event}
        self._logged_at_ms[event] = now_ms
        fields = [("state", "began" if state else "ended")]
        if state and isinstance(state, str):
            fields.append(("servers", state))
        self._actions.append(actions.LogEvent(event, tuple(fields)))

    def _on_request(self, now_ms: float, request: events.Request) -> None:
        """Accept a new request. It may wait for a counter reply before it is admitted or rejected."""
        time_left_ms = request.time_left_ms
        request_class = self._classes.get(request.class_name)
        if request_class is None:  # an unknown class counts as non-idempotent: it must not run twice
            request_class = RequestClass("", time_left_ms, 1.0, Idempotency.NON_IDEMPOTENT)
        if time_left_ms <= 0 or len(self.pending) >= self.settings.max_pending_requests - 1:
            self._actions.append(actions.Reject(request.request_id, self.settings.max_retry_after_ms))
            return

        try:
            customer = self.quota.get_or_create_customer(now_ms, request)
        except TooManyCustomersError:
            self._actions.append(actions.Reject(request.request_id, self.settings.max_retry_after_ms))
            return
        self.retries.add_retry_credit()
        request_id = request.request_id
        pending = PendingRequest(
            request_id, request.units, request_class, customer, now_ms, now_ms + time_left_ms
        )
        self.pending[request_id] = pending
        if customer is not None:
            self.counter_sync.refresh(now_ms, customer)
            has_time_for_reply = time_left_ms >= 2.0 * self.settings.counter_timeout_ms + TICK_MS
            if has_time_for_reply and self.counter_sync.needs_reply(now_ms, customer, request.units):
                calls = self.counter_sync.request_reply(now_ms, customer, request)
                pending.reply = ReplyState.AWAITED if calls else ReplyState.MISSING
                self._actions += calls
        if pending.reply is not ReplyState.AWAITED:
            self._admit_or_reject(now_ms, pending)

    def _on_counter_reply(self, now_ms: float, reply: events.CounterReply) -> None:
        result = self.counter_sync.on_reply(now_ms, reply)
        self._actions += result.actions
        call_succeeded = reply.outcome is events.CallOutcome.OK
        if pending := self.pending.get(result.request_id):
            pending.reply = ReplyState.RECEIVED if call_succeeded else ReplyState.MISSING
            self._admit_or_reject(now_ms, pending)
            return
        abandoned = self.abandoned.pop(result.request_id, None)
        if abandoned and call_succeeded and abandoned.customer:
            self._actions += self.counter_sync.refund(now_ms, abandoned.customer, abandoned.units)

    def _release(self, request_id: str) -> None:
        """Drop a request that needs no final answer: its client has left or is receiving a response."""
        pending = self.pending.pop(request_id, None)
        if pending is not None and pending.reply is ReplyState.AWAITED:
            self.abandoned[request_id] = pending

    def _admit_or_reject(self, now_ms: float, pending: PendingRequest) -> None:
        """Start the first attempt of a request if its quota and the capacity admit it, or reject it."""
        customer = pending.customer
        units = pending.units
        reply = pending.reply
        if customer is not None:
            known_reply = reply if self.counter_sync.health.available else ReplyState.UNAVAILABLE
            retry_after_ms = self.quota.admit(now_ms, customer, units, known_reply)
            servers_per_gateway = len(self.load_balancer.endpoints.servers) / self.settings.gateway_count
            busy_attempts = max(MIN_BUSY_ATTEMPTS, BUSY_ATTEMPTS_PER_SERVER * servers_per_gateway)
            is_busy = len(self.attempts) > busy_attempts
            if retry_after_ms is None and not self.capacity.admit(pending, customer.plan.price, is_busy):
                retry_after_ms = self.settings.max_retry_after_ms
            if retry_after_ms is not None:
                if reply is ReplyState.RECEIVED:
                    self._actions += self.counter_sync.refund(now_ms, customer, units)
                del self.pending[pending.request_id]
                retry_after_ms = max(1.0, min(retry_after_ms, self.settings.max_retry_after_ms))
                self._actions.append(actions.Reject(pending.request_id, retry_after_ms))
                return
            # The units are charged at admission, before any attempt, so that queued requests can't exceed
            # a limit together.
            self.quota.charge(customer, units, known_reply)
            # In the other states a call has carried the units: the call of this request or, while calls are
            # throttled, the scaled-up call of another one. If that call fails, they are not reported again.
            if reply is ReplyState.NOT_NEEDED:
                self.counter_sync.record_usage(customer, units)
            self._actions += self.counter_sync.report_usage(now_ms, customer)
        self._start_attempt(now_ms, pending)

    def _start_attempt(self, now_ms: float, pending: PendingRequest) -> None:
        """Start an attempt; if no server can be used, queue the request or give its final answer."""
        server = self.load_balancer.choose(now_ms, pending)
        if server is None:
            max_wait_ms = MAX_QUEUED_SHARE * pending.request_class.latency_objective_ms
            if now_ms - pending.received_at_ms < max_wait_ms and now_ms < pending.deadline_ms - 2 * TICK_MS:
                # A server may come up or a slow-start slot may open in time. The queue is retried at
                # each tick, so two ticks before the deadline are enough to answer in time.
                self.queued.append(pending.request_id)
            else:
                self._finish_unserved(pending)
            return

        if pending.customer is not None:
            pending.customer.in_flight += 1
        mean_ms = self.load_balancer.mean_ms(pending.request_class, pending.units)
        timeout_ms = self.retries.attempt_timeout_ms(now_ms, pending, mean_ms)
        write_before_ms = self.retries.write_before_ms(pending)
        self._actions.append(
            actions.StartAttempt(pending.request_id, server.endpoint.server_id, timeout_ms, write_before_ms)
        )
        attempt = Attempt(pending, server.endpoint, now_ms, mean_ms)
        self.attempts[pending.request_id, pending.attempts] = attempt
        pending.attempts += 1
        pending.in_flight += 1
        pending.tried_servers.append(server.endpoint.server_id)
        self.load_balancer.attempt_started(now_ms, server, pending.units)
        self.capacity.attempt_started(attempt)

    def _resume_queued(self, now_ms: float) -> None:
        """Try again to start attempts for the queued requests."""
        queued = self.queued
        self.queued = []
        for request_id in queued:
            pending = self.pending.get(request_id)
            if pending is None or pending.in_flight:
                continue
            if pending.may_have_run_at_ms is None or self.retries.may_retry(now_ms, pending):
                self._start_attempt(now_ms, pending)
            else:  # for example after the deduplication window: servers no longer know the idempotency key
                self._finish_unserved(pending)

    def _on_attempt_completed(self, now_ms: float, event: events.AttemptCompleted) -> None:
        """Record the outcome of an attempt, then retry its request or give the pending final answer."""
        if (attempt := self.attempts.pop((event.request_id, event.attempt), None)) is None:
            return
        pending = attempt.pending
        self.load_balancer.attempt_completed(now_ms, attempt, event)
        self.capacity.attempt_completed(now_ms, attempt, event)
        if pending.customer is not None:
            pending.customer.in_flight -= 1
            duration_s = event.duration_ms / 1000.0
            mean_s = self.quota.mean_attempt_duration_s
            self.quota.mean_attempt_duration_s += ATTEMPT_DURATION_WEIGHT * (duration_s - mean_s)

        if event.request_id not in self.pending:
            return
        if event.request_completed:
            del self.pending[event.request_id]
            return
        pending.in_flight -= 1
        if event.outcome not in events.DID_NOT_RUN and pending.may_have_run_at_ms is None:
            pending.may_have_run_at_ms = attempt.started_at_ms
            pending.may_have_run_on = attempt.endpoint
        if pending.in_flight > 0:
            return
        was_sent = event.outcome is not events.CallOutcome.NOT_SENT
        if was_sent and self.retries.may_retry(now_ms, pending) and self.retries.take_retry_credit():
            self._start_attempt(now_ms, pending)
        else:
            self._finish_unserved(pending)

    def _finish_unserved(self, pending: PendingRequest) -> None:
        """Give the final answer of a request that no server answered.

        `Reject` tells the client that the request did not run; `Fail` promises nothing about its effect.
        """
        del self.pending[pending.request_id]
        if pending.may_have_run_at_ms is None:
            self._actions.append(actions.Reject(pending.request_id, self.settings.max_retry_after_ms))
        else:
            self._actions.append(actions.Fail(pending.request_id))
