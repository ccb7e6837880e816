"""Records of the policy's state. Dataclasses are compared by identity, named tuples by value.

This package holds no decisions; only the modules of `quota_gateway.policy` read and change the records.
"""
