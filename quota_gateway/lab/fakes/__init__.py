"""Fakes of the gateway's peers on loopback sockets: servers, the shared counter and discovery.

The fakes follow the protocol and deployment specifications. Each fake is an asyncio server on a port that
the kernel chooses, with `start`, `stop`, `address` and a fault injector `faults`. Delays are in real time.
"""
