"""The endpoint list of the fake discovery, with the changes of its last versions.

From PROTOCOL, "Discovery". The structs are encoded as they are: their fields are those of the wire.
"""

from __future__ import annotations

from enum import Enum

import msgspec

HISTORY_VERSIONS = 1000  # versions for which changes are kept


class ListedState(Enum):
    """The state of a listed server; the values are those of the wire."""

    READY = "Ready"
    DRAINING = "Terminating"
    GONE = "Gone"  # in deltas only


class ListedServer(msgspec.Struct, frozen=True):
    """One server in the endpoint list."""

    id: str
    addr: str  # host:port
    zone: str = "a"
    kind: str = "std-2c"
    cell: int = 0
    state: ListedState = ListedState.READY
    weight: float = 1.0
    started_ms: float = 0.0  # Unix time; 0: long ago


class EndpointList(msgspec.Struct, frozen=True):
    """A snapshot of the list, or a delta to the version that a caller named."""

    version: int
    full: bool  # a snapshot
    servers: list[ListedServer]


class EndpointHistory:
    """The endpoint list. Each change makes a version."""

    def __init__(self) -> None:
        self.version = 1
        self._servers: dict[str, tuple[int, ListedServer]] = {}  # with the version of the last change
        self._oldest_version = 0  # since which all changes are known

    def put(self, server: ListedServer) -> None:
        """Add a server or replace its entry."""
        self.version += 1
        self._servers[server.id] = (self.version, server)
        self._drop_old_changes()

    def set_state(self, server_id: str, state: ListedState) -> None:
        """Change the state of a server. Raises KeyError if it is not listed."""
        _, server = self._servers[server_id]
        self.put(msgspec.structs.replace(server, state=state))

    def snapshot(self) -> EndpointList:
        """Return the list of all servers that are not gone."""
        listed = [server for _, server in self._servers.values() if server.state is not ListedState.GONE]
        return EndpointList(self.version, True, listed)

    def changes_since(self, version: int) -> EndpointList:
        """Return a delta to a version; a snapshot where its changes are not known."""
        if not self._oldest_version <= version <= self.version:
            return self.snapshot()
        changed = [server for changed_in, server in self._servers.values() if changed_in > version]
        return EndpointList(self.version, False, changed)

    def _drop_old_changes(self) -> None:
        """Drop servers that are gone for a long time; a caller with an older version gets a snapshot."""
        self._oldest_version = max(self._oldest_version, self.version - HISTORY_VERSIONS)
        dropped = [
            server_id
            for server_id, (changed_in, server) in self._servers.items()
            if server.state is ListedState.GONE and changed_in <= self._oldest_version
        ]
        for server_id in dropped:
            del self._servers[server_id]
