"""Stand-ins of the gateway's peers on loopback sockets: servers, the shared counter, discovery.

Written from the published protocol (PROTOCOL, DEPLOY). Each is an asyncio endpoint on a port that the kernel
chooses, with `start`, `stop`, `address` and `faults`; the times in them are real ones.
"""

from quota_gateway.lab.fakes.counter import CounterModel, CounterStandIn
from quota_gateway.lab.fakes.discovery import DiscoveryStandIn, ServerList, ServerRow
from quota_gateway.lab.fakes.faults import Fault, FaultError, FaultKind, Faults
from quota_gateway.lab.fakes.loopback_server import LOOPBACK, Endpoint
from quota_gateway.lab.fakes.servers import Attempt, Ledger, Outcome, ServerModel, ServerStandIn, made_for

__all__ = [
    "LOOPBACK",
    "Attempt",
    "CounterModel",
    "CounterStandIn",
    "DiscoveryStandIn",
    "Endpoint",
    "Fault",
    "FaultError",
    "FaultKind",
    "Faults",
    "Ledger",
    "Outcome",
    "ServerList",
    "ServerModel",
    "ServerRow",
    "ServerStandIn",
    "made_for",
]
