"""An experiment: what is simulated, read from a TOML file and checked whole before anything runs.

Ranges are [low, high]; the seed draws a figure from each. Sources of the defaults are named beside them:
brief, BENCH, PROTOCOL, DEPLOY and WIRE are pages of the operators, "the letter" is theirs of 2026-12-02;
"assumed" stands where none of them says. `experiment_keys` has the names that these fields had formerly.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from quota_gateway.lab.toml_config import NonNegativeFloat, PositiveFloat, PositiveInt, Share, Table

Exponent = Annotated[float, Meta(ge=0, le=10)]
SmallInt = Annotated[int, Meta(ge=1, le=1000)]
Seed = Annotated[int, Meta(ge=0, le=1 << 62)]
Range = tuple[NonNegativeFloat, NonNegativeFloat]


class FleetConfig(Table, frozen=True):
    """Sizes. Everything is split into `servers / visible_servers` pools that do not know of each other."""

    gateways: PositiveInt
    servers: PositiveInt
    visible_servers: PositiveInt | None = None  # in the endpoint list of one gateway; absent: all
    regions: SmallInt = 1  # brief 1.3: one site; the letter: 6
    zones: SmallInt = 1  # the letter: 23


class LoadConfig(Table, frozen=True):
    """The demand of all clients together."""

    requests_per_s: PositiveFloat  # first attempts; brief 1.1: about 120; the letter: 210,000
    sampled_share: Annotated[float, Meta(gt=0, le=1)] = (
        1.0  # of the tenants, and so of the requests, simulated
    )
    tenants: PositiveInt = 200  # the letter: 87,000
    # Within a plan; 0.5 puts about one tenant in twelve beyond its quota, brief 4.9.
    zipf_exponent: Exponent = 0.5
    quota_utilization: Annotated[float, Meta(gt=0, le=5)] = 0.5  # demand by the sum of quotas; BENCH calm_use
    max_quota_utilization: PositiveFloat = 8.0  # of one tenant, brief 4.9
    heavy_share: Share = 0.0  # of tenants that ask for far more than their quota; BENCH 0.04 to 0.12 ...
    heavy_factor: Range = (1.6, 5.0)  # ... namely this many times it, BENCH
    spiky_share: Share = 0.0  # of tenants that do so now and then; BENCH 0.1 to 0.25 ...
    spike_factor: Range = (2.0, 8.0)  # ... namely this many times their quota, BENCH ...
    spike_duration_s: Range = (0.5, 5.0)  # ... for so long, BENCH ...
    spike_interval_s: Range = (10.0, 25.0)  # ... once in this time, BENCH
    gateways_per_tenant: tuple[SmallInt, SmallInt] = (2, 4)  # brief 4.7
    gateway_weight_exponent: Exponent = 1.0  # of a tenant's weights for its gateways (4.8); BENCH 0.3 to 1.5
    gateway_weight_shift_s: Range = (7.1, 21.0)  # these weights move to other gateways this often, brief 4.8
    max_units: SmallInt = 8  # of a request, brief 4.6


class ClientConfig(Table, frozen=True):
    """Habits of clients."""

    max_retries: Annotated[int, Meta(ge=0, le=20)] = 3  # brief 6.1
    retry_after_share: Share = (
        0.7  # of retries that honour a Retry-After; "some clients" (WIRE `bounce`), assumed
    )
    backoff_ms: Range = (0.0, 400.0)  # before the other retries: at once or after a wait, brief 6.1
    latency_objective_ms: PositiveFloat = 1000.0  # brief 5
    deadline_ms: PositiveFloat = 2500.0  # of a request with all its retries, brief 5
    timeout_share: tuple[Share, Share] = (0.5, 1.0)  # an attempt's time-out, by the deadline; brief 6.2
    disconnect_share: Share = 0.02  # of the attempts whose client disconnects unless answered ...; assumed
    disconnect_after_ms: Range = (0.0, 500.0)  # ... within this; assumed
    failover_ms: Range = (1200.0, 3200.0)  # requests go on coming to a dead gateway for so long, brief 1.4


class ServerConfig(Table, frozen=True):
    """The one kind of server that there is."""

    cores: SmallInt = 2  # brief 3.1
    queue_capacity: Annotated[int, Meta(ge=0, le=1_000_000)] = 32  # beyond it requests are rejected; assumed
    service_time_ms: Range = (80.0, 140.0)  # of a mean request on one warm core, brief 5
    service_time_variation: Exponent = 0.3  # coefficient of variation of the work for one unit; assumed
    initial_capacity_share: Share = 0.17  # brief 8.2
    warm_up_ms: PositiveFloat = 18000.0  # brief 8.2
    overload_factor: PositiveFloat = 3.0  # brief 8.2
    overload_window_ms: PositiveFloat = 3000.0  # brief 8.2
    drain_grace_ms: NonNegativeFloat = 250.0  # brief 8.1
    drain_period_ms: NonNegativeFloat = 4000.0  # from draining to gone; BENCH shrink: 2 to 6 s
    startup_ms: Range = (1000.0, 3000.0)  # from the order to the first request; assumed
    error_share: Share = 0.0  # not simulated; files of before may hold it
    connect_timeout_ms: PositiveFloat = 250.0  # WIRE settings
    idle_timeout_ms: PositiveFloat = 15000.0  # a connection idle for this long is closed, WIRE settings
    cancels_running_work: bool = False  # whether cancelled work that runs stops; both occur, brief 3.2


class CounterConfig(Table, frozen=True):
    """The shared counter."""

    enabled: bool = True
    machines: SmallInt = 1  # keys are spread over those of a region
    partitions: SmallInt = 2  # of a machine; BENCH counter_parts: 1 to 3
    calls_per_s: Range = (550.0, 740.0)  # of a machine, brief 7.6
    processing_ms: Range = (0.66, 1.6)  # beside the network, brief 7.6
    timeout_ms: PositiveFloat = 80.0  # brief 7.6
    queue_limit_timeouts: Range = (
        0.4,
        3.0,
    )  # queue, in time-outs, beyond which it says BUSY; BENCH counter_queue
    loss_share: Share = 0.0  # of the calls


class DiscoveryConfig(Table, frozen=True):
    """The service that knows the endpoint list. Its costs are assumed: no page gives them."""

    propagation_ms: Range = (500.0, 3000.0)  # until it learns of a change; "seconds late", brief 7.1
    call_cost_ms: NonNegativeFloat = 0.2  # work of the service for a call ...
    endpoint_cost_ms: NonNegativeFloat = 0.01  # ... and for each endpoint that it sends
    max_queue_ms: PositiveFloat = 2000.0  # it answers 503 to calls that would wait longer
    history_limit: PositiveInt = 1000  # changes kept; who is farther behind gets a snapshot
    loss_share: Share = 0.0  # of the answers
    notification_deadline_ms: PositiveFloat = 6000.0  # then a gateway counts as notified, PROTOCOL "Figures"


class NetworkConfig(Table, frozen=True):
    """Delays one way. No page gives figures; those of one site are small."""

    same_zone_ms: NonNegativeFloat = 0.25
    cross_zone_ms: NonNegativeFloat = 0.6
    cross_region_ms: NonNegativeFloat = 35.0
    jitter_share: Exponent = 0.5  # up to this share of the delay on top
    loss_share: Share = 0.0  # of packets, which TCP sends again ...
    retransmit_ms: NonNegativeFloat = 200.0  # ... after this


class PlanConfig(Table, frozen=True):
    """A plan. All rates are scaled by one factor, so that `load.quota_utilization` holds."""

    name: str
    usage_share: PositiveFloat  # of the use within quotas
    relative_rate: PositiveFloat  # units a second
    burst_s: PositiveFloat  # seconds of the rate that may be used at once
    price: PositiveFloat
    over_quota_cost: Share = 0.6
    hard_limit_factor: NonNegativeFloat = 0.0  # times the quota; 0: no hard limit


# Brief 4.1 to 4.4, the middle of each range.
DEFAULT_PLANS = (
    PlanConfig(name="basico", usage_share=0.23, relative_rate=1.65, burst_s=4.5, price=0.55),
    PlanConfig(name="estudio", usage_share=0.20, relative_rate=2.2, burst_s=4.15, price=0.8),
    PlanConfig(name="profesional", usage_share=0.31, relative_rate=6.7, burst_s=4.65, price=1.3),
    PlanConfig(
        name="institucional",
        usage_share=0.26,
        relative_rate=16.5,
        burst_s=1.8,
        price=1.4,
        over_quota_cost=0.8,
        hard_limit_factor=2.3,
    ),
)

FaultKind = Literal[
    "zone_isolated",
    "regions_partitioned",
    "rack_lost",
    "servers_hung",
    "servers_crashed",
    "servers_replaced",
    "gateways_restarted",
    "discovery_unavailable",
    "counter_unavailable",
    "counter_cleared",
    "demand_surge",
]


class FaultConfig(Table, frozen=True):
    """Something that goes wrong at a moment, counted from the start of the run."""

    kind: FaultKind
    at_s: NonNegativeFloat
    duration_s: NonNegativeFloat = 0.0  # replacements and restarts are spread over this time
    share: Share = 0.0  # of the servers, gateways or tenants
    count: Annotated[int, Meta(ge=0)] = 0  # the same as a number; takes precedence over the share
    zone: str = ""  # zone_isolated: "z0", "z1" ...
    factor: Annotated[float, Meta(gt=0, le=100)] = (
        3.0  # demand_surge: times the usual load; BENCH tenant_burst 2 to 6
    )
    downtime_ms: Range = (1100.0, 7800.0)  # gateways_restarted: each is away for this long, brief 2.1


class Experiment(Table, frozen=True):
    """All of the file."""

    name: Annotated[str, Meta(min_length=1)]
    duration_s: Annotated[float, Meta(gt=0, le=3600)]  # of simulated time
    fleet: FleetConfig
    load: LoadConfig
    seed: Seed = 1
    clients: ClientConfig = ClientConfig()
    servers: ServerConfig = ServerConfig()
    counter: CounterConfig = CounterConfig()
    discovery: DiscoveryConfig = DiscoveryConfig()
    network: NetworkConfig = NetworkConfig()
    plans: Annotated[tuple[PlanConfig, ...], Meta(min_length=1, max_length=100)] = DEFAULT_PLANS
    faults: Annotated[tuple[FaultConfig, ...], Meta(max_length=1000)] = ()

    @property
    def visible_servers(self) -> int:
        """Servers in the endpoint list of one gateway."""
        return self.fleet.visible_servers or self.fleet.servers

    @property
    def pool_count(self) -> int:
        """Pools of servers, gateways and tenants that do not know of each other."""
        return max(1, round(self.fleet.servers / self.visible_servers))

    @property
    def zone_names(self) -> list[str]:
        """All zones; zone i lies in region i modulo the regions."""
        return [f"z{i}" for i in range(self.fleet.zones)]


def excess_utilization(load: LoadConfig) -> float:
    """Return what heavy tenants and spikes ask for on average, by the sum of all quotas."""
    heavy_factor = sum(load.heavy_factor) / 2.0
    spike_factor = sum(load.spike_factor) / 2.0
    duration_s = sum(load.spike_duration_s) / 2.0
    interval_s = max(sum(load.spike_interval_s) / 2.0, 1e-9)
    return load.heavy_share * heavy_factor + load.spiky_share * spike_factor * duration_s / interval_s
