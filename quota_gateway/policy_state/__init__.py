"""Records of the policy's state. Records are compared by identity.

This package holds no decisions; only the modules of `quota_gateway.policy` read and change the records.
"""
