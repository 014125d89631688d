"""Flow control of one direction of an exchange: a body's pieces, trailers and end, from a source to a sink.

No I/O, no protocol and no clock of its own. Source: Envoy's watermarks (its docs on flow control), and the
flow control of HTTP/2 and HTTP/3 (RFC 9113 section 5.2, RFC 9000 section 4).

    source --push, end--------> Flow --write, finish--> sink
    source <--pause, resume---- Flow <------drained---- sink

The source may bring as many bytes as there is credit for: the ceiling, less what the flow has in memory. That
is what the sink has not sent yet, and the replay buffer. So a body of any length passes in bounded memory, at
the pace of the slower side.

The replay buffer keeps the bytes from the first, while they are few: until it is released, another sink can
be given the complete body. `FlowObserver.on_unrepeatable` notifies of the release.

A flow has one sink at a time, and may have none. `ended` says that the source has brought the complete body,
`sent` that the present sink has sent it, `closed` that nothing of it counts any more.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sandhatch.streaming.flow_memory import MIN_CREDIT_BYTES, FlowMemory
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import FlowObserver, FlowResources, Piece, Sink, Source
from sandhatch.streaming.progress import ProgressMonitor
from sandhatch.streaming.terms import BodyTerms


class Side(Enum):
    """A side of a flow."""

    SOURCE = "source"
    SINK = "sink"


@dataclass(slots=True, frozen=True)
class SlowSide:
    """The side of a flow that violates its progress limits.

    Attributes:
        side: Which of the two.
        reason: Which limit and by how much, for the log.
    """

    side: Side
    reason: str


class Flow:
    """One body on its way; see the head of the module.

    Attributes:
        terms: The body's limits.
        source: Brings the body; None once all of it has come.
        ended: Whether the source has brought all of it.
        sent: Whether all of it has left through the present sink.
        closed: Whether the flow has been closed, so that it takes nothing more.
        trailers: Fields behind the body, once it has ended.
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
        "sent",
        "source",
        "terms",
        "trailers",
    )

    def __init__(
        self,
        terms: BodyTerms,
        resources: FlowResources,
        source: Source,
        reserved_bytes: int,
        leases_to_response: bool = True,
    ) -> None:
        """Open a flow without a sink.

        Args:
            terms: The body's limits.
            resources: The clock, the memory budget and the statistics of the process.
            source: Brings the body.
            reserved_bytes: Booked already in the memory budget; see `FlowMemory`.
            leases_to_response: Whether a part of these is for the body of the answer; False for an answer's.
        """
        self.terms = terms
        self.source: Source | None = source
        self.ended = False
        self.sent = False
        self.closed = False
        self.trailers: Headers = []
        self._clock = resources.clock
        self._statistics = resources.flows
        self._memory = FlowMemory(
            resources.memory_budget, resources.flows, terms.ceiling_bytes, reserved_bytes, leases_to_response
        )
        self._observer: FlowObserver | None = None
        self._sink: Sink | None = None
        self._unsent_bytes = 0  # of the sink, as last looked at
        # Before the first sink this is what waits for it; afterwards what another one would be given.
        self._replay_buffer: list[bytes] | None = []
        self._replay_bytes = 0
        self._source_paused = False
        self._sink_progress = ProgressMonitor(terms.reader)
        self._source_progress = ProgressMonitor(terms.writer)
        self._source_progress.start_waiting(self._clock.now_ms())
        self._statistics.count_opened()

    # ------------------------------------------------ called by the source

    @property
    def credit(self) -> int:
        """Bytes that the source may bring now.

        Bounded by the body's ceiling and by the free memory; a flow keeps the credit of its reserved bytes
        however short memory is.
        """
        # As `memory_bytes`, but without another call: this is asked for with every read.
        unsent_bytes = self._sink.unsent if self._sink is not None else 0
        most_bytes = min(self.terms.ceiling_bytes, self._memory.available_bytes)
        return max(0, most_bytes - self._replay_bytes - unsent_bytes)

    def push(self, piece: Piece) -> None:
        """Take the next bytes of the body; a view is copied where it must outlast the call."""
        if self.closed:
            return
        size = len(piece)
        now_ms = self._clock.now_ms()
        self._statistics.bytes += size
        self._source_progress.record_bytes(size, now_ms)
        if self._replay_buffer is not None:
            if self._sink is None or self._replay_bytes + size <= self.terms.replay_bytes:
                piece = bytes(piece)
                self._replay_buffer.append(piece)
                self._replay_bytes += size
            else:
                self._release_replay_buffer()
        if self._sink is not None:
            self._sink.write(piece)
        self._update()

    def end(self, trailers: Headers) -> None:
        """Take the end: the source has brought all of the body."""
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
        """Go on: all that the sink was given has been sent."""
        self._update()

    # ------------------------------------------------ called by whoever runs the exchange

    @property
    def memory_bytes(self) -> int:
        """Bytes in memory on the body's behalf."""
        return self._replay_bytes + (self._sink.unsent if self._sink is not None else 0)

    @property
    def repeatable(self) -> bool:
        """Whether a sink could be given the complete body."""
        return self._replay_buffer is not None

    def observe(self, observer: FlowObserver) -> None:
        """Notify this observer from now on, in place of any other."""
        self._observer = observer

    def attach(self, sink: Sink) -> None:
        """Write the body to this sink, from its first byte."""
        if self._replay_buffer is None or self._sink is not None:
            raise AssertionError("a flow that has a sink, or has released its replay buffer, takes no sink")
        self._sink = sink
        self._unsent_bytes = 0
        for piece in self._replay_buffer:
            sink.write(piece)
            if self._sink is not sink:  # it broke, and was detached
                return
        if self._replay_bytes > self.terms.replay_bytes:
            self._release_replay_buffer()
        if self.ended:
            sink.finish(self.trailers)
        self._update()

    def detach(self, sink: Sink) -> None:
        """Write no more to this sink."""
        if self._sink is sink:
            self._sink = None
            self.sent = False
            self._update()

    def close(self) -> None:
        """Release everything; what the source still brings is discarded."""
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

    def slow_side(self, now_ms: float) -> SlowSide | None:
        """Returns which side violates its progress limits; None if neither does."""
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
        """Hand `MIN_CREDIT_BYTES` of the reserved bytes over to the body of the other direction.

        So a request that has begun does not wait for the memory of its answer. The answer of another attempt
        gets as many, booked anew: what was handed over before went back to the budget.

        Returns:
            The bytes, which are booked.
        """
        if self._memory.lease():
            self._update()
        return MIN_CREDIT_BYTES

    # ------------------------------------------------

    def _release_replay_buffer(self) -> None:
        """Keep what was sent no longer."""
        self._replay_buffer = None
        self._replay_bytes = 0
        self._memory.shrink_reservation()
        if self._observer is not None:
            self._observer.on_unrepeatable()

    def _record_sink_progress(self, now_ms: float) -> None:
        unsent_bytes = self._sink.unsent if self._sink is not None else 0
        if unsent_bytes < self._unsent_bytes:
            self._sink_progress.record_bytes(self._unsent_bytes - unsent_bytes, now_ms)
        self._unsent_bytes = unsent_bytes

    def _update(self) -> None:
        """After any change: book the memory, see which side is waited for, pause or resume the source."""
        if self.closed:
            return
        now_ms = self._clock.now_ms()
        self._record_sink_progress(now_ms)
        self._memory.update(self._replay_bytes + self._unsent_bytes)
        sink_behind = self._unsent_bytes > 0
        if sink_behind:
            self._sink_progress.start_waiting(now_ms)
        else:
            self._sink_progress.stop_waiting(now_ms)
        if self._sink is None or sink_behind or self.ended:
            self._source_progress.stop_waiting(now_ms)
        else:
            self._source_progress.start_waiting(now_ms)
        paused = self._sink is None or sink_behind or not self.credit
        if paused != self._source_paused:
            self._set_source_paused(paused)
        if self.ended and not sink_behind and self._sink is not None and not self.sent:
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
