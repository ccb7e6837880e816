"""The limit on customers: clients that make up customer ids take no more memory, and win no quota."""

from __future__ import annotations

from dataclasses import replace

from quota_gateway.policy.customer_table import CustomerTable
from quota_gateway.policy_api.actions import Reject, StartAttempt
from quota_gateway.policy_api.events import CallOutcome
from quota_gateway.policy_state.customers import Customer
from tests.policy.scripted_host import SETTINGS, ScriptedHost, make_endpoints, of_type
from tests.policy.traffic import count_admitted

MAX_CUSTOMERS = 50
FEW_CUSTOMERS = replace(SETTINGS, max_customers=MAX_CUSTOMERS)
IDLE_MS = 60_000.0


def make_customer(key: str, last_seen_ms: float = 0.0) -> Customer:
    return Customer(key, SETTINGS.plans[0], 1, 0.0, 6.0, 6.0, last_seen_ms=last_seen_ms)


def test_requests_of_ever_new_customers_take_bounded_memory() -> None:
    """Guards against a process killed for its memory: each request made a record that stayed for a minute."""
    host = ScriptedHost(make_endpoints(4), FEW_CUSTOMERS)
    for i in range(20 * MAX_CUSTOMERS):
        host.serve(1.0, plan="rate", customer=f"new{i}")
        host.reply_to_calls()
        host.advance(1.0)
    assert len(host.gateway.quota.customers) <= MAX_CUSTOMERS


def test_a_new_customer_without_room_is_rejected_at_once_and_served_later() -> None:
    host = ScriptedHost(make_endpoints(4), FEW_CUSTOMERS)
    for i in range(MAX_CUSTOMERS):
        assert host.serve(1.0, plan="rate", customer=f"old{i}", units=4.0)
    rejections = of_type(host.request(plan="rate", customer="new")[1], Reject)
    assert [reject.retry_after_ms for reject in rejections] == [SETTINGS.max_retry_after_ms]
    assert host.serve(1.0, plan="rate", customer="old1")
    host.reply_to_calls()
    host.advance(10_000.0)
    host.reply_to_calls()
    host.advance(10_000.0)
    assert host.serve(1.0, plan="rate", customer="new")


def test_a_customer_that_has_used_up_its_quota_is_not_forgotten() -> None:
    """Guards against a second burst for a customer whose state is displaced by made-up customers."""
    host = ScriptedHost(make_endpoints(4), FEW_CUSTOMERS)
    count_admitted(host, 30, 1.0)
    for i in range(4 * MAX_CUSTOMERS):
        host.request(plan="rate", customer=f"new{i}", units=0.001)
    assert count_admitted(host, 10, 1.0) <= 1


def test_a_customer_with_an_attempt_in_flight_is_not_forgotten() -> None:
    host = ScriptedHost(make_endpoints(4), FEW_CUSTOMERS)
    ids = [host.request(plan="open", customer="c")[0] for _ in range(2)]
    for i in range(4 * MAX_CUSTOMERS):
        host.serve(1.0, plan="open", customer=f"new{i}")
    assert not of_type(host.request(plan="open", customer="c")[1], StartAttempt)
    host.complete(ids[0], 0, CallOutcome.OK)
    assert of_type(host.request(plan="open", customer="c")[1], StartAttempt)


def test_a_busy_customer_does_not_keep_idle_ones_from_being_forgotten() -> None:
    table = CustomerTable(10)
    busy = make_customer("busy")
    busy.in_flight = 1
    for customer in (busy, make_customer("idle"), make_customer("recent", IDLE_MS)):
        table.add(customer)
    assert [customer.key for customer in table.forget_idle(IDLE_MS, IDLE_MS)] == ["idle"]
    assert set(table.by_key) == {"busy", "recent"}
