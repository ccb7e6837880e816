"""The endpoint list of the fake discovery: the changes that it keeps."""

from __future__ import annotations

import pytest

from quota_gateway.lab.fakes.endpoint_history import EndpointHistory, ListedServer, ListedState


def test_servers_gone_for_many_versions_are_dropped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("quota_gateway.lab.fakes.endpoint_history.HISTORY_VERSIONS", 3)
    history = EndpointHistory()
    for number in range(10):
        history.put(ListedServer(f"s{number}", "127.0.0.1:1"))
        history.set_state(f"s{number}", ListedState.GONE)
    assert len(history._servers) <= 3
    assert history.changes_since(2).full
    assert not history.changes_since(history.version - 1).full
