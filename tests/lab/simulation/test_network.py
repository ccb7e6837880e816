"""Delays, partitions and losses of the simulated network."""

from __future__ import annotations

from quota_gateway.lab.simulation.experiment import NetworkConfig
from quota_gateway.lab.simulation.network import Network
from tests.lab.simulation.fleets import OTHER_REGION, WITHOUT_JITTER, ZONE_0, ZONE_1


def test_delays_grow_with_distance_and_partitions_stop_messages() -> None:
    network = Network(WITHOUT_JITTER, 1)
    delays = [network.sample_delay(ZONE_0, other) for other in (ZONE_0, ZONE_1, OTHER_REGION)]
    assert delays == [
        WITHOUT_JITTER.same_zone_ms,
        WITHOUT_JITTER.cross_zone_ms,
        WITHOUT_JITTER.cross_region_ms,
    ]
    network.isolated_zones.add("z1")
    pairs = ((ZONE_0, ZONE_0), (ZONE_1, ZONE_1), (ZONE_0, ZONE_1))
    assert [network.connected(*pair) for pair in pairs] == [True, True, False]
    network.regions_partitioned = True
    assert network.sample_delay(ZONE_0, OTHER_REGION) is None
    lossy = Network(NetworkConfig(jitter_share=0.0, loss_share=1.0), 1)
    # TCP retransmits lost packets, which delays their message.
    retransmitted_ms = WITHOUT_JITTER.same_zone_ms + WITHOUT_JITTER.retransmit_ms
    assert lossy.sample_delay(ZONE_0, ZONE_0) == retransmitted_ms
