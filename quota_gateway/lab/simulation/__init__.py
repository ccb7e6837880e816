"""Discrete-event simulation of a whole fleet: the real policy between models of all other components.

The models cover servers (`servers`), the shared counter (`counter`), discovery and the watches on it
(`discovery`, `endpoint_watch`), zones and regions (`network`), tenants and their true quotas (`tenants`,
`quota_accounting`), arrivals, the load balancer and the clients' retries (`arrivals`, `clients`), the
gateways' processes with the same attempts and timeouts as the network code (`gateways`, `server_attempts`,
`counter_calls`), and faults (`fault_injection`). Simulated figures depend only on the experiment and the
seed. Processor time is measured around the calls of the policy, and depends on the machine.

The simulation does not model the following, so its results say nothing about them:

- queueing for a gateway's processor, which would add to the decision time (the measured processor time is
  reported beside the simulated wait);
- limits on connections, sockets and memory;
- malformed responses;
- a failover of the counter or of discovery to another zone;
- streams, keyed and non-idempotent request classes, and limits on attempts in flight.

A fleet is split into pools of servers, gateways and tenants that do not know of each other, as a gateway of
a large fleet knows only the servers of some services. The pools share discovery and the counter of their
region.
"""
