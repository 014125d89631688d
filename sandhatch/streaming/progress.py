"""How fast one side of a flow moves, as far as it is the side that is waited for.

Time counts only while the other side is ready: a reader that does not read is never held against the writer,
nor the other way round. Pure: the times are handed in. Limits as in Envoy's stream idle timeout and HAProxy's
`timeout client` and `timeout server`, and a least rate as in nginx's and Apache's slow-request guards.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ProgressLimits:
    """`stall_ms`: the longest time without a byte. `floor_bytes_per_s`: the least rate over each whole window
    of `window_ms`; 0 asks for none. Both count waited time only.
    """

    stall_ms: float
    floor_bytes_per_s: float
    window_ms: float


class ProgressMonitor:
    """One side's progress."""

    __slots__ = ("_bytes", "_from_ms", "_limits", "_moved_ms", "_waited_ms")

    def __init__(self, limits: ProgressLimits) -> None:
        self._limits = limits
        self._from_ms: float | None = None  # since when it is waited for and not yet counted
        self._moved_ms = 0.0  # of its last byte, or since when it is waited for
        self._waited_ms = 0.0  # counted of the present window
        self._bytes = 0

    def wait(self, now_ms: float) -> None:
        """From now on it is the one that is waited for."""
        if self._from_ms is None:
            self._from_ms = self._moved_ms = now_ms

    def rest(self, now_ms: float) -> None:
        """Something else is waited for."""
        if self._from_ms is not None:
            self._waited_ms += now_ms - self._from_ms
            self._from_ms = None

    def moved(self, size: int, now_ms: float) -> None:
        self._bytes += size
        self._moved_ms = now_ms

    def too_slow(self, now_ms: float) -> str:
        """Why it may be given up, empty if it may not. To be asked a few times in each window."""
        if self._from_ms is None:
            return ""
        if now_ms - self._moved_ms >= self._limits.stall_ms:
            return f"no byte for {now_ms - self._moved_ms:.0f} ms"
        waited = self._waited_ms + now_ms - self._from_ms
        if waited < self._limits.window_ms:
            return ""
        rate = self._bytes * 1000.0 / waited
        if rate < self._limits.floor_bytes_per_s:
            return f"{rate:.0f} bytes a second over {waited:.0f} ms"
        self._from_ms, self._waited_ms, self._bytes = now_ms, 0.0, 0
        return ""
