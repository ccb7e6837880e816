"""Zones and regions: delay, loss and cuts."""

from __future__ import annotations

from dataclasses import dataclass

from quota_gateway.lab.simulation.experiment import Network as Figures
from quota_gateway.lab.simulation.scheduler import stream


@dataclass(frozen=True, slots=True)
class Place:
    """Where a machine stands."""

    zone: str
    region: int


class Network:
    """How long a message takes from place to place; None where nothing gets through.

    A lost packet is sent again by TCP and so comes late, it does not vanish; what a cut swallows does
    (PROTOCOL, "The network": a cut machine says nothing).
    """

    def __init__(self, figures: Figures, seed: int) -> None:
        self.figures = figures
        self.rng = stream(seed, "network")
        self.cut: set[str] = set()  # zones cut off from all others
        self.apart = False  # regions have lost each other
        self.healed: dict[str, float] = {}  # when the last cut of a zone ended

    def heal(self, zone: str, now: float) -> None:
        """A cut is over."""
        self.cut.discard(zone)
        self.healed[zone] = now

    def joined(self, one: Place, other: Place) -> bool:
        """Whether messages get through between two places."""
        if one.zone != other.zone and (one.zone in self.cut or other.zone in self.cut):
            return False
        return not (self.apart and one.region != other.region)

    def steady(self, one: Place, other: Place) -> float:
        """The delay without chance, one way, ms."""
        f = self.figures
        if one.region != other.region:
            return f.region_ms
        return f.zone_ms if one.zone == other.zone else f.cross_zone_ms

    def delay(self, one: Place, other: Place) -> float | None:
        """The delay of one message, one way, ms."""
        if not self.joined(one, other):
            return None
        f = self.figures
        took = self.steady(one, other) * (1.0 + f.jitter * self.rng.random())
        return took + f.resend_ms if f.loss and self.rng.random() < f.loss else took
