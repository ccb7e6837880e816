"""The endpoint list of one pool and the history of its changes."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_gateway.lab.simulation.wire_sizes import endpoint_bytes
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind


@dataclass(slots=True)
class EndpointHistory:
    """An endpoint list in all its versions. Version 0 is the initial list; each change adds a version.

    Attributes:
        current: the endpoints of the current version, by server.
    """

    current: dict[str, Endpoint] = field(default_factory=dict)
    _initial: dict[str, Endpoint] = field(default_factory=dict)
    _changes: list[Endpoint] = field(default_factory=list)
    # Size of each server's latest state on the wire.
    _row_bytes: dict[str, int] = field(default_factory=dict)

    @property
    def version(self) -> int:
        """The current version, which equals the number of changes."""
        return len(self._changes)

    def add_initial(self, endpoint: Endpoint) -> None:
        """Add an endpoint to version 0; only valid before the first change."""
        self._initial[endpoint.server_id] = endpoint
        self.current[endpoint.server_id] = endpoint
        self._row_bytes[endpoint.server_id] = endpoint_bytes(endpoint)

    def append(self, endpoint: Endpoint) -> None:
        """Add a version with a changed endpoint."""
        self._changes.append(endpoint)
        self._row_bytes[endpoint.server_id] = endpoint_bytes(endpoint)
        _apply(self.current, endpoint)

    def at_version(self, version: int) -> tuple[Endpoint, ...]:
        """Return the endpoints of a version."""
        endpoints = dict(self._initial)
        for endpoint in self._changes[:version]:
            _apply(endpoints, endpoint)
        return tuple(endpoints.values())

    def update_since(self, version: int | None, history_limit: int) -> EndpointUpdate:
        """Return the update from a version to the current one.

        It is a delta with the latest state of each changed endpoint. If the version is None or more than
        `history_limit` changes behind, it is a snapshot.
        """
        if version is None or len(self._changes) - version > history_limit:
            return EndpointUpdate(UpdateKind.SNAPSHOT, tuple(self.current.values()))
        changed = {endpoint.server_id: endpoint for endpoint in self._changes[version:]}
        return EndpointUpdate(UpdateKind.DELTA, tuple(changed.values()))

    def update_bytes(self, update: EndpointUpdate) -> int:
        """Return the size of an update's endpoints on the wire, bytes."""
        return sum(self._row_bytes[endpoint.server_id] for endpoint in update.endpoints)


def _apply(endpoints: dict[str, Endpoint], change: Endpoint) -> None:
    if change.state is EndpointState.GONE:
        endpoints.pop(change.server_id, None)
    else:
        endpoints[change.server_id] = change
