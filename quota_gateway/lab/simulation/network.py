"""Model of the network between zones and regions: delay, loss and partitions."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.simulation.experiment import NetworkConfig
from quota_gateway.lab.simulation.random_streams import random_stream


@dataclass(frozen=True, slots=True)
class Location:
    """The zone and the region of a machine."""

    zone: str
    region: int


class Network:
    """Determines whether a message between two locations arrives, and after which delay.

    TCP retransmits lost packets, so that their message arrives late. Messages across a partition never
    arrive, and the sender gets no error.

    Attributes:
        isolated_zones: zones that cannot exchange messages with any other zone.
        regions_partitioned: whether messages between regions are dropped.
        healed_at: time at which the last isolation of a zone ended, ms, by zone.
    """

    def __init__(self, config: NetworkConfig, seed: int) -> None:
        self.config = config
        self.isolated_zones: set[str] = set()
        self.regions_partitioned = False
        self.healed_at: dict[str, float] = {}
        self._rng = random_stream(seed, "network")

    def heal_zone(self, zone: str, now: float) -> None:
        """End the isolation of a zone at the given time, ms."""
        self.isolated_zones.discard(zone)
        self.healed_at[zone] = now

    def connected(self, source: Location, destination: Location) -> bool:
        """Return whether messages between two locations arrive."""
        same_zone = source.zone == destination.zone
        if not same_zone and (source.zone in self.isolated_zones or destination.zone in self.isolated_zones):
            return False
        return not (self.regions_partitioned and source.region != destination.region)

    def base_delay(self, source: Location, destination: Location) -> float:
        """Return the one-way delay without jitter and loss, ms."""
        if source.region != destination.region:
            return self.config.cross_region_ms
        return self.config.same_zone_ms if source.zone == destination.zone else self.config.cross_zone_ms

    def sample_delay(self, source: Location, destination: Location) -> float | None:
        """Draw the one-way delay of a message, ms; None if the message does not arrive."""
        if not self.connected(source, destination):
            return None
        config = self.config
        delay = self.base_delay(source, destination) * (1.0 + config.jitter_share * self._rng.random())
        if config.loss_share and self._rng.random() < config.loss_share:
            return delay + config.retransmit_ms
        return delay
