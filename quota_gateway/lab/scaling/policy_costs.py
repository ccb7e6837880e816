"""What decisions and updates cost the policy against the number of servers and of customers."""

from __future__ import annotations

import gc
import itertools
import json
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager

from quota_gateway.lab.scaling.list_parsing import parse_list, parse_step_times_ms
from quota_gateway.lab.scaling.scripted_gateway import (
    POLICY_SEED,
    SETTINGS,
    SETTINGS_WITH_COUNTER,
    START_MS,
    ScriptedGateway,
    endpoint_records,
)
from quota_gateway.lab.scaling.slope import MILLISECONDS, Slope, processor_time_ms
from quota_gateway.lab.scaling.slope_names import SlopeName
from quota_gateway.lab.simulation.wire_sizes import endpoint_list
from quota_gateway.network.discovery.endpoint_list import parse_endpoint_list
from quota_gateway.policy.gateway import Gateway

CUSTOMER = "00000000b4d65521"
WARM_UP_REQUESTS = 3
LIST_VERSION = 41
SERVERS_FOR_CUSTOMERS = 20  # endpoint list of the gateways whose customers are counted
CUSTOMER_STRIDE = 31  # the next request is of a customer this far on


@contextmanager
def _frozen_heap() -> Iterator[None]:
    """Keep the garbage collector off what has been built."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


@contextmanager
def _allocated_bytes(into: list[float]) -> Iterator[None]:
    """Append the bytes that a block allocates and keeps."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    yield
    gc.collect()
    into.append(float(tracemalloc.get_traced_memory()[0] - before))
    tracemalloc.stop()


def costs_by_servers(counts: Sequence[int], repeats: int, step: Callable[[], None]) -> list[Slope]:
    """Measure what depends on the length of the endpoint list; `step` is called after each length."""
    times: dict[SlopeName, Slope] = {}
    snapshot = Slope(SlopeName.SNAPSHOT_BYTES, "bytes", "servers")
    one_change = Slope(SlopeName.ONE_CHANGE_BYTES, "bytes", "servers")
    for count in counts:
        gateway = ScriptedGateway(count)
        body = endpoint_list(gateway.endpoints, LIST_VERSION, full=True)
        with _frozen_heap():
            for _ in range(WARM_UP_REQUESTS):
                gateway.request(CUSTOMER)
            for name, measure in _measurements_by_servers(gateway, body, repeats).items():
                times.setdefault(name, Slope(name, MILLISECONDS, "servers")).add(count, measure())
        snapshot.add(count, [float(len(body))])
        change = endpoint_list(gateway.endpoints[:1], LIST_VERSION + 1, full=False)
        one_change.add(count, [float(len(change))])
        step()
    return [*times.values(), snapshot, one_change]


def _measurements_by_servers(
    gateway: ScriptedGateway, body: bytes, repeats: int
) -> dict[SlopeName, Callable[[], list[float]]]:
    """Return what measures the processor time of each figure, ms; `body` is the gateway's endpoint list."""

    def repeated(call: Callable[[], object]) -> Callable[[], list[float]]:
        return lambda: processor_time_ms(call, repeats)

    return {
        SlopeName.DECISION: repeated(lambda: gateway.request(CUSTOMER)),
        SlopeName.TICK: repeated(gateway.tick),
        SlopeName.ONE_CHANGE: repeated(gateway.change_endpoint),
        SlopeName.SNAPSHOT_HANDLED: repeated(gateway.handle_snapshot),
        SlopeName.FIRST_LIST_HANDLED: repeated(gateway.handle_first_list),
        SlopeName.SNAPSHOT_PARSED: repeated(lambda: parse_list(body)),
        SlopeName.LONGEST_PARSE_STEP: lambda: [max(parse_step_times_ms(body)) for _ in range(repeats)],
    }


def endpoint_memory(counts: Sequence[int], step: Callable[[], None]) -> Slope:
    """Measure the bytes that a policy keeps for an endpoint list, parsed and handled."""
    slope = Slope(SlopeName.ENDPOINT_RECORDS, "bytes", "servers")
    for count in counts:
        body = endpoint_list(endpoint_records(count), LIST_VERSION, full=True)
        gc.collect()
        tracemalloc.start()
        policy = Gateway(SETTINGS, POLICY_SEED)
        before = tracemalloc.get_traced_memory()[0]
        policy.handle(START_MS, parse_endpoint_list(json.loads(body)).update)
        gc.collect()
        slope.add(count, [float(tracemalloc.get_traced_memory()[0] - before)])
        tracemalloc.stop()
        del policy
        step()
    return slope


def costs_by_customers(counts: Sequence[int], repeats: int, step: Callable[[], None]) -> list[Slope]:
    """Measure what depends on the customers that a gateway knows; `step` is called after each number."""
    memory = Slope(SlopeName.CUSTOMER_RECORDS, "bytes", "customers")
    decision = Slope(SlopeName.DECISION_BY_CUSTOMERS, MILLISECONDS, "customers")
    tick = Slope(SlopeName.TICK_BY_CUSTOMERS, MILLISECONDS, "customers")
    for count in counts:
        # Each customer asks once a second, within its quota.
        gateway = ScriptedGateway(SERVERS_FOR_CUSTOMERS, SETTINGS_WITH_COUNTER, 1000.0 / count)
        kept: list[float] = []
        with _allocated_bytes(kept):
            for customer in _customers(count):
                gateway.request(customer)
        memory.add(count, kept)
        customers = list(_customers(count))
        with _frozen_heap():
            requests = _round_robin(gateway, customers)
            decision.add(count, processor_time_ms(requests, repeats))
            for customer in customers:
                # The usage of a second request is reported later; no call is due in the ticks that follow.
                gateway.request(customer)
            tick.add(count, processor_time_ms(gateway.tick_at_once, repeats))
        step()
    return [memory, decision, tick]


def _round_robin(gateway: ScriptedGateway, customers: list[str]) -> Callable[[], None]:
    """Return a call that sends a request of the next customer."""
    numbers = itertools.count()

    def request() -> None:
        gateway.request(customers[next(numbers) * CUSTOMER_STRIDE % len(customers)])

    return request


def _customers(count: int) -> Iterator[str]:
    return (f"{i * 7919:016x}" for i in range(count))
