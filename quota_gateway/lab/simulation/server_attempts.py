"""A gateway's attempts at servers: connections, timeouts, responses and cancellation."""

from __future__ import annotations

from functools import partial

from quota_gateway.lab.simulation.clients import Answer, request_bytes
from quota_gateway.lab.simulation.endpoint_notices import EndpointNotices
from quota_gateway.lab.simulation.environment import Environment
from quota_gateway.lab.simulation.gateway_host import GatewayHost
from quota_gateway.lab.simulation.metrics import Message, Role, RuleViolation
from quota_gateway.lab.simulation.records import ClientAttempt, ServerAttempt
from quota_gateway.lab.simulation.servers import ServerState, ServerTask
from quota_gateway.lab.simulation.wire_sizes import VALUE_BYTES
from quota_gateway.network.in_flight_request import RESPONSE_MARGIN_S
from quota_gateway.policy_api.actions import StartAttempt
from quota_gateway.policy_api.events import AttemptCompleted, CallOutcome

# Time that a gateway has to notice a client's disconnect; a later attempt for the client is a rule violation.
DISCONNECT_NOTICE_MS = 100.0
SERVER_VALUE_FRAMING_BYTES = 24  # Protocol overhead of a value that a server sends.
NEVER_USED_AT_MS = -1e9  # Stands for the last use of a connection that was never opened.
HANDSHAKE_FACTOR = 3.0  # A new connection needs a round trip before the request's one-way delay.


