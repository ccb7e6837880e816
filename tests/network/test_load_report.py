"""Parsing of the load reports that servers attach to responses."""

from __future__ import annotations

from quota_gateway.network.load_report import LoadReport, parse_load_report


def test_load_reports_are_read_by_name() -> None:
    assert parse_load_report(b"inflight=7,queue=2,util=0.61") == LoadReport(2.0, 7.0)
    assert parse_load_report(b"waiting=1,active=4") == LoadReport(1.0, 4.0)
    assert parse_load_report(b"queue=x,inflight,=,active=3") == LoadReport(None, 3.0)
    assert parse_load_report(None) == LoadReport(None, None)
