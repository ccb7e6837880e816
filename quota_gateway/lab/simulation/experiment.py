"""An experiment: what is simulated, as a TOML file, checked whole before anything runs.

A bad file gives one line with file, line and key. Ranges are [low, high]; a figure is drawn from each by the
seed. Sources of the default figures are named beside them: brief, BENCH, PROTOCOL, DEPLOY, WIRE (pages of the
operators) and the letter of 2026-12-02; "assumed" where none of them says.
"""

from __future__ import annotations

import re
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
from msgspec import Meta

# Upper ends too: a size that slips in with some noughts too many would take the machine's memory before any
# later check could say so.
Positive = Annotated[float, Meta(gt=0, le=1e9)]
Natural = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
Exponent = Annotated[float, Meta(ge=0, le=10)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Few = Annotated[int, Meta(ge=1, le=1000)]
Seed = Annotated[int, Meta(ge=0, le=1 << 62)]
Range = tuple[Natural, Natural]

MOST_BYTES = 12e9  # of memory that an experiment may need
# Memory of a run, roughly, for the check of its size: see `quota-gateway lab slopes` for measured figures.
GATEWAY_BYTES, RECORD_BYTES, SERVER_BYTES, TENANT_BYTES = 30_000.0, 500.0, 2_000.0, 6_000.0
TRY_BYTES = 3_000.0  # of a request until its deadline has passed
MOST_REQUESTS = 20_000_000.0  # arrivals of one experiment; more would run for days


T = TypeVar("T")


class ExperimentError(ValueError):
    """An experiment that can't be run; the text is one line with file, line and key."""


class Part(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """A table of the file. Unknown keys are errors."""


class Fleet(Part, frozen=True):
    """Sizes. All are split into `servers / visible` pools; a gateway is told of its own pool only."""

    gateways: Count
    servers: Count
    visible: Count | None = None  # servers that one gateway is told of; absent: all
    regions: Few = 1  # brief 1.3: one site; the letter: 6
    zones: Few = 1  # the letter: 23


class Load(Part, frozen=True):
    """What clients ask for, fleet-wide."""

    requests_per_s: Positive  # first tries; brief 1.1: about 120; the letter: 210,000
    part: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of the tenants and so of the requests that is played
    tenants: Count = 200  # the letter: 87,000
    skew: Exponent = (
        0.5  # Zipf exponent within a plan; 0.5 puts about one in twelve beyond its quota, brief 4.9
    )
    use: Annotated[float, Meta(gt=0, le=5)] = 0.5  # asked for, against the sum of all quotas; BENCH calm_use
    most_use: Positive = 8.0  # times its quota that a tenant asks for at most, brief 4.9
    heavy: Share = 0.0  # of the tenants that ask for far more than their quota; BENCH 0.04 to 0.12 ...
    heavy_x: Range = (1.6, 5.0)  # ... namely this many times it, BENCH
    spiky: Share = 0.0  # of the tenants that do so now and then; BENCH 0.1 to 0.25 ...
    spike_x: Range = (2.0, 8.0)  # ... namely this many times their quota, BENCH ...
    spike_s: Range = (0.5, 5.0)  # ... for so long, BENCH ...
    spike_every_s: Range = (10.0, 25.0)  # ... every so often, BENCH
    spread: tuple[Few, Few] = (2, 4)  # gateways of a tenant's set, brief 4.7
    uneven: Exponent = 1.0  # exponent of the weights in a set (4.8); BENCH skew 0.3 to 1.5
    shift_s: Range = (7.1, 21.0)  # the busiest of a set change every so often, brief 4.8
    most_units: Few = 8  # brief 4.6


class Clients(Part, frozen=True):
    """Habits of clients."""

    retries: Annotated[int, Meta(ge=0, le=20)] = 3  # brief 6.1
    honour: Share = 0.7  # share that keeps to a retry-after; "some clients" (WIRE `bounce`), share assumed
    pause_ms: Range = (0.0, 400.0)  # of the others before a retry: at once or after a wait, brief 6.1
    aim_ms: Positive = 1000.0  # brief 5
    deadline_ms: Positive = 2500.0  # brief 5, over all tries
    give_up: tuple[Share, Share] = (0.5, 1.0)  # share of the deadline in which a try is given up, brief 6.2
    leaving: Share = 0.02  # share of the tries whose client leaves unless answered ...; assumed
    leave_ms: Range = (0.0, 500.0)  # ... within this; assumed
    dead_ms: Range = (1200.0, 3200.0)  # requests go on coming to a dead gateway for so long, brief 1.4


class Servers(Part, frozen=True):
    """One kind of server."""

    cores: Few = 2  # brief 3.1
    room: Annotated[int, Meta(ge=0, le=1_000_000)] = (
        32  # waiting room, beyond which requests are turned away; size assumed
    )
    work_ms: Range = (80.0, 140.0)  # of a mean request on one warm core, brief 5
    spread: Exponent = 0.3  # coefficient of variation of the work beside the units; assumed
    cold_share: Share = 0.17  # brief 8.2
    warm_ms: Positive = 18000.0  # brief 8.2
    overload_factor: Positive = 3.0  # brief 8.2
    overload_ms: Positive = 3000.0  # brief 8.2
    drain_grace_ms: Natural = 250.0  # brief 8.1
    drain_ms: Natural = 4000.0  # from draining to gone; BENCH shrink: 2 to 6 s
    start_ms: Range = (1000.0, 3000.0)  # from the order to the first request; assumed
    errors: Share = 0.0
    connect_ms: Positive = 250.0  # connection time-out, WIRE settings
    idle_ms: Positive = 15000.0  # a connection idle for this long is closed, WIRE settings
    stops: bool = False  # whether cancelled work that runs stops; both occur, brief 3.2


class Counter(Part, frozen=True):
    """The shared counter."""

    on: bool = True
    machines: Few = 1  # each with `parts`; names are spread over them; those of a region serve it
    parts: Few = 2  # BENCH counter_parts: 1 to 3
    calls_per_s: Range = (550.0, 740.0)  # of a machine, brief 7.6
    call_ms: Range = (0.66, 1.6)  # beside the way there and back, brief 7.6
    timeout_ms: Positive = 80.0  # brief 7.6
    line: Range = (0.4, 3.0)  # time-outs that a part's line is long before it says BUSY, BENCH counter_queue
    loss: Share = 0.0


class Discovery(Part, frozen=True):
    """The service that knows the list of servers. Capacity figures are assumed: no page gives them."""

    late_ms: Range = (500.0, 3000.0)  # "seconds late", brief 7.1
    call_ms: Natural = 0.2  # work of the service for a call ...
    line_ms: Natural = 0.01  # ... and for each line that it sends
    line_limit_ms: Positive = 2000.0  # it answers 503 to calls that would wait longer
    kept: Count = 1000  # changes kept; who is farther behind gets the whole list
    lost: Share = 0.0  # answers that do not arrive
    told_ms: Positive = 6000.0  # a change counts as told after this, PROTOCOL "Figures" and the letter


class Network(Part, frozen=True):
    """Delays one way. No page gives figures; those of one site are small."""

    zone_ms: Natural = 0.25
    cross_zone_ms: Natural = 0.6
    region_ms: Natural = 35.0
    jitter: Exponent = 0.5  # up to this share of the delay on top
    loss: Share = 0.0  # packets that TCP sends again ...
    resend_ms: Natural = 200.0  # ... after this


class PlanFigures(Part, frozen=True):
    """A plan; rates are relative, as all are scaled by one factor so that `load.use` holds."""

    name: str
    share: Positive  # of the use inside quotas
    rate: Positive  # units a second
    burst_s: Positive  # seconds of the rate that may be used at once
    price: Positive
    beyond_cost: Share = 0.6
    ceiling: Natural = 0.0  # times the quota; 0: none


# Brief 4.1 to 4.4, the middle of each range.
PLANS = (
    PlanFigures(name="basico", share=0.23, rate=1.65, burst_s=4.5, price=0.55),
    PlanFigures(name="estudio", share=0.20, rate=2.2, burst_s=4.15, price=0.8),
    PlanFigures(name="profesional", share=0.31, rate=6.7, burst_s=4.65, price=1.3),
    PlanFigures(
        name="institucional", share=0.26, rate=16.5, burst_s=1.8, price=1.4, beyond_cost=0.8, ceiling=2.3
    ),
)

Kind = Literal[
    "zone_cut",
    "regions_apart",
    "rack_lost",
    "servers_hung",
    "servers_crashed",
    "servers_replaced",
    "gateways_restarted",
    "discovery_down",
    "counter_mute",
    "counter_emptied",
    "surge",
]


class Fault(Part, frozen=True):
    """Something that goes wrong at a moment, from the start of the run."""

    kind: Kind
    at_s: Natural
    for_s: Natural = 0.0  # how long it lasts; replacements and restarts are spread over this time
    share: Share = 0.0  # of the servers, gateways or tenants
    count: Annotated[int, Meta(ge=0)] = 0  # the same as a number; goes before the share
    zone: str = ""  # zone_cut: "z0", "z1" ...
    factor: Annotated[float, Meta(gt=0, le=100)] = (
        3.0  # surge: times the usual load; BENCH tenant_burst 2 to 6
    )
    down_ms: Range = (1100.0, 7800.0)  # gateways_restarted: each is away for this long, brief 2.1


class Experiment(Part, frozen=True):
    """All of the file."""

    name: Annotated[str, Meta(min_length=1)]
    seconds: Annotated[float, Meta(gt=0, le=3600)]  # of simulated time
    fleet: Fleet
    load: Load
    seed: Seed = 1
    clients: Clients = Clients()
    servers: Servers = Servers()
    counter: Counter = Counter()
    discovery: Discovery = Discovery()
    network: Network = Network()
    plans: Annotated[tuple[PlanFigures, ...], Meta(min_length=1, max_length=100)] = PLANS
    faults: Annotated[tuple[Fault, ...], Meta(max_length=1000)] = ()

    @property
    def visible(self) -> int:
        """Servers that one gateway is told of."""
        return self.fleet.visible or self.fleet.servers

    @property
    def pools(self) -> int:
        """Parts of the fleet that do not know of each other."""
        return max(1, round(self.fleet.servers / self.visible))


Problem = tuple[str, str]  # the key's path, what is wrong with it


def load(path: Path) -> Experiment:
    """Reads and checks an experiment. Raises ExperimentError."""
    return load_as(path, Experiment, impossible)


def load_as(path: Path, kind: type[T], check: Callable[[T], Problem | None]) -> T:
    """Reads and checks a file of some kind. Raises ExperimentError, one line with file, line and key."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        raise ExperimentError(f"{path}: can't be read: {reason}") from None
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        found = re.search(r"^(.*) \(at line (\d+), column \d+\)$", str(error))
        place, what = (found[2], found[1]) if found else (str(text.count("\n") + 1), str(error))
        raise ExperimentError(f"{path}:{place}: not TOML: {what}") from None
    try:
        made = msgspec.convert(raw, kind)
    except msgspec.ValidationError as error:
        key, what = invalid(str(error))
    else:
        problem = check(made)
        if problem is None:
            return made
        key, what = problem
    raise ExperimentError(f"{path}:{line_of(text, key)}: {key}: {what}")


def invalid(message: str) -> Problem:
    """Key and reason in a message of the validating library."""
    what, _, where = message.partition(" - at `$")
    path = where.rstrip("`").lstrip(".")
    if found := re.search(r"(unknown|required) field `([^`]+)`", what):
        path = f"{path}.{found[2]}" if path else found[2]
        what = "unknown key" if found[1] == "unknown" else "missing"
    return path or "the file", what[:1].lower() + what[1:]


def line_of(text: str, key: str) -> int:
    """The line of a key's path; of its table's head where the key is missing, 1 where that is missing too."""
    wanted = [part for part in re.split(r"[.\[\]]+", key) if part]
    table: list[str] = []
    seen: dict[str, int] = {}
    best, depth = 1, 0
    for number, line in enumerate(text.splitlines(), 1):
        if head := re.match(r"\s*\[\[\s*([\w.\"-]+)\s*\]\]", line):
            seen[head[1]] = seen.get(head[1], -1) + 1
            table = [*head[1].split("."), str(seen[head[1]])]
        elif head := re.match(r"\s*\[\s*([\w.\"-]+)\s*\]", line):
            table = head[1].split(".")
        elif head := re.match(r"\s*([\w.\"-]+)\s*=", line):
            here = [*table, *head[1].replace('"', "").split(".")]
            if here == wanted[: len(here)] and len(here) > depth:
                best, depth = number, len(here)
            continue
        else:
            continue
        if table == wanted[: len(table)] and len(table) > depth:
            best, depth = number, len(table)
    return best


def ranges(made: Experiment) -> Problem | None:
    """A range whose ends are the wrong way round."""
    parts: list[tuple[str, Part]] = [
        (name, getattr(made, name))
        for name in ("load", "clients", "servers", "counter", "discovery", "network")
    ]
    parts += [(f"faults[{i}]", fault) for i, fault in enumerate(made.faults)]
    for name, part in parts:
        for field in part.__struct_fields__:
            value = getattr(part, field)
            if isinstance(value, tuple) and len(value) == 2 and value[0] > value[1]:
                return f"{name}.{field}", f"the range [{value[0]}, {value[1]}] ends before it begins"
    return None


def excess(load: Load) -> float:
    """What heavy tenants and spikes ask for on average, against the sum of all quotas."""
    x, lasts, every = sum(load.spike_x) / 2.0, sum(load.spike_s) / 2.0, sum(load.spike_every_s) / 2.0
    return load.heavy * sum(load.heavy_x) / 2.0 + load.spiky * x * lasts / max(every, 1e-9)


def memory(made: Experiment) -> dict[str, float]:
    """Bytes that a run needs, roughly, by the key that asks for most of them."""
    fleet, load = made.fleet, made.load
    rate = load.requests_per_s * load.part
    # Each gateway holds a record of each server that it is told of.
    records = fleet.gateways * (made.visible * RECORD_BYTES + GATEWAY_BYTES) + fleet.servers * SERVER_BYTES
    return {
        "fleet.visible" if fleet.visible else "fleet.servers": records,
        "load.tenants": load.tenants * load.part * load.spread[1] * TENANT_BYTES,
        "load.requests_per_s": rate * max(1.0, made.clients.deadline_ms / 1000.0) * TRY_BYTES,
    }


def impossible(made: Experiment) -> Problem | None:
    """What the types don't tell: sizes that don't fit each other or the machine, faults out of range."""
    fleet, load = made.fleet, made.load
    if problem := ranges(made):
        return problem
    bytes_by_key = memory(made)
    most, total = max(bytes_by_key, key=lambda key: bytes_by_key[key]), sum(bytes_by_key.values())
    names = [plan.name for plan in made.plans]
    twice = next((i for i, name in enumerate(names) if name in names[:i]), None)
    checks = (
        (made.visible > fleet.servers, "fleet.visible", f"more than the {fleet.servers} servers"),
        (fleet.zones < fleet.regions, "fleet.zones", f"fewer than the {fleet.regions} regions"),
        (fleet.gateways < made.pools, "fleet.gateways", f"fewer than the {made.pools} pools of servers"),
        (load.tenants * load.part < made.pools, "load.tenants", f"by part fewer than {made.pools} pools"),
        (load.spread[1] > max(1, fleet.gateways // made.pools), "load.spread", "more than a pool's gateways"),
        (made.clients.aim_ms > made.clients.deadline_ms, "clients.aim_ms", "beyond the deadline"),
        (twice is not None, f"plans[{twice}].name", "another plan has this name"),
        (made.counter.calls_per_s[0] <= 0, "counter.calls_per_s", "begins at nothing"),
        (made.servers.work_ms[0] <= 0, "servers.work_ms", "begins at nothing"),
        (load.shift_s[0] <= 0, "load.shift_s", "begins at nothing"),
        (load.heavy + load.spiky > 1.0, "load.spiky", "more than all tenants, with the heavy ones"),
        (load.spike_s[1] >= load.spike_every_s[0], "load.spike_s", "longer than the time between two spikes"),
        (
            excess(load) > 0.95 * load.use,
            "load.use",
            f"heavy and spiky tenants alone ask for {excess(load):.2f} of the quotas",
        ),
        (
            load.requests_per_s * load.part * max(1.0, made.seconds) > MOST_REQUESTS,
            "load.requests_per_s",
            f"impossible size: more than {MOST_REQUESTS:.0f} requests",
        ),
        (
            total > MOST_BYTES,
            most,
            f"impossible size: about {total / 1e9:.0f} GB of memory, of {MOST_BYTES / 1e9:.0f}",
        ),
    )
    for wrong, key, what in checks:
        if wrong:
            return key, what
    return bad_fault(made)


def bad_fault(made: Experiment) -> Problem | None:
    """A fault that cannot happen in this fleet."""
    whole = {"gateways_restarted": made.fleet.gateways, "surge": made.load.tenants}
    for i, fault in enumerate(made.faults):
        key = f"faults[{i}]"
        if fault.at_s >= made.seconds:
            return f"{key}.at_s", f"after the end, {made.seconds:g} s"
        if fault.kind == "zone_cut" and fault.zone not in zones(made):
            return f"{key}.zone", f"no zone {fault.zone!r}; there are z0 to z{made.fleet.zones - 1}"
        sized = fault.kind.startswith(("servers", "rack", "gateways")) or fault.kind == "surge"
        if sized and not fault.share and not fault.count:
            return f"{key}.share", "missing: `share` or `count` is needed"
        if fault.count > whole.get(fault.kind, made.fleet.servers):
            return f"{key}.count", f"more than the {whole.get(fault.kind, made.fleet.servers)} there are"
        if fault.kind in LASTING and not fault.for_s:
            return f"{key}.for_s", "missing: it would last for no time"
    return None


LASTING = (
    "zone_cut",
    "regions_apart",
    "rack_lost",
    "servers_hung",
    "discovery_down",
    "counter_mute",
    "surge",
)


def zones(made: Experiment) -> list[str]:
    """The zones' names; zone i lies in region i modulo the regions."""
    return [f"z{i}" for i in range(made.fleet.zones)]
