"""The lab: a simulator of the fleet, and tests of real gateways with fake peers.

The gateway itself imports none of it.
"""
