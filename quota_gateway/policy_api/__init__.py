"""The contract between the policy and its host: the host passes events and carries out actions.

This package holds data types, and a function that splits long endpoint lists. It holds no decisions.
"""
