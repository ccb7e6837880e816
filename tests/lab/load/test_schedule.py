"""The arrival schedule: reproducibility, request rate, and customers over their quota."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from itertools import pairwise
from pathlib import Path
from typing import Any

import pytest

from quota_gateway.lab.load.deployment import decode_deployment, gateway_settings
from quota_gateway.lab.load.schedule import (
    MEAN_UNITS,
    LoadSpec,
    LoadSpecError,
    draw_customers,
    draw_schedule,
)

DEPLOYMENT = decode_deployment(gateway_settings(3))
EARLIER_SCHEDULES = json.loads(
    (Path(__file__).resolve().parents[1] / "fixtures" / "schedules.json").read_text()
)


def test_equal_seeds_give_equal_schedules_with_the_rate_of_the_load() -> None:
    specs = (LoadSpec(500.0, 4.0, seed=7), LoadSpec(500.0, 4.0, seed=7), LoadSpec(500.0, 4.0, seed=8))
    first, same_seed, other_seed = (draw_schedule(DEPLOYMENT, spec) for spec in specs)
    offsets = [request.offset_s for request in first]
    assert [request.command for request in first] == [request.command for request in same_seed]
    assert offsets == [request.offset_s for request in same_seed]
    assert offsets != [request.offset_s for request in other_seed]
    assert len(first) == 2000
    assert 0.0 <= offsets[0] <= offsets[-1] < 4.0
    gaps = sorted(later - earlier for earlier, later in pairwise(offsets))
    assert gaps[1000] == pytest.approx(0.69 / 500.0, rel=0.15)  # median of an exponential distribution
    assert len({request.request_id for request in first}) == 2000
    assert 0.7 < sum(b"CALL.GET" in request.command for request in first) / 2000 < 0.9
    assert set(Counter(request.gateway_index for request in first)) == {0, 1, 2}


@pytest.mark.parametrize("earlier", EARLIER_SCHEDULES)
def test_schedules_are_those_of_the_first_version(earlier: dict[str, Any]) -> None:
    spec = LoadSpec(earlier["rate"], earlier["duration_s"], earlier["seed"], earlier["over_quota_share"])
    schedule = draw_schedule(decode_deployment(gateway_settings(earlier["gateways"])), spec)
    digest = hashlib.sha256()
    for request in schedule:
        digest.update(b"%d %.9f %b" % (request.gateway_index, request.offset_s, request.command))
    assert len(schedule) == earlier["requests"]
    assert digest.hexdigest() == earlier["sha256"]


@pytest.mark.parametrize(("over_quota_share", "expected_share"), [(0.0, 0.0), (0.25, 0.25), (1.0, 1.0)])
def test_customers_have_the_rate_of_the_load_in_sum_and_a_share_of_them_is_over_quota(
    over_quota_share: float, expected_share: float
) -> None:
    customers = draw_customers(DEPLOYMENT, LoadSpec(800.0, 1.0, over_quota_share=over_quota_share))
    quota = {plan.name: plan.rate for plan in DEPLOYMENT.plans}
    over_quota_count = sum(each.rate * MEAN_UNITS > quota[each.plan] for each in customers[:-1])
    assert sum(customer.rate for customer in customers) == pytest.approx(800.0)
    assert over_quota_count / len(customers) == pytest.approx(expected_share, abs=0.02)
    assert all(len(each.customer_id) == 16 and int(each.customer_id, 16) < 1 << 33 for each in customers)


@pytest.mark.parametrize(
    "arguments",
    [
        (0.0, 1.0),
        (-1.0, 1.0),
        (float("nan"), 1.0),
        (1.0, float("inf")),
        (1.0, 0.0),
        (1e9, 1.0),
        (20_000.0, 3600.0),
        (1.0, 1.0, -1),
        (1.0, 1.0, 1, 1.5),
    ],
)
def test_a_load_out_of_bounds_is_rejected(arguments: tuple[Any, ...]) -> None:
    with pytest.raises(LoadSpecError) as error:
        LoadSpec(*arguments)
    assert "\n" not in str(error.value)
