"""The contract between the policy and its host: the host passes events and carries out actions.

This package holds only data types and no decisions.
"""
