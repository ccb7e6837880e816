"""The gateway's network code, which carries out the decisions of the policy.

It speaks RESP2 with clients, servers and the shared counter, and HTTP/1.1 with discovery.
"""
