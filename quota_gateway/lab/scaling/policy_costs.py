"""Measures time and memory of the policy as functions of the numbers of servers and of customers."""

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
SERVERS_FOR_CUSTOMERS = 20  # length of the endpoint list while the number of customers varies
CUSTOMER_STRIDE = 31  # distance in the list of customers between consecutive requests


@contextmanager
def _frozen_heap() -> Iterator[None]:
    """Exclude all existing objects from garbage collection, whose time would be added to the measurements."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


@contextmanager
def _allocated_bytes(results: list[float]) -> Iterator[None]:
    """Append the bytes that the block allocates and does not free to `results`."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    yield
    gc.collect()
    results.append(float(tracemalloc.get_traced_memory()[0] - before))
    tracemalloc.stop()


def costs_by_servers(counts: Sequence[int], repeats: int, on_step: Callable[[], None]) -> list[Slope]:
    """Measure the processor times and message sizes that depend on the length of the endpoint list.

    Args:
        counts: lengths of the endpoint list.
        repeats: repetitions of each measurement of time.
        on_step: called after each length.
    """
    times: dict[SlopeName, Slope] = {}
    snapshot_bytes = Slope(SlopeName.SNAPSHOT_BYTES, "bytes", "servers")
    delta_bytes = Slope(SlopeName.ONE_CHANGE_BYTES, "bytes", "servers")
    for count in counts:
        gateway = ScriptedGateway(count)
        body = endpoint_list(gateway.endpoints, LIST_VERSION, full=True)
        with _frozen_heap():
            for _ in range(WARM_UP_REQUESTS):
                gateway.request(CUSTOMER)
            for name, measure in _measurements_by_servers(gateway, body, repeats).items():
                times.setdefault(name, Slope(name, MILLISECONDS, "servers")).add(count, measure())
        snapshot_bytes.add(count, [float(len(body))])
        delta = endpoint_list(gateway.endpoints[:1], LIST_VERSION + 1, full=False)
        delta_bytes.add(count, [float(len(delta))])
        on_step()
    return [*times.values(), snapshot_bytes, delta_bytes]


def _measurements_by_servers(
    gateway: ScriptedGateway, body: bytes, repeats: int
) -> dict[SlopeName, Callable[[], list[float]]]:
    """Return, for each slope, a function that measures its processor times in ms.

    Args:
        gateway: the gateway under measurement.
        body: its endpoint list, as discovery sends it.
        repeats: repetitions of each measurement.
    """

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


def endpoint_memory(counts: Sequence[int], on_step: Callable[[], None]) -> Slope:
    """Measure the bytes that a policy keeps for an endpoint list; `on_step` is called after each length."""
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
        on_step()
    return slope


def costs_by_customers(counts: Sequence[int], repeats: int, on_step: Callable[[], None]) -> list[Slope]:
    """Measure the memory and processor times that depend on the number of customers that a gateway knows.

    Args:
        counts: numbers of customers.
        repeats: repetitions of each measurement of time.
        on_step: called after each number of customers.
    """
    memory = Slope(SlopeName.CUSTOMER_RECORDS, "bytes", "customers")
    decision = Slope(SlopeName.DECISION_BY_CUSTOMERS, MILLISECONDS, "customers")
    tick = Slope(SlopeName.TICK_BY_CUSTOMERS, MILLISECONDS, "customers")
    for count in counts:
        # Each customer sends one request per second, which its quota admits.
        gateway = ScriptedGateway(SERVERS_FOR_CUSTOMERS, SETTINGS_WITH_COUNTER, 1000.0 / count)
        allocated: list[float] = []
        with _allocated_bytes(allocated):
            for customer in _customers(count):
                gateway.request(customer)
        memory.add(count, allocated)
        customers = list(_customers(count))
        with _frozen_heap():
            send_request = _request_sender(gateway, customers)
            decision.add(count, processor_time_ms(send_request, repeats))
            for customer in customers:
                # A second request leaves unreported usage that is not due yet: the ticks that follow check
                # each customer, but call the counter for none.
                gateway.request(customer)
            tick.add(count, processor_time_ms(gateway.tick_at_once, repeats))
        on_step()
    return [memory, decision, tick]


def _request_sender(gateway: ScriptedGateway, customers: list[str]) -> Callable[[], None]:
    """Return a function that sends one request; consecutive calls go through the customers in strides."""
    request_numbers = itertools.count()

    def send_request() -> None:
        gateway.request(customers[next(request_numbers) * CUSTOMER_STRIDE % len(customers)])

    return send_request


def _customers(count: int) -> Iterator[str]:
    """Return customer ids: 16 hexadecimal digits each."""
    return (f"{i * 7919:016x}" for i in range(count))