class ServerAttempts:
    """Carries out the attempts that the policy starts; each one completes exactly once."""

    def __init__(
        self, environment: Environment, host: GatewayHost, notices: EndpointNotices, max_attempts: int
    ) -> None:
        self._environment = environment
        self._host = host
        self._notices = notices
        self._max_attempts = max_attempts
        self._connection_used_at: dict[str, float] = {}  # Time of the last use, by name of the server.

    def clear(self) -> None:
        """Close all connections after the gateway's process was killed."""
        self._connection_used_at.clear()

    def abort(self, attempt: ServerAttempt) -> None:
        """Cancel an attempt in flight without an event to the policy, whose process was killed."""
        attempt.in_flight = False
        if attempt.task is not None:
            attempt.server.cancel(attempt.task)

    def start(self, action: StartAttempt) -> None:
        """Start an attempt.

        It completes as not sent if the request is unknown, out of time or out of attempts, or if another
        attempt for it is in flight.
        """
        now = self._environment.scheduler.now
        client_attempt = self._host.pending.get(action.request_id)
        if client_attempt is None:
            self._environment.metrics.violations[RuleViolation.ATTEMPT_WITHOUT_REQUEST] += 1
            self._complete_unsent(action, 0, request_completed=True)
            return
        number = client_attempt.server_attempts
        client_attempt.server_attempts += 1
        timeout_ms = client_attempt.deadline - 1000.0 * RESPONSE_MARGIN_S - now
        if action.timeout_ms > 0:
            timeout_ms = min(timeout_ms, action.timeout_ms)
        if timeout_ms <= 0 or number >= self._max_attempts or client_attempt.current is not None:
            self._complete_unsent(action, number, request_completed=False)
            return
        server = self._environment.servers.by_name[action.server_id]
        self._notices.check_drain(server)
        if client_attempt.closed and now - client_attempt.closed_at > DISCONNECT_NOTICE_MS:
            self._environment.metrics.violations[RuleViolation.ATTEMPT_AFTER_DISCONNECT] += 1
        attempt = ServerAttempt(client_attempt, number, server, now)
        client_attempt.current = attempt
        self._environment.scheduler.schedule_after(timeout_ms, self._complete, attempt, CallOutcome.TIMEOUT)
        self._send(attempt)

    def cancel(self, request_id: str, number: int) -> None:
        """Cancel an attempt; it completes as cancelled unless it has completed before."""
        client_attempt = self._host.pending.get(request_id)
        attempt = client_attempt.current if client_attempt is not None else None
        if attempt is not None and attempt.number == number:
            self._environment.scheduler.schedule_after(0.0, self._complete, attempt, CallOutcome.CANCELLED)

    def _complete_unsent(self, action: StartAttempt, number: int, *, request_completed: bool) -> None:
        event = AttemptCompleted(
            action.request_id, number, action.server_id, CallOutcome.NOT_SENT, 0.0, request_completed
        )
        self._environment.scheduler.schedule_after(0.0, self._host.post_to, self._host.incarnation, event)

    def _send(self, attempt: ServerAttempt) -> None:
        """Connect to the server unless a connection exists, and forward the request if that succeeds."""
        environment = self._environment
        server = attempt.server
        scheduler = environment.scheduler
        config = environment.experiment.servers
        delay = environment.network.sample_delay(self._host.location, server.location)
        if server.state is ServerState.VANISHED or delay is None:
            environment.metrics.count_message(Role.SERVER, Message.UNREACHABLE)
            scheduler.schedule_after(
                config.connect_timeout_ms, self._complete, attempt, CallOutcome.UNREACHABLE
            )
            return
        used_at = self._connection_used_at.get(server.name, NEVER_USED_AT_MS)
        if scheduler.now - used_at > config.idle_timeout_ms:
            environment.metrics.count_message(Role.SERVER, Message.HANDSHAKES)
            delay *= HANDSHAKE_FACTOR
        self._connection_used_at[server.name] = scheduler.now
        if server.state is ServerState.DOWN:
            scheduler.schedule_after(2.0 * delay, self._complete, attempt, CallOutcome.UNREACHABLE)
            return
        self._forward(attempt, delay)

    def _forward(self, attempt: ServerAttempt, delay: float) -> None:
        """Send the request to the server, where it arrives after the delay, ms."""
        environment = self._environment
        server = attempt.server
        client_attempt = attempt.client_attempt
        self._record_forwarded(client_attempt)
        attempt.task = ServerTask(
            client_attempt.request.work * server.service_time_ms,
            partial(self._return_response, attempt, self._host.incarnation),
            self._notices.knows_start(server),
        )
        size = request_bytes(client_attempt, client_attempt.deadline - environment.scheduler.now)
        environment.metrics.count_message(Role.GATEWAY, Message.ATTEMPTS, size)
        environment.scheduler.schedule_after(delay, self._arrive, attempt)

    def _record_forwarded(self, client_attempt: ClientAttempt) -> None:
        self._host.record_wait(client_attempt)
        if not client_attempt.forwarded:
            client_attempt.forwarded = True
            self._environment.quotas.record_forwarded(client_attempt)

    def _arrive(self, attempt: ServerAttempt) -> None:
        """Deliver the request to the server; one that went down in the meantime resets the connection."""
        if attempt.in_flight and attempt.task is not None:
            if attempt.server.state is ServerState.DOWN:
                self._return_response(attempt, self._host.incarnation, CallOutcome.RESET)
            else:
                attempt.server.accept(attempt.task)

    def _return_response(self, attempt: ServerAttempt, incarnation: int, outcome: CallOutcome) -> None:
        """Send a server's response to the gateway, unless another process runs there by now."""
        network = self._environment.network
        delay = network.sample_delay(attempt.server.location, self._host.location)
        if delay is not None and incarnation == self._host.incarnation:
            self._environment.scheduler.schedule_after(delay, self._complete, attempt, outcome)

    def _complete(self, attempt: ServerAttempt, outcome: CallOutcome) -> None:
        """Complete an attempt. A successful response goes to the client before the policy gets the event."""
        host = self._host
        environment = self._environment
        client_attempt = attempt.client_attempt
        if not attempt.in_flight or not host.alive:
            return
        attempt.in_flight = False
        if client_attempt.current is attempt:
            client_attempt.current = None
        environment.metrics.attempt_outcomes[outcome.value] += 1
        if outcome in (CallOutcome.TIMEOUT, CallOutcome.CANCELLED) and attempt.task is not None:
            attempt.server.cancel(attempt.task)
        attempt.task = None  # Breaks the reference cycle, which the garbage collector would have to find.
        if outcome is CallOutcome.OK:
            environment.metrics.count_message(
                Role.GATEWAY, Message.VALUES, VALUE_BYTES + SERVER_VALUE_FRAMING_BYTES
            )
            if host.pending.pop(client_attempt.request_id, None) is not None and not client_attempt.closed:
                environment.clients.complete(client_attempt, Answer.SERVED)
        host.post(
            AttemptCompleted(
                client_attempt.request_id,
                attempt.number,
                attempt.server.name,
                outcome,
                environment.scheduler.now - attempt.sent_at,
                client_attempt.request_id not in host.pending,
            )
        )
