"""Tests the parsing of malformed load reports."""

from __future__ import annotations

import pytest

from sandhatch.upstream.load_report import parse_load_report


@pytest.mark.parametrize(
    "text", [b"", b"7,2", b"TEXT inflight=7", b"TEXT inflight=x, queue=1", b"TEXT inflight=nan, queue=1"]
)
def test_malformed_report_counts_as_absent(text: bytes) -> None:
    """Guards against using part of a report: with misassigned values, a busy server would look idle."""
    assert parse_load_report(text, ("inflight", "queue")) == ()
