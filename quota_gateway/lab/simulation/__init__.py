"""Discrete events in simulated time: models of all parties round hollow gateways that run the real module.

Modelled: servers (`servers`), the counter (`counter`), discovery and the watches on it (`discovery`), zones
and regions (`network`), tenants, their true quotas, the front and clients' retries (`clients`), gateways'
lives, attempts and time-outs as the network code has them (`gateways`), and faults (`faults`). Simulated
figures are the same for the same seed on any machine; processor time is measured round the module's calls.

Not modelled, so not to be concluded from: a gateway's own core, whose queue would add to the decision time
(its measured time is told beside the simulated wait); limits on connections, sockets and memory; spoilt
answers; a counter or discovery that moves to another zone; streams, keyed and unsafe classes, caps on open
attempts.

A fleet is split into pools of servers, gateways and tenants that do not know of each other, as a gateway of
the fleet ahead is told of some services' servers and not of all. What is one for all, the counter of a region
and discovery, is shared by the pools.
"""
