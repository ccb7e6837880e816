"""Fakes of the gateway's peers on loopback sockets: servers, the shared counter and discovery.

They are written from the published protocol (PROTOCOL, DEPLOY). Each is an asyncio server on a port that the
kernel chooses, with `start`, `stop`, `address` and a fault injector `faults`; their delays pass in real time.
"""
