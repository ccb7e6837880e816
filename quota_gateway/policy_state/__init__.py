"""Records of the policy's state, which compare by identity.

They hold no decision: the modules of `quota_gateway.policy` alone read and change them.
"""
