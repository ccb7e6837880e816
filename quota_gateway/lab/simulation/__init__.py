"""Discrete-event simulation of a whole fleet: the real policy between models of all other parties.

Modelled are servers (`servers`), the counter (`counter`), discovery and the watches on it (`discovery`,
`endpoint_watch`), zones and regions (`network`), tenants and their true quotas (`tenants`,
`quota_accounting`), arrivals, the load balancer in front and clients' retries (`arrivals`, `clients`),
gateways' processes, attempts and time-outs as the network code has them (`gateways`, `server_attempts`,
`counter_calls`), and faults (`fault_injection`). Simulated figures are the same for the same seed on any
machine; processor time is measured around the calls of the policy.

Not modelled, so not to be concluded from: a gateway's own core, whose queue would add to the decision time
(its measured time stands beside the simulated wait); limits on connections, sockets and memory; malformed
answers; a counter or discovery that moves to another zone; streams, keyed and non-idempotent classes, caps on
attempts in flight.

A fleet is split into pools of servers, gateways and tenants that do not know of each other, as a gateway of
the fleet ahead knows the servers of some services and not of all. The counter of a region and discovery are
shared by the pools.
"""
