"""How fast one side of a flow moves while it is the side that is waited for.

Time counts only while the other side is ready: a reader that does not read is never held against the writer,
nor the other way round. No clock: the times are handed in. Source: Envoy's stream idle timeout and HAProxy's
`timeout client` and `timeout server` for stalls; the slow-request guards of nginx and Apache for the rate.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ProgressLimits:
    """What one side must achieve. Only time during which it is waited for counts.

    Attributes:
        stall_ms: Longest time without a byte.
        floor_bytes_per_s: Least rate over each complete window; 0 for none.
        window_ms: Length of a window.
    """

    stall_ms: float
    floor_bytes_per_s: float
    window_ms: float


class ProgressMonitor:
    """Measures one side's progress against its limits."""

    __slots__ = ("_last_byte_ms", "_limits", "_waited_ms", "_waiting_since_ms", "_window_bytes")

    def __init__(self, limits: ProgressLimits) -> None:
        """Make a monitor of a side that is not waited for yet."""
        self._limits = limits
        self._waiting_since_ms: float | None = None  # what came before is in `_waited_ms`
        self._last_byte_ms = 0.0  # or since when it is waited for, if that is later
        self._waited_ms = 0.0  # in the present window
        self._window_bytes = 0

    def start_waiting(self, now_ms: float) -> None:
        """Start to count time: this side is the one that is waited for."""
        if self._waiting_since_ms is None:
            self._waiting_since_ms = self._last_byte_ms = now_ms

    def stop_waiting(self, now_ms: float) -> None:
        """Stop counting time: something else is waited for."""
        if self._waiting_since_ms is not None:
            self._waited_ms += now_ms - self._waiting_since_ms
            self._waiting_since_ms = None

    def record_bytes(self, size: int, now_ms: float) -> None:
        """Count bytes that this side has moved."""
        self._window_bytes += size
        self._last_byte_ms = now_ms

    def violation(self, now_ms: float) -> str | None:
        """Returns which limit is violated, for the log; None if none is.

        Ends a window that is complete; to be called several times in the length of a window.
        """
        if self._waiting_since_ms is None:
            return None
        stalled_ms = now_ms - self._last_byte_ms
        if stalled_ms >= self._limits.stall_ms:
            return f"no byte for {stalled_ms:.0f} ms"
        waited_ms = self._waited_ms + now_ms - self._waiting_since_ms
        if waited_ms < self._limits.window_ms:
            return None
        rate_per_s = self._window_bytes * 1000.0 / waited_ms
        if rate_per_s < self._limits.floor_bytes_per_s:
            return f"{rate_per_s:.0f} bytes a second over {waited_ms:.0f} ms"
        self._waiting_since_ms = now_ms
        self._waited_ms = 0.0
        self._window_bytes = 0
        return None
