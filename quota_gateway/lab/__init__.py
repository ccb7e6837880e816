"""The lab: a simulator of the fleet, load tests of real gateways with fake peers, and measurements of costs.

The gateway itself imports nothing from this package.
"""
