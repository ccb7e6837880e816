"""Clients: tenants and plans, arrivals, the front, retries, deadlines, and the true state of each quota."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import numpy as np
import numpy.typing as npt

from quota_gateway.lab.simulation.experiment import Experiment, excess
from quota_gateway.lab.simulation.metrics import Books
from quota_gateway.lab.simulation.scheduler import Kernel, arrays, stream
from quota_gateway.lab.simulation.wire_sizes import SERVED, call_get
from quota_gateway.settings import Plan

if TYPE_CHECKING:
    from quota_gateway.lab.simulation.gateways import HollowGateway

BATCH_MS = 500.0  # arrivals are drawn for this long at a time
REFUSED_MS = 1.0  # a dead gateway's machine refuses a connection after about this; assumed
GOLDEN = 0.6180339887498949  # its multiples lie evenly between 0 and 1
Floats = npt.NDArray[np.float64]


@dataclass(slots=True, eq=False)
class Tenant:
    """A customer, with what its quotas truly hold: a try counts when it is first sent on (BENCH)."""

    key: str
    plan: Plan
    first: int  # of its gateways in the pool ...
    spread: int  # ... and how many follow, counted round
    mix: int  # moves the weights of its gateways
    shift_ms: float
    weight: float
    store: float
    ceiling: float
    fair: float  # the store of one gateway that saw all first tries: what service is measured by (BENCH)
    at: float
    spike: float = 0.0  # requests a second that a spike of it asks for; 0: it has none

    def fill(self, now: float) -> None:
        """Brings the stores up to a moment."""
        dt = (now - self.at) / 1000.0
        self.at = now
        self.store = min(self.plan.burst, self.store + self.plan.rate * dt)
        self.fair = min(self.plan.burst, self.fair + self.plan.rate * dt)
        self.ceiling = min(self.plan.hard_limit_burst, self.ceiling + self.plan.hard_limit_rate * dt)


@dataclass(slots=True, eq=False)
class Try:
    """One try of a client: its own id, deadline and single answer."""

    ref: str
    tenant: Tenant
    units: float
    work: float  # in mean requests
    first_at: float  # when the client's first try was made
    number: int  # 0: the first try
    came: float
    deadline: float
    gateway: HollowGateway | None = None
    attempts: int = 0
    current: Any = None  # the attempt that is out
    sent: bool = False
    inside: bool = False  # its quota, when it was first sent on
    over: bool = False
    over_at: float = 0.0
    decided: bool = False  # first sent on or refused
    spent_ns: int = 0  # processor time of the module before that, if it had to wait


@dataclass(slots=True)
class Pool:
    """Tenants and gateways that share a list of servers."""

    tenants: list[Tenant] = field(default_factory=list)
    gateways: list[HollowGateway] = field(default_factory=list)
    weights: Floats = field(default_factory=lambda: np.zeros(0))
    total: float = 0.0  # requests a second
    batch: list[tuple[float, int, float, float]] = field(default_factory=list)


class Clients:
    """All of them. Arrivals are drawn ahead and don't wait for answers (BENCH, "How a day is judged")."""

    def __init__(
        self, kernel: Kernel, books: Books, experiment: Experiment, pools: list[Pool], seed: int
    ) -> None:
        self.kernel = kernel
        self.books = books
        self.figures = experiment.clients
        self.load = experiment.load
        self.pools = pools
        self.rng = stream(seed, "clients")
        self.spikes = stream(seed, "spikes")
        self.draws = [arrays(seed, "arrivals", i) for i in range(len(pools))]
        self.serial = 0
        self.end = 0.0
        shares = 0.5 ** np.arange(1, self.load.most_units + 1)
        self.unit_weights: Floats = shares / shares.sum()
        self.mean_units = mean_units(self.load.most_units)
        self.work_spread = experiment.servers.spread
        ranks = np.arange(1, self.load.spread[1] + 1)
        self.set_weights = [
            np.cumsum(ranks[:n] ** -self.load.uneven) / np.sum(ranks[:n] ** -self.load.uneven)
            for n in range(1, len(ranks) + 1)
        ]

    def start(self, end: float) -> None:
        """Begins the arrivals, which go on to a moment."""
        self.end = end
        for number, pool in enumerate(self.pools):
            self.reweigh(pool)
            self.draw(number)
            for tenant in pool.tenants:
                if tenant.spike:
                    first = self.spikes.uniform(0.0, 1000.0 * self.load.spike_every_s[1])
                    self.kernel.after(first, self.spike, pool, tenant)

    def spike(self, pool: Pool, tenant: Tenant) -> None:
        """A tenant asks for far more for a while, from the next batch of arrivals on, and will again."""
        if self.kernel.now >= self.end:
            return
        factor = max(1.0, tenant.spike / tenant.weight)
        times = (self.load.spike_s, self.load.spike_every_s)
        lasts, pause = (1000.0 * self.spikes.uniform(*each) for each in times)
        self.scale(pool, tenant, factor)
        self.kernel.after(lasts, self.scale, pool, tenant, 1.0 / factor)
        self.kernel.after(pause, self.spike, pool, tenant)

    def scale(self, pool: Pool, tenant: Tenant, factor: float) -> None:
        """Changes what one tenant asks for."""
        tenant.weight *= factor
        self.reweigh(pool)

    def reweigh(self, pool: Pool) -> None:
        """After the tenants' weights (requests a second) have changed."""
        weights = np.array([tenant.weight for tenant in pool.tenants])
        pool.total = float(weights.sum())
        pool.weights = np.cumsum(weights) / max(pool.total, 1e-12)

    def draw(self, number: int) -> None:
        """The arrivals of the next while."""
        now, pool, rng = self.kernel.now, self.pools[number], self.draws[number]
        if now >= self.end:
            return
        count = int(rng.poisson(pool.total * BATCH_MS / 1000.0))
        times = np.sort(rng.random(count)) * BATCH_MS + now
        who = np.searchsorted(pool.weights, rng.random(count))
        units = rng.choice(np.arange(1, self.load.most_units + 1), size=count, p=self.unit_weights)
        work = units / self.mean_units * rng.gamma(1.0 / max(self.work_spread, 1e-3) ** 2, size=count)
        work *= max(self.work_spread, 1e-3) ** 2
        pool.batch = list(
            zip(times.tolist(), who.tolist(), units.astype(float).tolist(), work.tolist(), strict=True)
        )
        pool.batch.reverse()
        self.kernel.at(now + BATCH_MS, self.draw, number)
        if pool.batch:
            self.kernel.at(pool.batch[-1][0], self.arrive, pool)

    def arrive(self, pool: Pool) -> None:
        """The next arrival of a pool."""
        when, who, units, work = pool.batch.pop()
        if pool.batch:
            self.kernel.at(pool.batch[-1][0], self.arrive, pool)
        if when < self.end:
            tenant = pool.tenants[min(who, len(pool.tenants) - 1)]
            self.offer(tenant, units)
            self.ask(pool, tenant, units, work, when, 0)

    def offer(self, tenant: Tenant, units: float) -> None:
        """Books a first try, and what it is worth if one gateway that saw all would let it in."""
        service = self.books.service
        service["first_tries"] += 1
        tenant.fill(self.kernel.now)
        if tenant.fair >= units:
            tenant.fair -= units
            service["first_tries_inside"] += 1
            service["offered_worth"] += units * tenant.plan.price  # type: ignore[assignment]

    def ask(
        self, pool: Pool, tenant: Tenant, units: float, work: float, first_at: float, number: int
    ) -> None:
        """A try: through the front to a gateway."""
        f, now = self.figures, self.kernel.now
        left = min(f.deadline_ms * self.rng.uniform(*f.give_up), first_at + f.deadline_ms - now)
        self.serial += 1
        one = Try(f"r{self.serial:x}", tenant, units, work, first_at, number, now, now + left)
        self.books.service["tries"] += 1
        gateway = self.choose(pool, tenant)
        if gateway is None:
            self.books.service["unreached"] += 1
            self.kernel.after(REFUSED_MS, self.retry, pool, one, 0.0)
            return
        one.gateway = gateway
        size = len(call_get(tenant.key, one.ref, tenant.plan.name, left, units, tenant.spread))
        self.books.count("gateway", "requests", size)
        self.kernel.at(one.deadline, self.overdue, pool, one)
        if f.leaving and self.rng.random() < f.leaving:
            self.kernel.after(self.rng.uniform(*f.leave_ms), self.leave, one)
        gateway.take(one)

    def choose(self, pool: Pool, tenant: Tenant) -> HollowGateway | None:
        """The front: by uneven weights, which move; a dead gateway is gone to until it is noticed."""
        now, weights = self.kernel.now, self.set_weights[tenant.spread - 1]
        turn = (tenant.mix * 2654435761 + int((now + tenant.mix % 9973) / tenant.shift_ms) * 40503) >> 7
        rank = int(np.searchsorted(weights, self.rng.random()))
        for step in range(tenant.spread):
            place = tenant.first + (turn + rank + step) % tenant.spread
            gateway = pool.gateways[place % len(pool.gateways)]
            if gateway.alive and now >= gateway.ready_at:
                return gateway
            if now < gateway.noticed_at:
                return None
        return None

    def leave(self, one: Try) -> None:
        """The client goes away early."""
        if not one.over:
            self.books.service["left"] += 1
            one.over, one.over_at = True, self.kernel.now
            if one.gateway is not None:
                one.gateway.gone(one)

    def overdue(self, pool: Pool, one: Try) -> None:
        """The try's time is up without an answer."""
        if not one.over:
            self.books.service["lost"] += 1
            one.over, one.over_at = True, self.kernel.now
            if one.gateway is not None:
                one.gateway.gone(one)
            self.retry(pool, one, 0.0)

    def answered(self, pool: Pool, one: Try, what: str, retry_after_ms: float = 0.0) -> None:
        """The one answer of a try: "served", "refused" or "failed"."""
        now, service = self.kernel.now, self.books.service
        one.over, one.over_at = True, now
        service[what] += 1
        if what != "served":
            self.books.count("gateway", what, 12)  # `-BUSY MS` or `-ERR failed`
            self.retry(pool, one, retry_after_ms)
            return
        self.books.count("gateway", what, SERVED + 8)
        self.books.answered.add(1000.0 * (now - one.first_at))
        worth = one.units * one.tenant.plan.price
        if now - one.first_at <= self.figures.aim_ms:
            service["served_in_aim"] += 1
            if one.inside:  # what is served beyond a quota earns nothing (brief 4.1)
                service["served_worth"] += worth  # type: ignore[assignment]
        else:
            service["served_late"] += 1

    def retry(self, pool: Pool, one: Try, retry_after_ms: float) -> None:
        """The client's next try, if it makes one: safe requests are repeated after any failure (WIRE 10)."""
        f = self.figures
        keeps = retry_after_ms > 0 and self.rng.random() < f.honour
        wait = retry_after_ms if keeps else self.rng.uniform(*f.pause_ms)
        after = self.kernel.now + wait
        if one.number >= f.retries or after >= one.first_at + f.deadline_ms or after >= self.end:
            self.books.service["given_up"] += 1
            return
        self.kernel.at(after, self.ask, pool, one.tenant, one.units, one.work, one.first_at, one.number + 1)

    def first_sent(self, one: Try) -> None:
        """Books a try on its first sending: inside its quota, which it takes, or beyond."""
        tenant, units, quota = one.tenant, one.units, self.books.quota
        tenant.fill(self.kernel.now)
        inside = not tenant.plan.rate or tenant.store >= units
        quota["tries_inside" if inside else "tries_beyond"] += 1
        quota["units_inside" if inside else "units_beyond"] += int(units)
        one.inside = inside
        if inside and tenant.plan.rate:
            tenant.store -= units
        if tenant.plan.hard_limit_rate:
            tenant.ceiling -= units
            if tenant.ceiling < -tenant.plan.hard_limit_slack:
                self.books.rules["ceiling_overruns"] += 1

    def refused(self, one: Try) -> None:
        """Books a refusal: with room where half of the store was unused."""
        one.tenant.fill(self.kernel.now)
        self.books.quota["refused"] += 1
        if one.tenant.store >= 0.5 * one.tenant.plan.burst and one.tenant.store >= one.units:
            self.books.quota["refused_with_room"] += 1


