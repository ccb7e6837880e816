"""The endpoint list of the fake discovery, with the changes of its last versions.

The structs follow the protocol specification of discovery; their field names are the keys on the wire.
"""

from __future__ import annotations

from enum import Enum

import msgspec

HISTORY_VERSIONS = 1000  # number of versions whose changes are kept


class ListedState(Enum):
    """The state of a listed server; the values are those of the wire."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"  # occurs only in deltas


class ListedServer(msgspec.Struct, frozen=True):
    """One server in the endpoint list."""

    id: str
    addr: str  # host:port
    zone: str = "a"
    kind: str = "std-2c"
    cell: int = 0
    state: ListedState = ListedState.READY
    weight: float = 1.0
    started_ms: float = 0.0  # Unix time of the server's start; 0 means long ago


class EndpointList(msgspec.Struct, frozen=True):
    """A snapshot of the list, or a delta since the version that a caller knows."""

    version: int
    full: bool  # True for a snapshot, False for a delta
    servers: list[ListedServer]


class EndpointHistory:
    """The endpoint list. Each change increments its version."""

    def __init__(self) -> None:
        self.version = 1
        self._servers: dict[str, tuple[int, ListedServer]] = {}  # id to version of last change and entry
        self._oldest_version = 0  # oldest version since which all changes are known

    def put(self, server: ListedServer) -> None:
        """Add a server or replace its entry."""
        self.version += 1
        self._servers[server.id] = (self.version, server)
        self._drop_old_changes()

    def set_state(self, server_id: str, state: ListedState) -> None:
        """Change the state of a server. Raises KeyError if the server is not listed."""
        _, server = self._servers[server_id]
        self.put(msgspec.structs.replace(server, state=state))

    def snapshot(self) -> EndpointList:
        """Return the list of all servers that are not gone."""
        listed = [server for _, server in self._servers.values() if server.state is not ListedState.GONE]
        return EndpointList(self.version, True, listed)

    def changes_since(self, version: int) -> EndpointList:
        """Return the delta since a version, or a snapshot if the changes since then are not known."""
        if not self._oldest_version <= version <= self.version:
            return self.snapshot()
        changed = [server for changed_in, server in self._servers.values() if changed_in > version]
        return EndpointList(self.version, False, changed)

    def _drop_old_changes(self) -> None:
        """Drop servers that have been gone for `HISTORY_VERSIONS` versions.

        A caller that knows only an older version gets a snapshot instead of a delta.
        """
        self._oldest_version = max(self._oldest_version, self.version - HISTORY_VERSIONS)
        dropped = [
            server_id
            for server_id, (changed_in, server) in self._servers.items()
            if server.state is ListedState.GONE and changed_in <= self._oldest_version
        ]
        for server_id in dropped:
            del self._servers[server_id]
