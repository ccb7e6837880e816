"""The endpoint list that the host passes to the policy: endpoints and updates of the list."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """The state that discovery reports for a server."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class UpdateKind(Enum):
    """The kind of content of an `EndpointUpdate`."""

    SNAPSHOT = "snapshot"  # all endpoints; a server that is not among them is gone
    DELTA = "delta"  # changed endpoints only
    CACHED_SNAPSHOT = "cached_snapshot"  # a snapshot that was stored before the start and may be stale
    WATCH_FAILED = "watch_failed"  # a watch or a fetch of the list failed; holds no endpoints


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server in the endpoint list."""

    server_id: str
    zone: str
    cell: int = 0  # failure domain within the zone
    weight: float = 1.0  # capacity relative to the other servers
    started_ms: float = 0.0  # Unix time of the last start; 0 means long ago
    state: EndpointState = EndpointState.ACTIVE


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A snapshot of the endpoint list, a delta to it, or the failure of a watch."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


def split_update(
    update: EndpointUpdate, known: Iterable[str], chunk_size: int = 250
) -> Iterator[EndpointUpdate]:
    """Split a snapshot into deltas of at most `chunk_size` endpoints.

    A host with a long endpoint list passes the chunks one by one, with other events in between. Passed in
    this order, they have the same effect as the snapshot; endpoints that are gone or draining come first.
    `known` holds the ids of the endpoints that were listed before. Updates other than a long snapshot are
    yielded unchanged.
    """
    is_snapshot = update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT)
    if not is_snapshot or len(update.endpoints) <= chunk_size:
        yield update
        return
    listed = {endpoint.server_id for endpoint in update.endpoints}
    removed = [
        Endpoint(server_id, "", state=EndpointState.GONE) for server_id in known if server_id not in listed
    ]
    removed += [endpoint for endpoint in update.endpoints if endpoint.state is not EndpointState.ACTIVE]
    active = [endpoint for endpoint in update.endpoints if endpoint.state is EndpointState.ACTIVE]
    for endpoints in (removed, active):
        for start in range(0, len(endpoints), chunk_size):
            yield EndpointUpdate(UpdateKind.DELTA, tuple(endpoints[start : start + chunk_size]))
    if update.kind is UpdateKind.CACHED_SNAPSHOT:
        # Like a cached snapshot, a failed watch makes the policy ask for the changes since.
        yield EndpointUpdate(UpdateKind.WATCH_FAILED)
