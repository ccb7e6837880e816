"""Rates and costs of one gateway that several requirements are calculated from."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.scaling.fleet_plan import FleetPlan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.policy.quota import CUSTOMER_IDLE_MS

SECONDS_PER_DAY = 86_400.0
HEADER_BYTES = 52  # IPv4 and TCP headers with the timestamps option: RFC 791, 9293, 7323
ROUND_TRIP_HEADER_BYTES = 2 * HEADER_BYTES  # one call and one reply; acknowledgements are piggybacked
CHANGES_PER_REPLACEMENT = 3  # the old server drains, then is gone; the new server becomes active


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """A fleet plan, and the measured slopes that its requirements are calculated from."""

    plan: FleetPlan
    slopes: MeasuredSlopes

    @property
    def requests_per_s(self) -> float:
        """Requests per second of one gateway, spread evenly over the fleet."""
        return self.plan.size.requests_per_s / self.plan.size.gateways

    @property
    def known_customers(self) -> float:
        """Largest number of customers that one gateway holds records of.

        A record is dropped after `CUSTOMER_IDLE_MS`, so each request in that time adds one record at most.
        """
        return min(self.plan.size.tenants, self.requests_per_s * CUSTOMER_IDLE_MS / 1000.0)

    @property
    def counter_calls_wanted(self) -> float:
        """Counter calls per second that one gateway would make without a limit."""
        return self.requests_per_s * self.plan.counter.calls_per_request

    @property
    def counter_calls_available(self) -> float:
        """Counter calls per second that one gateway may make: the counter's capacity, divided evenly."""
        counter_capacity = self.plan.counter.calls_per_machine_s * self.plan.limits.control_machines
        return counter_capacity / self.plan.size.gateways

    @property
    def counter_calls(self) -> float:
        """Counter calls per second that one gateway makes."""
        return min(self.counter_calls_wanted, self.counter_calls_available)

    @property
    def control_ms_per_s(self) -> float:
        """Processor time that a gateway may spend on control work, in ms per second."""
        return 1000.0 * self.plan.limits.control_core_share

    @property
    def release_changes_per_s(self) -> float:
        """Endpoint changes per second during a release."""
        size = self.plan.size
        return CHANGES_PER_REPLACEMENT * size.release_share * size.servers / size.release_s

    @property
    def daily_changes_per_s(self) -> float:
        """Endpoint changes per second on an ordinary day, from restarts and failures."""
        size = self.plan.size
        return (CHANGES_PER_REPLACEMENT * size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY

    def change_processor_ms(self, changes_per_s: float) -> float:
        """Return the processor time of parsing and handling endpoint changes at a rate, in ms per second."""
        handling_ms = self.slopes.at(SlopeName.ONE_CHANGE, self.plan.size.servers)
        return changes_per_s * (handling_ms + self.slopes.per_unit(SlopeName.SNAPSHOT_PARSED))

    def change_bytes(self, changes: float) -> float:
        """Return the bytes of a given number of endpoint changes, each sent in a delta of its own."""
        return changes * (self.slopes.at(SlopeName.UPDATE_BYTES, 1) + ROUND_TRIP_HEADER_BYTES)
