"""The endpoint list of one pool, with the changes that led to it."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_gateway.lab.simulation.wire_sizes import endpoint_bytes
from quota_gateway.policy_api.endpoints import Endpoint, EndpointState, EndpointUpdate, UpdateKind


@dataclass(slots=True)
class EndpointHistory:
    """Version 0 is the list at the start; each change makes the next version.

    Attributes:
        current: the list of the present version, by server.
    """

    current: dict[str, Endpoint] = field(default_factory=dict)
    _initial: dict[str, Endpoint] = field(default_factory=dict)
    _changes: list[Endpoint] = field(default_factory=list)
    _row_bytes: dict[str, int] = field(default_factory=dict)  # by server, of its last state

    @property
    def version(self) -> int:
        """The present version: the number of changes."""
        return len(self._changes)

    def add_initial(self, endpoint: Endpoint) -> None:
        """Add an endpoint of version 0."""
        self._initial[endpoint.server_id] = self.current[endpoint.server_id] = endpoint
        self._row_bytes[endpoint.server_id] = endpoint_bytes(endpoint)

    def append(self, endpoint: Endpoint) -> None:
        """Make the next version."""
        self._changes.append(endpoint)
        self._row_bytes[endpoint.server_id] = endpoint_bytes(endpoint)
        _apply(self.current, endpoint)

    def at_version(self, version: int) -> tuple[Endpoint, ...]:
        """Return the list as it was at a version."""
        endpoints = dict(self._initial)
        for endpoint in self._changes[:version]:
            _apply(endpoints, endpoint)
        return tuple(endpoints.values())

    def update_since(self, version: int | None, history_limit: int) -> EndpointUpdate:
        """Return what has changed after a version.

        A delta holds the last state of each changed endpoint. Where the version is None, or further back than
        `history_limit` changes, a snapshot is returned.
        """
        if version is None or len(self._changes) - version > history_limit:
            return EndpointUpdate(UpdateKind.SNAPSHOT, tuple(self.current.values()))
        changed = {endpoint.server_id: endpoint for endpoint in self._changes[version:]}
        return EndpointUpdate(UpdateKind.DELTA, tuple(changed.values()))

    def update_bytes(self, update: EndpointUpdate) -> int:
        """Return the size of an update's endpoints on the wire."""
        return sum(self._row_bytes[endpoint.server_id] for endpoint in update.endpoints)


def _apply(endpoints: dict[str, Endpoint], change: Endpoint) -> None:
    if change.state is EndpointState.GONE:
        endpoints.pop(change.server_id, None)
    else:
        endpoints[change.server_id] = change
