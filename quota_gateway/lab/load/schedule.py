"""The arrival schedule of an open-loop load: which customer sends which request, when and to which gateway.

The whole schedule is drawn before a run from a seeded Poisson process. Equal arguments give equal schedules,
so two versions of the gateway can be compared under the same load. The order and number of the draws and the
seed strings of the generators must therefore stay the same.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from typing import Any

import hiredis
import numpy

from quota_gateway.lab.load.deployment import ClientRequestClass, Deployment
from quota_gateway.settings import Idempotency

MAX_REQUESTS = 1_000_000
MAX_DURATION_S = 3600.0
MAX_REQUESTS_PER_S = 20_000.0
IDEMPOTENT_SHARE = 0.8  # share of idempotent requests if the deployment has idempotent and other classes
UNIT_CHOICES = (1, 1, 1, 2)  # drawn with equal probability
MEAN_UNITS = sum(UNIT_CHOICES) / len(UNIT_CHOICES)
DEMAND_WITHIN_QUOTA = 0.5  # demand of most customers, as a multiple of their quota
DEMAND_OVER_QUOTA = 3.0  # demand of customers that exceed their quota, as a multiple of it
MAX_GATEWAYS_PER_CUSTOMER = 3
CUSTOMER_ID_LIMIT = 1 << 33  # exclusive upper bound of customer ids in the protocol specification
MIN_RATE_DECREMENT = 1e-6  # requests per second; ensures that the loop in `draw_customers` ends


class LoadSpecError(ValueError):
    """A value of a load specification is out of range. The message is one line."""


@dataclass(frozen=True, slots=True)
class LoadSpec:
    """Rate, duration and composition of a load.

    Raises:
        LoadSpecError: a value is out of range.
    """

    rate: float  # requests per second, over all gateways
    duration_s: float
    seed: int = 1
    over_quota_share: float = 0.25  # share of customers whose demand exceeds their quota

    def __post_init__(self) -> None:
        if not (math.isfinite(self.duration_s) and 0.0 < self.duration_s <= MAX_DURATION_S):
            raise LoadSpecError(
                f"seconds must be above 0 and at most {MAX_DURATION_S:.0f}, not {self.duration_s:g}"
            )
        if not (math.isfinite(self.rate) and 0.0 < self.rate <= MAX_REQUESTS_PER_S):
            raise LoadSpecError(
                f"the rate must be above 0 and at most {MAX_REQUESTS_PER_S:.0f}, not {self.rate:g}"
            )
        if self.rate * self.duration_s > MAX_REQUESTS:
            raise LoadSpecError(
                f"rate times seconds must be at most {MAX_REQUESTS} requests,"
                f" not {self.rate * self.duration_s:.0f}"
            )
        if self.seed < 0:
            raise LoadSpecError(f"the seed must be at least 0, not {self.seed}")
        if not 0.0 <= self.over_quota_share <= 1.0:
            raise LoadSpecError(
                f"the share of customers over their quota must be 0 to 1, not {self.over_quota_share:g}"
            )


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer, with its demand and the gateways that its requests go to."""

    customer_id: bytes  # 16 hex digits
    plan: str
    rate: float  # requests per second
    gateways_per_customer: int  # number of consecutive gateways that receive its requests
    first_gateway: int  # index of the first of these gateways; the indexes wrap around


@dataclass(frozen=True, slots=True)
class ScheduledRequest:
    """One request of the schedule."""

    request_id: bytes
    customer: Customer
    units: float
    gateway_index: int
    command: bytes  # RESP2 encoding of the request
    deadline_s: float  # longest time from sending to the reply, as stated in the command
    idempotency: Idempotency
    offset_s: float  # intended send time, from the start of the run


