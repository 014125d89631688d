"""Flow control for the body of a request or a response, from a source to a sink.

No I/O and no protocol; the clock is supplied by the caller. Source: Envoy's watermarks (its docs on flow
control), and the flow control of HTTP/2 and HTTP/3 (RFC 9113 section 5.2, RFC 9000 section 4).

    source --push, end--------> Flow --write, finish--> sink
    source <--pause, resume---- Flow <------drained---- sink

The source may push as many bytes as the flow has credit: the ceiling minus the bytes that the flow has in
memory, which are those that the sink has not sent yet and those in the replay buffer. A body of any length is
therefore streamed in bounded memory, at the rate of the slower side.

The replay buffer retains the beginning of the body up to a limited size. Until it is released, the complete
body can be written to another sink, for a retry. `FlowObserver.on_unrepeatable` is called when it is
released.

A flow has at most one sink at a time. `ended` is set when the source has pushed the complete body, `sent`
when the current sink has sent it, `closed` when the flow has released its resources and ignores further
input.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sandhatch.runtime.byte_buffer import ByteBuffer
from sandhatch.streaming.flow_memory import MIN_CREDIT_BYTES, FlowMemory
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import FlowObserver, FlowResources, Piece, Sink, Source
from sandhatch.streaming.limits import BodyLimits
from sandhatch.streaming.progress import ProgressMonitor


class Side(Enum):
    """Side of a flow."""

    SOURCE = "source"
    SINK = "sink"


@dataclass(slots=True, frozen=True)
class SlowSide:
    """Violation of the progress limits by one side of a flow.

    Attributes:
        side: Side that violates its limits.
        reason: Description of the measured progress, for the log.
    """

    side: Side
    reason: str


class Flow:
    """Flow of one body from a source to a sink; see the module docstring.

    Attributes:
        limits: Limits of the body.
        source: Source of the body; None once the body has ended or the flow is closed.
        ended: Whether the source has pushed the complete body.
        sent: Whether the current sink has sent the complete body.
        closed: Whether the flow has been closed; a closed flow ignores further input.
        trailers: Trailer fields of the body, set when the body ends.
    """

    MIN_CREDIT_BYTES = MIN_CREDIT_BYTES

    __slots__ = (
        "_clock",
        "_memory",
        "_observer",
        "_replay_buffer",
        "_replay_bytes",
        "_sink",
        "_sink_progress",
        "_source_paused",
        "_source_progress",
        "_statistics",
        "_unsent_bytes",
        "closed",
        "ended",
        "limits",
        "sent",
        "source",
        "trailers",
    )

    def __init__(
        self,
        limits: BodyLimits,
        resources: FlowResources,
        source: Source,
        reserved_bytes: int,
        leases_to_response: bool = True,
    ) -> None:
        """Open a flow without a sink.

        Args:
            limits: Limits of the body.
            resources: Clock, memory budget and flow statistics of the process.
            source: Source of the body.
            reserved_bytes: Bytes that are already reserved in the memory budget; see `FlowMemory`.
            leases_to_response: Whether a part of the reserved bytes is for the body of the response; False
                for the flow of a response.
        """
        self.limits = limits
        self.source: Source | None = source
        self.ended = False
        self.sent = False
        self.closed = False
        self.trailers: Headers = []
        self._clock = resources.clock
        self._statistics = resources.flow_statistics
        budget, ceiling_bytes = resources.memory_budget, limits.ceiling_bytes
        self._memory = FlowMemory(budget, self._statistics, ceiling_bytes, reserved_bytes, leases_to_response)
        self._observer: FlowObserver | None = None
        self._sink: Sink | None = None
        self._unsent_bytes = 0  # bytes that the sink had not sent at the last check
        # Before the first sink is attached, the bytes that wait for it; afterwards, the bytes for a retry.
        self._replay_buffer: ByteBuffer | None = ByteBuffer()
        self._replay_bytes = 0
        self._source_paused = False
        self._sink_progress = ProgressMonitor(limits.reader)
        self._source_progress = ProgressMonitor(limits.writer)
        self._source_progress.start_waiting(self._clock.now_ms())
        self._statistics.count_opened()

    # ------------------------------------------------ called by the source

    @property
    def credit_bytes(self) -> int:
        """Bytes that the source may push now.

        The body's ceiling and the free memory limit the credit. The credit for the reserved bytes remains
        even if no memory is free.
        """
        # Repeats the sum in `memory_bytes` to save a call, because every read from a socket needs the credit.
        unsent_bytes = self._sink.unsent_bytes if self._sink is not None else 0
        max_bytes = min(self.limits.ceiling_bytes, self._memory.available_bytes)
        return max(0, max_bytes - self._replay_bytes - unsent_bytes)

    def push(self, piece: Piece) -> None:
        """Accept the next bytes of the body; a view is copied if it is needed after the call."""
        if self.closed:
            return
        size = len(piece)
        now_ms = self._clock.now_ms()
        self._statistics.bytes += size
        self._source_progress.record_bytes(size, now_ms)
        if self._replay_buffer is not None:
            if self._sink is None or self._replay_bytes + size <= self.limits.replay_bytes:
                self._replay_buffer.append(piece)
                self._replay_bytes += size
            else:
                self._release_replay_buffer()
        if self._sink is not None:
            self._sink.write(piece)
        self._update()

    def end(self, trailers: Headers) -> None:
        """Mark the end of the body: the source has pushed all of it."""
        if self.closed or self.ended:
            return
        self.ended = True
        self.trailers = trailers
        self.source = None
        if self._sink is not None:
            self._sink.finish(trailers)
        self._update()

    # ------------------------------------------------ called by the sink

    def drained(self) -> None:
        """Continue after the sink has sent everything that was written to it."""
        self._update()

    # ------------------------------------------------ called by the owner of the exchange

    @property
    def memory_bytes(self) -> int:
        """Bytes of the body in memory: the replay buffer and what the sink has not sent."""
        return self._replay_bytes + (self._sink.unsent_bytes if self._sink is not None else 0)

    @property
    def is_repeatable(self) -> bool:
        """Whether the complete body can still be written to another sink."""
        return self._replay_buffer is not None

    def observe(self, observer: FlowObserver) -> None:
        """Set the observer that is notified from now on, in place of any other."""
        self._observer = observer

    def attach(self, sink: Sink) -> None:
        """Write the body to this sink, from its first byte."""
        if self._replay_buffer is None or self._sink is not None:
            raise AssertionError(
                "cannot attach a sink: the flow has a sink or has released its replay buffer"
            )
        self._sink = sink
        self._unsent_bytes = 0
        if self._replay_buffer:
            sink.write(self._replay_buffer.get())
            if self._sink is not sink:  # the sink has failed during the write and was detached from the flow
                return
        if self._replay_bytes > self.limits.replay_bytes:
            self._release_replay_buffer()
        if self.ended:
            sink.finish(self.trailers)
        self._update()

    def detach(self, sink: Sink) -> None:
        """Stop writing to this sink."""
        if self._sink is sink:
            self._sink = None
            self.sent = False
            self._update()

    def close(self) -> None:
        """Release all resources; anything that the source still pushes is discarded."""
        if self.closed:
            return
        self.closed = True
        self._sink = None
        self._observer = None
        self.source = None
        self._replay_buffer = None
        self._replay_bytes = 0
        self._memory.release()
        self._statistics.open -= 1

    def find_slow_side(self, now_ms: float) -> SlowSide | None:
        """Returns the side that violates its progress limits, or None."""
        if self.closed:
            return None
        self._record_sink_progress(now_ms)
        reason = self._sink_progress.violation(now_ms)
        if reason is not None:
            return SlowSide(Side.SINK, reason)
        reason = self._source_progress.violation(now_ms)
        if reason is not None:
            return SlowSide(Side.SOURCE, reason)
        return None

    def lease_to_response(self) -> int:
        """Lease `MIN_CREDIT_BYTES` of the reserved bytes to the flow of the response.

        This way a request that has been started does not wait for memory for its response. The response of a
        further attempt gets the same number of bytes, which are reserved anew because the flow of the earlier
        response has returned its bytes to the budget.

        Returns:
            Number of leased bytes, which are already reserved in the budget.
        """
        if self._memory.lease():
            self._update()
        return MIN_CREDIT_BYTES

    # ------------------------------------------------

    def _release_replay_buffer(self) -> None:
        """Release the replay buffer, so that the body cannot be written to another sink."""
        self._replay_buffer = None
        self._replay_bytes = 0
        self._memory.shrink_reservation()
        if self._observer is not None:
            self._observer.on_unrepeatable()

    def _record_sink_progress(self, now_ms: float) -> None:
        unsent_bytes = self._sink.unsent_bytes if self._sink is not None else 0
        if unsent_bytes < self._unsent_bytes:
            self._sink_progress.record_bytes(self._unsent_bytes - unsent_bytes, now_ms)
        self._unsent_bytes = unsent_bytes

    def _update(self) -> None:
        """Update memory accounting, progress monitors and the source's pause state after any change."""
        if self.closed:
            return
        now_ms = self._clock.now_ms()
        self._record_sink_progress(now_ms)
        self._memory.update(self._replay_bytes + self._unsent_bytes)
        is_sink_behind = self._unsent_bytes > 0
        if is_sink_behind:
            self._sink_progress.start_waiting(now_ms)
        else:
            self._sink_progress.stop_waiting(now_ms)
        if self._sink is None or is_sink_behind or self.ended:
            self._source_progress.stop_waiting(now_ms)
        else:
            self._source_progress.start_waiting(now_ms)
        paused = self._sink is None or is_sink_behind or not self.credit_bytes
        if paused != self._source_paused:
            self._set_source_paused(paused)
        if self.ended and not is_sink_behind and self._sink is not None and not self.sent:
            self.sent = True
            if self._observer is not None:
                self._observer.on_sent()

    def _set_source_paused(self, paused: bool) -> None:
        if self.source is None:
            return
        self._source_paused = paused
        if paused:
            self.source.pause()
        else:
            self.source.resume()
