"""Limit on the frames and bytes per second that a peer may send: two token buckets.

No I/O, no clock: the caller passes the time of each frame. Source: the bounds of docs/planning-link.md.
"""

from __future__ import annotations

from sandhatch.planning.session import MAX_FRAME_BYTES


class ReceiveLimit:
    """Token buckets for frames and for bytes; a frame of any permitted size fits into a full byte bucket."""

    def __init__(self, frames_per_s: float, bytes_per_s: float, burst_s: float, now_ms: float) -> None:
        """Start with full buckets.

        Args:
            frames_per_s: Rate of frames.
            bytes_per_s: Rate of bytes.
            burst_s: Capacity of both buckets, in seconds of their rates.
            now_ms: Current time.
        """
        self._frames_per_s = frames_per_s
        self._bytes_per_s = bytes_per_s
        self._max_frames = frames_per_s * burst_s
        self._max_bytes = max(bytes_per_s * burst_s, float(MAX_FRAME_BYTES))
        self._frames = self._max_frames
        self._bytes = self._max_bytes
        self._updated_ms = now_ms

    def take(self, frame_bytes: int, now_ms: float) -> bool:
        """Take one frame of this size from the buckets; False if the frame exceeds the limit."""
        elapsed_s = (now_ms - self._updated_ms) / 1000.0
        self._updated_ms = now_ms
        self._frames = min(self._max_frames, self._frames + self._frames_per_s * elapsed_s) - 1.0
        self._bytes = min(self._max_bytes, self._bytes + self._bytes_per_s * elapsed_s) - float(frame_bytes)
        return min(self._frames, self._bytes) >= 0.0
