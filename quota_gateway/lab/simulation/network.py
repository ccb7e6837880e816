"""The network between zones and regions: delay, loss and partitions."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.simulation.experiment import NetworkConfig
from quota_gateway.lab.simulation.random_streams import random_stream


@dataclass(frozen=True, slots=True)
class Location:
    """Where a machine stands."""

    zone: str
    region: int


class Network:
    """How long a message takes between two locations, and whether it arrives.

    A lost packet is retransmitted by TCP and so comes late, it does not vanish; what is sent into a partition
    does (PROTOCOL, "The network": a cut machine says nothing).

    Attributes:
        isolated_zones: zones cut off from all others.
        regions_partitioned: whether the regions have lost each other.
        healed_at: when the last isolation of a zone ended, ms.
    """

    def __init__(self, config: NetworkConfig, seed: int) -> None:
        self.config = config
        self.isolated_zones: set[str] = set()
        self.regions_partitioned = False
        self.healed_at: dict[str, float] = {}
        self._rng = random_stream(seed, "network")

    def heal_zone(self, zone: str, now: float) -> None:
        """End the isolation of a zone."""
        self.isolated_zones.discard(zone)
        self.healed_at[zone] = now

    def connected(self, one: Location, other: Location) -> bool:
        """Return whether messages get through between two locations."""
        if one.zone != other.zone and (one.zone in self.isolated_zones or other.zone in self.isolated_zones):
            return False
        return not (self.regions_partitioned and one.region != other.region)

    def base_delay(self, one: Location, other: Location) -> float:
        """Return the delay one way without jitter and loss, ms."""
        if one.region != other.region:
            return self.config.cross_region_ms
        return self.config.same_zone_ms if one.zone == other.zone else self.config.cross_zone_ms

    def sample_delay(self, one: Location, other: Location) -> float | None:
        """Draw the delay of one message one way, ms; None where it does not get through."""
        if not self.connected(one, other):
            return None
        config = self.config
        delay = self.base_delay(one, other) * (1.0 + config.jitter_share * self._rng.random())
        if config.loss_share and self._rng.random() < config.loss_share:
            return delay + config.retransmit_ms
        return delay
