"""Rates and costs of one gateway that several lines of the capacity page share."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.scaling.fleet_plan import FleetPlan
from quota_gateway.lab.scaling.measured_slopes import MeasuredSlopes
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.policy.quota import CUSTOMER_IDLE_MS

SECONDS_PER_DAY = 86_400.0
HEADER_BYTES = 52  # IP and TCP headers of a small message, with time stamps: RFC 791, 9293, 7323
ROUND_TRIP_HEADER_BYTES = 2 * HEADER_BYTES  # a call and its answer, each acknowledged by what comes next
CHANGES_PER_REPLACEMENT = 3  # a server that is replaced drains, is gone, and its successor comes


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """A fleet plan with the slopes that its figures are worked out from."""

    plan: FleetPlan
    slopes: MeasuredSlopes

    @property
    def requests_per_s(self) -> float:
        """Requests a second of one gateway."""
        return self.plan.size.requests_per_s / self.plan.size.gateways

    @property
    def known_customers(self) -> float:
        """Customers that one gateway keeps a record of."""
        return min(self.plan.size.tenants, self.requests_per_s * CUSTOMER_IDLE_MS / 1000.0)

    @property
    def counter_calls_wanted(self) -> float:
        """Calls a second to the counter that one gateway would make."""
        return self.requests_per_s * self.plan.counter.calls_per_request

    @property
    def counter_calls_available(self) -> float:
        """Calls a second that the counter takes of one gateway."""
        all_calls = self.plan.counter.calls_per_machine_s * self.plan.limits.control_machines
        return all_calls / self.plan.size.gateways

    @property
    def counter_calls(self) -> float:
        """Calls a second that one gateway makes."""
        return min(self.counter_calls_wanted, self.counter_calls_available)

    @property
    def control_ms_per_s(self) -> float:
        """Processor time, ms a second, that a gateway may spend on what no request asks for."""
        return 1000.0 * self.plan.limits.control_core_share

    @property
    def release_changes_per_s(self) -> float:
        """Changes of the endpoint list a second during a release."""
        size = self.plan.size
        return CHANGES_PER_REPLACEMENT * size.release_share * size.servers / size.release_s

    @property
    def daily_changes_per_s(self) -> float:
        """Changes of the endpoint list a second on an ordinary day."""
        size = self.plan.size
        return (CHANGES_PER_REPLACEMENT * size.restarts_per_day + size.failures_per_day) / SECONDS_PER_DAY

    def change_processor_ms(self, changes_per_s: float) -> float:
        """Return the processor time, ms a second, of so many changes a second."""
        handled = self.slopes.at(SlopeName.ONE_CHANGE, self.plan.size.servers)
        return changes_per_s * (handled + self.slopes.per_unit(SlopeName.SNAPSHOT_PARSED))

    def change_bytes(self, changes: float) -> float:
        """Return the bytes of so many changes, each sent alone."""
        return changes * (self.slopes.at(SlopeName.UPDATE_BYTES, 1) + ROUND_TRIP_HEADER_BYTES)
