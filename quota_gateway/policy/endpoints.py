"""The endpoint index: the servers on the list, and the subset of them that this gateway uses.

In a large fleet each gateway uses only a subset of the servers. This keeps the number of connections low, and
the gateway sends enough requests to each server of the subset to learn its latency and failures. Requests,
deltas and ticks look only at the subset, a sample of the remaining endpoints and the changed endpoints, so
their cost hardly grows with the length of the list.
"""

import heapq
import math
import random

from quota_gateway.policy.hash_ring import HashRing
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_state.servers import Server, WarmingServer
from quota_gateway.settings import Settings, SlowStartSettings

# Number of servers in the subset of a gateway. A fleet of at most this many servers is used as a whole.
SUBSET_SIZE = 20
# Number of servers drawn at random from a group: the best of a few random ones is nearly the best of all.
SAMPLE_SIZE = 4
GOLDEN_RATIO_CONJUGATE = 0.5 * (math.sqrt(5.0) - 1.0)

# Key of a group of servers: a zone, a zone with one of its cells, or None for all servers.
GroupKey = str | tuple[str, int] | None


def group_keys(endpoint: Endpoint) -> tuple[GroupKey, ...]:
    """Return the keys of all groups that a server belongs to: all servers, its zone, its cell."""
    return None, endpoint.zone, (endpoint.zone, endpoint.cell)


class SampledSet:
    """A set of servers with random sampling at a cost that does not grow with its size."""

    def __init__(self) -> None:
        self.members: list[Server] = []
        self.indexes: dict[str, int] = {}  # index in `members`, by server id

    def add(self, server: Server) -> None:
        """Add a server; it replaces the record of an earlier process with the same id."""
        index = self.indexes.setdefault(server.endpoint.server_id, len(self.members))
        if index == len(self.members):
            self.members.append(server)
        self.members[index] = server

    def discard(self, server_id: str) -> None:
        """Remove a server if it is a member. The last member moves to its index."""
        if (index := self.indexes.pop(server_id, None)) is None:
            return
        last = self.members.pop()
        if index < len(self.members):
            self.members[index] = last
            self.indexes[last.endpoint.server_id] = index


class RemainingEndpoints:
    """Warm servers outside the subset, grouped by zone and cell, since some retries are bound to a group."""

    def __init__(self, rules: SlowStartSettings) -> None:
        self.groups: dict[GroupKey, SampledSet] = {}
        self._rules = rules
        self._warming: list[WarmingServer] = []  # a heap; the server that becomes warm first comes first

    def add(self, now_ms: float, server: Server) -> None:
        """Add a server if it is warm; otherwise schedule it for `add_warmed`."""
        endpoint = server.endpoint
        warm_at_ms = endpoint.started_ms + max(1.0, self._rules.warm_up_ms)
        has_slow_start = endpoint.started_ms > 0 and self._rules.initial_capacity_share < 1.0
        if has_slow_start and warm_at_ms > now_ms:
            heapq.heappush(self._warming, WarmingServer(warm_at_ms, endpoint.server_id, endpoint.started_ms))
            return
        for key in group_keys(endpoint):
            self.groups.setdefault(key, SampledSet()).add(server)

    def discard(self, endpoint: Endpoint) -> None:
        """Remove a server from its groups. `endpoint` must be the list entry with which it was added."""
        for key in group_keys(endpoint):
            if group := self.groups.get(key):
                group.discard(endpoint.server_id)
                if not group.members:
                    del self.groups[key]

    def add_warmed(self, now_ms: float, servers: dict[str, Server]) -> None:
        """Add scheduled servers that are warm by now, unless they left, restarted or joined the subset."""
        while self._warming and self._warming[0].warm_at_ms <= now_ms:
            _, server_id, started_ms = heapq.heappop(self._warming)
            server = servers.get(server_id)
            if server is not None and not server.in_subset and server.endpoint.started_ms == started_ms:
                self.add(now_ms, server)

    def sample(self, rng: random.Random, key: GroupKey) -> list[Server]:
        """Return up to `SAMPLE_SIZE` servers of a group, drawn at random if the group has more."""
        members = self.groups[key].members if key in self.groups else []
        return rng.sample(members, SAMPLE_SIZE) if len(members) > SAMPLE_SIZE else members


