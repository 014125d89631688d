"""Limit on a peer's frames and bytes per second."""

from __future__ import annotations

from sandhatch.planning.receive_limit import ReceiveLimit
from sandhatch.planning.session import MAX_FRAME_BYTES


def test_frames_and_bytes_are_limited_and_any_single_frame_fits() -> None:
    limit = ReceiveLimit(10.0, 1_000.0, 2.0, 0.0)
    assert all(limit.take(10, 0.0) for _ in range(20))
    assert not limit.take(10, 0.0)
    assert limit.take(10, 300.0)
    wide = ReceiveLimit(10.0, 1_000.0, 2.0, 0.0)
    assert wide.take(MAX_FRAME_BYTES, 0.0)
    assert not wide.take(1_000, 0.0)
