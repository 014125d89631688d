"""Load reports that are malformed."""

from __future__ import annotations

import pytest

from sandhatch.upstream.load_report import parse_report


@pytest.mark.parametrize(
    "text", [b"", b"7,2", b"TEXT inflight=7", b"TEXT inflight=x, queue=1", b"TEXT inflight=nan, queue=1"]
)
def test_malformed_report_counts_as_absent(text: bytes) -> None:
    """Guards decisions against a part of a report: values in the wrong order make a busy server idle."""
    assert parse_report(text, ("inflight", "queue")) == ()