def mean_units(most: int) -> float:
    """Units of a mean request: half of all have one, a quarter two, and so on up to the most (assumed)."""
    shares = 0.5 ** np.arange(1, most + 1)
    return float((np.arange(1, most + 1) * shares).sum() / shares.sum())


def plans(experiment: Experiment) -> tuple[tuple[Plan, ...], list[int]]:
    """The plans with their rates, and how many of all tenants are on each.

    Tenants of a plan are as many as its share of the use needs at its rate; one factor on all rates makes the
    use asked for `load.use` times the sum of the quotas.
    """
    load = experiment.load
    per_rate = np.array([plan.share / plan.rate for plan in experiment.plans])
    counts = [max(1, round(load.tenants * x)) for x in (per_rate / per_rate.sum()).tolist()]
    asked = load.requests_per_s * mean_units(load.most_units)  # units a second
    quotas = sum(n * plan.rate for n, plan in zip(counts, experiment.plans, strict=True))
    factor = asked / load.use / quotas
    made = []
    for plan in experiment.plans:
        rate = plan.rate * factor
        # Two of the largest requests at least, four under a ceiling; slack a tenth or one of them (BENCH).
        burst = max(rate * plan.burst_s, load.most_units * (4.0 if plan.ceiling else 2.0))
        ceiling = plan.ceiling * burst
        made.append(
            Plan(
                plan.name,
                plan.price,
                rate,
                burst,
                0,
                plan.ceiling * rate,
                ceiling,
                max(0.1 * ceiling, float(load.most_units)) if plan.ceiling else 0.0,
                0.0,
                plan.beyond_cost,
            )
        )
    return tuple(made), counts


