"""Progress limits of one side of a flow: maximum stall time and minimum rate.

Time counts only while the flow is waiting for this side: a reader that does not read is never counted against
the writer, and vice versa. No clock: the caller passes the times. Source: Envoy's stream idle timeout and
HAProxy's `timeout client` and `timeout server` for stalls; the slow-request guards of nginx and Apache for
the rate.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ProgressLimits:
    """Minimum progress of one side. Only time during which the flow waits for that side counts.

    Attributes:
        stall_ms: Maximum time without a byte transferred by the side, in milliseconds.
        floor_bytes_per_s: Minimum rate of transfer in each complete window of time; 0 for no minimum.
        window_ms: Length of a window of time, in milliseconds.
    """

    stall_ms: float
    floor_bytes_per_s: float
    window_ms: float


class ProgressMonitor:
    """Monitor that checks one side's progress against its limits."""

    __slots__ = ("_last_byte_ms", "_limits", "_waited_ms", "_waiting_since_ms", "_window_bytes")

    def __init__(self, limits: ProgressLimits) -> None:
        """Create a monitor for a side that the flow is not waiting for yet."""
        self._limits = limits
        # Start of the flow's current wait for this side, or of the window if that is later; None while the
        # flow does not wait.
        self._waiting_since_ms: float | None = None
        # Time of this side's last byte, or start of the current wait if that is later.
        self._last_byte_ms = 0.0
        self._waited_ms = 0.0  # duration of the earlier waits for this side in the current window
        self._window_bytes = 0

    def start_waiting(self, now_ms: float) -> None:
        """Start counting time because the flow is waiting for this side."""
        if self._waiting_since_ms is None:
            self._waiting_since_ms = self._last_byte_ms = now_ms

    def stop_waiting(self, now_ms: float) -> None:
        """Stop counting time because the flow is not waiting for this side."""
        if self._waiting_since_ms is not None:
            self._waited_ms += now_ms - self._waiting_since_ms
            self._waiting_since_ms = None

    def record_bytes(self, size: int, now_ms: float) -> None:
        """Count bytes that this side has transferred."""
        self._window_bytes += size
        self._last_byte_ms = now_ms

    def violation(self, now_ms: float) -> str | None:
        """Returns a description of the violated limit for logs and error responses, None without a violation.

        Only this call ends a complete window and starts the next, so call it several times per window.
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
