"""The endpoint index: the servers on the list, and the subset of them that this gateway uses.

With many gateways and servers, each gateway uses a subset: it opens few connections, and meets each server of
the subset often enough to learn how it does. Requests, changes of the list and ticks look at the subset, a
sample of the remaining endpoints and what has changed; their cost does not grow with the list.
"""

import heapq
import math
import random

from quota_gateway.policy.hash_ring import HashRing
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from quota_gateway.policy_state.servers import Server, WarmingServer
from quota_gateway.settings import Settings, SlowStartSettings

SUBSET_SIZE = 20  # servers that a gateway uses; smaller fleets are used whole
SAMPLE_SIZE = 4  # servers drawn at random: the best of a few is nearly as good as the best of all
GOLDEN_RATIO_CONJUGATE = 0.5 * (math.sqrt(5.0) - 1.0)

GroupKey = str | tuple[str, int] | None  # the servers of a zone, of a cell of a zone, or all


def group_keys(endpoint: Endpoint) -> tuple[GroupKey, ...]:
    """Return the keys of all groups that a server belongs to."""
    return None, endpoint.zone, (endpoint.zone, endpoint.cell)


class SampledSet:
    """A set of servers that can be sampled at a cost that does not grow with the set."""

    def __init__(self) -> None:
        self.members: list[Server] = []
        self.indexes: dict[str, int] = {}  # of each server id in `members`

    def add(self, server: Server) -> None:
        """Add a server, in place of another process with its id if there is one."""
        index = self.indexes.setdefault(server.endpoint.server_id, len(self.members))
        if index == len(self.members):
            self.members.append(server)
        self.members[index] = server

    def discard(self, server_id: str) -> None:
        """Remove a server, if it is a member; the last member gets its place."""
        if (index := self.indexes.pop(server_id, None)) is None:
            return
        last = self.members.pop()
        if index < len(self.members):
            self.members[index] = last
            self.indexes[last.endpoint.server_id] = index


class RemainingEndpoints:
    """Warm servers outside the subset, in groups: some retries are bound to a zone or a cell."""

    def __init__(self, rules: SlowStartSettings) -> None:
        self.groups: dict[GroupKey, SampledSet] = {}
        self._rules = rules
        self._warming: list[WarmingServer] = []  # a heap

    def add(self, now_ms: float, server: Server) -> None:
        """Add a server, at once or as soon as it is warm."""
        endpoint = server.endpoint
        warm_at_ms = endpoint.started_ms + max(1.0, self._rules.warm_up_ms)
        warming = endpoint.started_ms > 0 and self._rules.initial_capacity_share < 1.0
        if warming and warm_at_ms > now_ms:
            heapq.heappush(self._warming, WarmingServer(warm_at_ms, endpoint.server_id, endpoint.started_ms))
            return
        for key in group_keys(endpoint):
            self.groups.setdefault(key, SampledSet()).add(server)

    def discard(self, endpoint: Endpoint) -> None:
        """Remove a server from every group; `endpoint` is the entry that it was added with."""
        for key in group_keys(endpoint):
            if group := self.groups.get(key):
                group.discard(endpoint.server_id)
                if not group.members:
                    del self.groups[key]

    def add_warmed(self, now_ms: float, servers: dict[str, Server]) -> None:
        """Add the servers that have become warm, unless they left, restarted or joined the subset."""
        while self._warming and self._warming[0].warm_at_ms <= now_ms:
            _, server_id, started_ms = heapq.heappop(self._warming)
            server = servers.get(server_id)
            if server is not None and not server.in_subset and server.endpoint.started_ms == started_ms:
                self.add(now_ms, server)

    def sample(self, rng: random.Random, key: GroupKey) -> list[Server]:
        """Return a few servers of a group at random, or all of them where there are no more."""
        members = self.groups[key].members if key in self.groups else []
        return rng.sample(members, SAMPLE_SIZE) if len(members) > SAMPLE_SIZE else members


class EndpointIndex:
    """Follows the endpoint list. Draining and gone servers are removed at once and get no new attempt."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[str, Server] = {}  # by id
        self.subset: dict[str, Server] = {}  # by id
        self.remaining = RemainingEndpoints(settings.slow_start)
        self.ring = HashRing()

    def update(self, update: EndpointUpdate, now_ms: float) -> list[Server]:
        """Apply an update of the list; return the records of new processes, in the order of the list."""
        changed: dict[str, None] = {}  # ids that came or went; a dict, as its order is the same in every run
        started: list[Server] = []
        servers, active = self.servers, EndpointState.ACTIVE  # looked up once: lists may be long
        if update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT):
            listed = {endpoint.server_id for endpoint in update.endpoints}
            for server_id in [server_id for server_id in servers if server_id not in listed]:
                self._remove(server_id, changed)
        for endpoint in update.endpoints:
            known = servers.get(endpoint.server_id)
            if endpoint.state is not active:
                self._remove(endpoint.server_id, changed)
            elif known is None or known.endpoint != endpoint:
                started += self._set(now_ms, endpoint, known)
                if known is None:
                    changed[endpoint.server_id] = None
        if changed:
            self.ring.update(changed, servers)
            self.choose_subset(now_ms)
        return started

    def warm_up_factor(self, endpoint: Endpoint, now_ms: float) -> float:
        """Return the least share of its full capacity that a server has by now; 1: it is warm."""
        if endpoint.started_ms <= 0:
            return 1.0
        rules = self.settings.slow_start
        progress = max(0.0, now_ms - endpoint.started_ms) / max(1.0, rules.warm_up_ms)
        return min(1.0, rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * progress)

    def warm_count(self, now_ms: float) -> int:
        """Return how many servers of the subset are warm by now."""
        return sum(self.warm_up_factor(server.endpoint, now_ms) >= 1.0 for server in self.subset.values())

    def choose_subset(self, now_ms: float) -> None:
        """Choose the subset: neighbours on the hash ring, so that a change moves it by one server at most.

        Multiples of the golden ratio spread the gateways' subsets evenly, consecutive ones far apart.
        """
        angle = self.settings.gateway_index * GOLDEN_RATIO_CONJUGATE % 1.0
        chosen = dict.fromkeys(self.ring.successors(angle, SUBSET_SIZE))
        for server_id in [server_id for server_id in self.subset if server_id not in chosen]:
            server = self.subset.pop(server_id)
            server.in_subset = False
            self.remaining.add(now_ms, server)
        if len(self.servers) <= SUBSET_SIZE:  # all of them, in the order of the list
            self.subset = dict(self.servers)
        for server_id in chosen:
            server = self.subset.setdefault(server_id, self.servers[server_id])
            if not server.in_subset:
                server.in_subset = True
                self.remaining.discard(server.endpoint)

    def _set(self, now_ms: float, endpoint: Endpoint, known: Server | None) -> list[Server]:
        """Add a server, or apply the changed entry of a known one; return the record of a new process."""
        if known is None:
            server = Server(endpoint)
        elif known.endpoint.started_ms == endpoint.started_ms:
            server = known
        else:  # it has restarted: what was learned of the process before says nothing of the new one
            server = Server(endpoint, in_flight=known.in_flight, in_subset=known.in_subset)
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
        if (server := self.servers.pop(server_id, None)) is not None:
            changed[server_id] = None
            self.subset.pop(server_id, None)
            self.remaining.discard(server.endpoint)
