"""The endpoint list as the policy is given it: endpoints, and updates to the list."""

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
    """What an `EndpointUpdate` holds."""

    SNAPSHOT = "snapshot"  # every endpoint; absent ones are gone
    DELTA = "delta"  # changed endpoints only
    CACHED_SNAPSHOT = "cached_snapshot"  # a snapshot from before the start, possibly stale
    WATCH_FAILED = "watch_failed"  # a watch or a fetch failed; no endpoints


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One server in the endpoint list."""

    server_id: str
    zone: str
    cell: int = 0  # failure domain inside the zone
    weight: float = 1.0  # size relative to the other servers
    started_ms: float = 0.0  # Unix time of its last start; 0: long ago
    state: EndpointState = EndpointState.ACTIVE


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """A snapshot of the endpoint list or a delta to it."""

    kind: UpdateKind
    endpoints: tuple[Endpoint, ...] = ()


def split_update(
    update: EndpointUpdate, known: Iterable[str], chunk_size: int = 250
) -> Iterator[EndpointUpdate]:
    """Split a snapshot into deltas of at most `chunk_size` endpoints.

    A host with a long endpoint list hands the chunks over one by one, with other events in between; in this
    order they amount to the snapshot. `known` holds the ids of the endpoints listed before; endpoints that
    are gone or draining come first. Any update but a long snapshot is yielded unchanged.
    """
    snapshot = update.kind in (UpdateKind.SNAPSHOT, UpdateKind.CACHED_SNAPSHOT)
    if not snapshot or len(update.endpoints) <= chunk_size:
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
        yield EndpointUpdate(
            UpdateKind.WATCH_FAILED
        )  # asks for what changed since, as a cached snapshot does