class EndpointIndex:
    """Index of the listed servers. Draining and gone servers are removed at once and get no new attempt."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[str, Server] = {}  # all listed servers, by id
        self.subset: dict[str, Server] = {}  # the servers that this gateway uses, by id
        self.remaining = RemainingEndpoints(settings.slow_start)
        self.ring = HashRing()

    def update(self, update: EndpointUpdate, now_ms: float) -> list[Server]:
        """Apply an update of the list; return the records of new processes, in the order of the list."""
        # Ids that were added or removed. Unlike a set, a dict has the same order in every run.
        changed: dict[str, None] = {}
        started: list[Server] = []
        # Local variables avoid repeated attribute lookups: the list may be long.
        servers = self.servers
        active = EndpointState.ACTIVE
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            listed = {endpoint.server_id for endpoint in update.endpoints}
            for server_id in [server_id for server_id in servers if server_id not in listed]:
                self._remove(server_id, changed)
        for endpoint in update.endpoints:
            known = servers.get(endpoint.server_id)
            if endpoint.state is not active:
                self._remove(endpoint.server_id, changed)
            elif known is None or known.endpoint != endpoint:
                started += self._add_or_replace(now_ms, endpoint, known)
                if known is None:
                    changed[endpoint.server_id] = None
        if changed:
            self.ring.update(changed, servers)
            self.choose_subset(now_ms)
        return started

    def warm_up_factor(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return the minimum share of its full capacity that a server has by now; 1 means that it is warm."""
        if endpoint.started_ms <= 0:
            return 1.0
        rules = self.settings.slow_start
        progress = max(0.0, now_ms - endpoint.started_ms) / max(1.0, rules.warm_up_ms)
        return min(1.0, rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * progress)

    def warm_count(self, now_ms: float) -> int:
        """Return the number of servers in the subset that are warm by now."""
        return sum(self.warm_up_factor(server.endpoint, now_ms) >= 1.0 for server in self.subset.values())

    def choose_subset(self, now_ms: float) -> None:
        """Choose the subset: consecutive servers on the hash ring, beginning at an angle of this gateway.

        Adding or removing a server therefore replaces at most one server of a subset. The angles are
        multiples of the golden ratio, which spreads the subsets evenly and puts those of consecutive gateways
        far apart.
        """
        angle = self.settings.gateway_index * GOLDEN_RATIO_CONJUGATE % 1.0
        chosen = dict.fromkeys(self.ring.successors(angle, SUBSET_SIZE))
        for server_id in [server_id for server_id in self.subset if server_id not in chosen]:
            server = self.subset.pop(server_id)
            server.in_subset = False
            self.remaining.add(now_ms, server)
        if len(self.servers) <= SUBSET_SIZE:
            # The subset holds all servers, in the order of the list.
            self.subset = dict(self.servers)
        for server_id in chosen:
            server = self.subset.setdefault(server_id, self.servers[server_id])
            if not server.in_subset:
                server.in_subset = True
                self.remaining.discard(server.endpoint)

    def _add_or_replace(self, now_ms: float, endpoint: Endpoint, known: Server | None) -> list[Server]:
        """Add a server, or apply the changed list entry of a known one.

        Returns a list with the record of a newly started process, or an empty list.
        """
        if known is None:
            server = Server(endpoint)
        elif known.endpoint.started_ms == endpoint.started_ms:
            server = known
        else:  # the server has restarted: statistics of the earlier process don't hold for the new one
            server = Server(endpoint, in_subset=known.in_subset)
        if known is not None and not known.in_subset:
            self.remaining.discard(known.endpoint)
        server.endpoint = endpoint
        self.servers[endpoint.server_id] = server
        if server.in_subset:
            self.subset[endpoint.server_id] = server
        else:
            self.remaining.add(now_ms, server)
        return [server] if server is not known else []

    def _remove(self, server_id: str, changed: dict[str, None]) -> None:
        """Remove a server, if it is listed, and add its id to `changed`."""
        if (server := self.servers.pop(server_id, None)) is not None:
            changed[server_id] = None
            self.subset.pop(server_id, None)
            self.remaining.discard(server.endpoint)
