"""Stand-ins of the gateway's peers on loopback sockets: servers, the shared counter, discovery.

Written from the published protocol (PROTOCOL, DEPLOY). Each is an asyncio endpoint on a port that the kernel
chooses, with `start`, `stop`, `address` and `faults`; the times in them are real ones.
"""

from .counter import CounterModel, CounterStandIn
from .discovery import DiscoveryStandIn, ServerList, ServerRow
from .endpoint import LOOPBACK, Endpoint
from .faults import Fault, FaultError, FaultKind, Faults
from .servers import Attempt, Ledger, Outcome, ServerModel, ServerStandIn, made_for

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
