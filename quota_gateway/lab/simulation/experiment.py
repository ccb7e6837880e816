"""The experiment file: the records that it is decoded into, with their defaults.

A range is [low, high]; values are drawn from it with the seed of the run. The defaults describe the
present deployment. Where they differ from the default, comments give the figures of the capacity target, and
the ranges that the operators' test bench uses ("on the bench"). `experiment_validation` checks an experiment
before it runs, and `experiment_keys` has the former names of the keys.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta

from quota_gateway.lab.toml_config import NonNegativeFloat, PositiveFloat, PositiveInt, Share, Table

SmallFloat = Annotated[float, Meta(ge=0, le=10)]
SmallInt = Annotated[int, Meta(ge=1, le=1000)]
Seed = Annotated[int, Meta(ge=0, le=1 << 62)]
Range = tuple[NonNegativeFloat, NonNegativeFloat]


class FleetConfig(Table, frozen=True):
    """Sizes of the fleet.

    Servers, gateways and tenants are split into `servers / visible_servers` pools that do not know of each
    other.
    """

    gateways: PositiveInt
    servers: PositiveInt
    visible_servers: PositiveInt | None = None  # Servers in the endpoint list of one gateway; None: all.
    regions: SmallInt = 1  # One site today; 6 regions in the capacity target.
    zones: SmallInt = 1  # Zones in all regions together; 23 in the capacity target.


class LoadConfig(Table, frozen=True):
    """Demand of all clients together."""

    requests_per_s: PositiveFloat  # First attempts/s; about 120 today, 210,000 in the capacity target.
    # Share of the tenants, and so of the requests, that is simulated.
    sampled_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    tenants: PositiveInt = 200  # 87,000 in the capacity target.
    # Exponent of the Zipf distribution of demand over the tenants of a plan. With 0.5 about one tenant in
    # twelve is over its quota.
    zipf_exponent: SmallFloat = 0.5
    # Total demand as a share of the sum of all quotas.
    quota_utilization: Annotated[float, Meta(gt=0, le=5)] = 0.5
    max_quota_utilization: PositiveFloat = 8.0  # Limit of one tenant's demand, as a multiple of its quota.
    heavy_share: Share = 0.0  # Share of tenants far over their quota; 0.04 to 0.12 on the bench.
    heavy_factor: Range = (1.6, 5.0)  # Demand of a heavy tenant, as a multiple of its quota.
    spiky_share: Share = 0.0  # Share of tenants with spikes of demand; 0.1 to 0.25 on the bench.
    spike_factor: Range = (2.0, 8.0)  # Demand during a spike, as a multiple of the tenant's quota.
    spike_duration_s: Range = (0.5, 5.0)
    spike_interval_s: Range = (10.0, 25.0)  # Time between the starts of two spikes of a tenant.
    gateways_per_tenant: tuple[SmallInt, SmallInt] = (2, 4)
    # Zipf exponent of a tenant's weights for its gateways; 0.3 to 1.5 on the bench.
    gateway_weight_exponent: SmallFloat = 1.0
    # Interval at which a tenant's weights are rotated among its gateways.
    gateway_weight_shift_s: Range = (7.1, 21.0)
    max_units: SmallInt = 8  # Largest number of units of one request.


class ClientConfig(Table, frozen=True):
    """Timeouts, retries and disconnects of clients."""

    max_retries: Annotated[int, Meta(ge=0, le=20)] = 3  # Largest number of retries of one request.
    retry_after_share: Share = 0.7  # Share of retries that honour a retry-after; only some clients do.
    backoff_ms: Range = (0.0, 400.0)  # Wait before all other retries; 0 means an immediate retry.
    # Objective for the time from the first attempt to the answer; a later answer earns no revenue.
    latency_objective_ms: PositiveFloat = 1000.0
    deadline_ms: PositiveFloat = 2500.0  # Deadline of a request including all its retries.
    timeout_share: tuple[Share, Share] = (0.5, 1.0)  # Timeout of one attempt, as a share of `deadline_ms`.
    disconnect_share: Share = 0.02  # Share of attempts whose client does not wait for the answer.
    disconnect_after_ms: Range = (0.0, 500.0)  # Time after which such a client disconnects if not answered.
    failover_ms: Range = (1200.0, 3200.0)  # Time for which requests still go to a gateway that has died.


class ServerConfig(Table, frozen=True):
    """Properties of the servers, which are all of one kind."""

    cores: SmallInt = 2
    queue_capacity: Annotated[int, Meta(ge=0, le=1_000_000)] = 32  # Queued requests; more are rejected.
    service_time_ms: Range = (80.0, 140.0)  # Mean work of a request on one core of a warm server.
    service_time_variation: SmallFloat = 0.3  # Coefficient of variation of the work per unit.
    initial_capacity_share: Share = 0.17  # Capacity of a server at its start, as a share of a warm server's.
    warm_up_ms: PositiveFloat = 18000.0  # Time from the beginning of the warm-up to full capacity.
    # Calls that a warming server bears in one overload window, as a multiple of what its capacity can serve.
    overload_factor: PositiveFloat = 3.0
    overload_window_ms: PositiveFloat = 3000.0  # Time for which calls to a warming server are counted.
    # Time after the notice of a drain in which gateways may still send attempts to the server.
    drain_grace_ms: NonNegativeFloat = 250.0
    drain_period_ms: NonNegativeFloat = 4000.0  # Time from draining to gone; 2 to 6 s on the bench.
    startup_ms: Range = (1000.0, 3000.0)  # Time until a new process accepts requests and begins its warm-up.
    error_share: Share = 0.0  # Ignored; experiment files of earlier versions may contain it.
    connect_timeout_ms: PositiveFloat = 250.0
    idle_timeout_ms: PositiveFloat = 15000.0  # Connections that are idle for this long are closed.
    # Whether a server stops a running request that is cancelled; servers of both kinds exist.
    cancels_running_work: bool = False


class CounterConfig(Table, frozen=True):
    """The shared counter."""

    enabled: bool = True
    machines: SmallInt = 1  # Machines in all regions; the keys of a region are spread over its machines.
    partitions: SmallInt = 2  # Partitions of one machine; 1 to 3 on the bench.
    calls_per_s: Range = (550.0, 740.0)  # Capacity of one machine.
    processing_ms: Range = (0.66, 1.6)  # Latency of a call besides network delay, queueing and execution.
    timeout_ms: PositiveFloat = 80.0  # Timeout of a call at the gateway.
    # Queueing time, as a multiple of `timeout_ms`, above which a partition answers BUSY.
    queue_limit_timeouts: Range = (0.4, 3.0)
    loss_share: Share = 0.0  # Share of calls that are lost.


class DiscoveryConfig(Table, frozen=True):
    """The discovery service, which publishes the endpoint list."""

    propagation_ms: Range = (500.0, 3000.0)  # Delay until the service learns of a change of a server.
    call_cost_ms: NonNegativeFloat = 0.2  # Work of the service for one call.
    endpoint_cost_ms: NonNegativeFloat = 0.01  # Additional work for each endpoint in the response.
    max_queue_ms: PositiveFloat = 2000.0  # Queueing time above which the service answers 503.
    # Number of changes that a delta can cover; a watch that is further behind gets a snapshot.
    history_limit: PositiveInt = 1000
    loss_share: Share = 0.0  # Share of responses that are lost.
    # Time after which a gateway counts as notified of a change; set by the protocol specification.
    notification_deadline_ms: PositiveFloat = 6000.0


class NetworkConfig(Table, frozen=True):
    """One-way delays of messages. Within one site they are small compared with the service time."""

    same_zone_ms: NonNegativeFloat = 0.25
    cross_zone_ms: NonNegativeFloat = 0.6
    cross_region_ms: NonNegativeFloat = 35.0
    jitter_share: SmallFloat = 0.5  # Largest random addition, as a share of the delay.
    loss_share: Share = 0.0  # Share of packets that are lost and retransmitted by TCP.
    retransmit_ms: NonNegativeFloat = 200.0  # Additional delay of a retransmitted packet.


class PlanConfig(Table, frozen=True):
    """A plan. The rates of all plans are scaled by one factor so that `load.quota_utilization` holds."""

    name: str
    usage_share: PositiveFloat  # Demand of the plan's tenants, relative to that of the other plans.
    relative_rate: PositiveFloat  # Quota of one tenant in units/s, before scaling.
    burst_s: PositiveFloat  # Size of the token bucket, as seconds of the rate.
    price: PositiveFloat  # Revenue per unit.
    over_quota_cost: Share = 0.6  # Cost of a request over the quota, as a share of the request's weight.
    hard_limit_factor: NonNegativeFloat = 0.0  # Hard limit as a multiple of the quota; 0: no hard limit.


# Each figure is the middle of the range that the deployment specification gives for the plan.
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
    """A fault that is injected during the run."""

    kind: FaultKind
    at_s: NonNegativeFloat  # Start of the fault, as time since the start of the run.
    # Duration of the fault; server replacements and gateway restarts are spread over it.
    duration_s: NonNegativeFloat = 0.0
    share: Share = 0.0  # Share of the servers, gateways or tenants that are affected.
    count: Annotated[int, Meta(ge=0)] = 0  # Number of those affected; if not 0, it overrides `share`.
    zone: str = ""  # zone_isolated: name of the zone ("z0", "z1", ...).
    # demand_surge: factor on the tenants' demand; 2 to 6 on the bench.
    factor: Annotated[float, Meta(gt=0, le=100)] = 3.0
    downtime_ms: Range = (1100.0, 7800.0)  # gateways_restarted: time for which each gateway is down.


class Experiment(Table, frozen=True):
    """The content of an experiment file."""

    name: Annotated[str, Meta(min_length=1)]
    duration_s: Annotated[float, Meta(gt=0, le=3600)]  # Simulated time in which clients make requests.
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
        """Number of servers in the endpoint list of one gateway."""
        return self.fleet.visible_servers or self.fleet.servers

    @property
    def pool_count(self) -> int:
        """Number of pools; servers, gateways and tenants of different pools do not know of each other."""
        return max(1, round(self.fleet.servers / self.visible_servers))

    @property
    def zone_names(self) -> list[str]:
        """Names of all zones; zone i lies in region i modulo the number of regions."""
        return [f"z{i}" for i in range(self.fleet.zones)]


def excess_utilization(load: LoadConfig) -> float:
    """Return the mean demand of heavy tenants and of spikes, as a share of the sum of all quotas."""
    heavy_factor = sum(load.heavy_factor) / 2.0
    spike_factor = sum(load.spike_factor) / 2.0
    duration_s = sum(load.spike_duration_s) / 2.0
    interval_s = max(sum(load.spike_interval_s) / 2.0, 1e-9)
    return load.heavy_share * heavy_factor + load.spiky_share * spike_factor * duration_s / interval_s