def draw_customers(deployment: Deployment, spec: LoadSpec) -> list[Customer]:
    """Draw customers whose rates add up to the load's rate; the last customer's rate is reduced to fit."""
    rng = random.Random(f"tenants {spec.seed}")
    gateways_per_customer = min(deployment.gateway_count, MAX_GATEWAYS_PER_CUSTOMER)
    customers: list[Customer] = []
    remaining_rate = spec.rate
    while remaining_rate > 0.0:
        plan = rng.choice(deployment.plans)
        over_quota = _is_over_quota(len(customers), spec.over_quota_share)
        demand = DEMAND_OVER_QUOTA if over_quota else DEMAND_WITHIN_QUOTA
        rate = min(remaining_rate, demand * (plan.rate or 1.0) / MEAN_UNITS)
        customer_id = b"%016x" % rng.randrange(CUSTOMER_ID_LIMIT)
        first_gateway = rng.randrange(deployment.gateway_count)
        customers.append(Customer(customer_id, plan.name, rate, gateways_per_customer, first_gateway))
        remaining_rate -= max(rate, MIN_RATE_DECREMENT)
    return customers


def _is_over_quota(index: int, share: float) -> bool:
    """Whether the customer of this index exceeds its quota; such customers are spread evenly by index."""
    return int((index + 1) * share + 0.5) > int(index * share + 0.5)


def draw_schedule(deployment: Deployment, spec: LoadSpec) -> list[ScheduledRequest]:
    """Draw the requests of a run, in the order of their intended send times."""
    rng = random.Random(f"schedule {spec.seed}")
    customers = draw_customers(deployment, spec)
    request_count = round(spec.rate * spec.duration_s)
    arrival_rng = numpy.random.default_rng(spec.seed)
    # For a fixed number of events, the event times of a Poisson process are independent and uniform.
    offsets_s = numpy.sort(arrival_rng.random(request_count)) * spec.duration_s
    rates = numpy.array([customer.rate for customer in customers])
    customer_indexes = arrival_rng.choice(len(customers), size=request_count, p=rates / rates.sum())
    return [
        _draw_request(deployment, rng, float(offset_s), customers[customer_index])
        for offset_s, customer_index in zip(offsets_s, customer_indexes, strict=True)
    ]


def _draw_request(
    deployment: Deployment, rng: random.Random, offset_s: float, customer: Customer
) -> ScheduledRequest:
    request_class = _draw_class(deployment, rng)
    units = rng.choice(UNIT_CHOICES)
    fields = (
        f"c={request_class.name},t={customer.plan},d={request_class.deadline_ms:.0f},units={units}"
        f",spread={customer.gateways_per_customer},first={customer.first_gateway}"
    )
    if request_class.idempotency is Idempotency.KEYED:
        fields += f",k={rng.getrandbits(64):016x}"
    request_id = b"%016x" % rng.getrandbits(64)
    verb = b"CALL.GET" if request_class.idempotency is Idempotency.IDEMPOTENT else b"CALL.POST"
    # hiredis accepts bytes, but its type stub allows only str.
    command: Any = (verb, customer.customer_id, request_id, fields.encode())
    offset_from_first = rng.randrange(customer.gateways_per_customer)
    return ScheduledRequest(
        request_id=request_id,
        customer=customer,
        units=float(units),
        gateway_index=(customer.first_gateway + offset_from_first) % deployment.gateway_count,
        command=hiredis.pack_command(command),
        deadline_s=request_class.deadline_ms / 1000.0,
        idempotency=request_class.idempotency,
        offset_s=offset_s,
    )


def _draw_class(deployment: Deployment, rng: random.Random) -> ClientRequestClass:
    """Draw a request class; an idempotent one with `IDEMPOTENT_SHARE` if there are also other classes."""
    idempotent_classes = [
        each for each in deployment.request_classes if each.idempotency is Idempotency.IDEMPOTENT
    ]
    other_classes = [
        each for each in deployment.request_classes if each.idempotency is not Idempotency.IDEMPOTENT
    ]
    draw_idempotent = idempotent_classes and (not other_classes or rng.random() < IDEMPOTENT_SHARE)
    return rng.choice(idempotent_classes if draw_idempotent else other_classes)