def tenants(experiment: Experiment, made: tuple[Plan, ...], counts: list[int], seed: int) -> list[Tenant]:
    """The tenants that are played, `load.part` of all, each with its own rate in requests a second."""
    load, rng, habits = experiment.load, stream(seed, "tenants"), stream(seed, "habits")
    # What the others ask for, as a share of what all would if none were heavy or had spikes.
    shared = (1.0 - excess(load) / load.use) / max(1e-9, 1.0 - load.heavy)
    total_share = sum(plan.share for plan in experiment.plans)
    out: list[Tenant] = []
    for plan, figures, count in zip(made, experiment.plans, counts, strict=True):
        shares = np.arange(1, count + 1) ** -load.skew
        rates = shares / shares.sum() * load.requests_per_s * figures.share / total_share
        kept = max(1, round(count * load.part))
        # Evenly over the ranks, so that the part has the whole's share of heavy tenants; then put right.
        picked = rates[((np.arange(kept) + 0.5) * count / kept).astype(int)]
        quota = plan.rate / mean_units(load.most_units)  # in requests a second
        picked *= shared * load.requests_per_s * load.part * figures.share / total_share / picked.sum()
        picked = np.minimum(picked, load.most_use * quota)
        for rate in picked.tolist():
            kind, spike = (len(out) + 0.5) * GOLDEN % 1.0, 0.0  # evenly over ranks and plans
            if kind < load.heavy:
                rate = max(rate, quota * habits.uniform(*load.heavy_x))
            elif kind < load.heavy + load.spiky:
                spike = quota * habits.uniform(*load.spike_x)
            out.append(
                Tenant(
                    key=f"{rng.randrange(1 << 33):016x}",
                    plan=plan,
                    first=rng.randrange(1 << 30),
                    spread=rng.randint(*load.spread),
                    mix=rng.randrange(1 << 20),
                    shift_ms=1000.0 * rng.uniform(*load.shift_s),
                    weight=rate,
                    store=plan.burst,
                    ceiling=plan.hard_limit_burst,
                    fair=plan.burst,
                    at=0.0,
                    spike=spike,
                )
            )
    rng.shuffle(out)
    return out
