"""One direction of an exchange: the body's pieces, its trailers and its end, from a source to a sink.

Protocol-neutral and without I/O. The source may bring as many bytes as there is credit for; what the sink's
side has not let go of, and what is kept for a repeat, is held against the credit. So a body of any length
passes in bounded memory, at the pace of the slower side. Anchors: Envoy's watermarks (source/docs
flow_control), HTTP/2 and HTTP/3 flow control (RFC 9113 section 5.2, RFC 9000 section 4).

    source --push, end, fail--> Flow --write, finish, cut--> sink
    source <--pause, resume---- Flow <-------drained-------- sink

The bytes sent are kept from the first while they are few (the replay buffer): until then another sink can be
given all of it. `Watcher.unrepeatable` says when that has ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.progress import ProgressLimits, ProgressMonitor

Piece = bytes | memoryview


@dataclass(slots=True, frozen=True)
class BodyTerms:
    """What one direction may take. `most_bytes`: of the whole body. `hold_bytes`: so much is held before it
    is passed on, a smaller body whole. `replay_bytes`: the sent part that is kept for a repeat.
    `ceiling_bytes`: of memory, never passed. `reader` limits the side that takes the body, `writer` the one
    that brings it.
    """

    most_bytes: int
    hold_bytes: int
    replay_bytes: int
    ceiling_bytes: int
    writer: ProgressLimits
    reader: ProgressLimits


@dataclass(slots=True, frozen=True)
class StreamTerms:
    """Both directions of a request. `total_ms`: of the whole exchange, from its begin. `room_wait_ms`: how
    long a new one waits for memory. `answer_hold_ms`: an answer that has begun is passed on after so long,
    however little of it has come.
    """

    request: BodyTerms
    answer: BodyTerms
    total_ms: float
    room_wait_ms: float
    answer_hold_ms: float


class Ticks(Protocol):
    """Tells the time."""

    def now_ms(self) -> float: ...


class Source(Protocol):
    """Whence a body comes."""

    def pause(self) -> None:
        """Bring no more until `resume`."""

    def resume(self) -> None: ...


class Sink(Protocol):
    """Where a body goes."""

    @property
    def unsent(self) -> int:
        """Bytes that were written and that the system has not taken."""

    def write(self, piece: Piece) -> None:
        """Take the whole piece; it is not looked at again after the return."""

    def finish(self, trailers: Headers) -> None:
        """The body is whole."""


class Side(Enum):
    """Whose fault it is."""

    SOURCE = "source"
    SINK = "sink"


class Watcher(Protocol):
    """Whoever runs the exchange."""

    def unrepeatable(self) -> None:
        """What was sent is no longer kept whole: no other sink can be given it."""

    def passed_on(self) -> None:
        """The whole body, with its end, has left through the sink."""


class Flow:
    """See the head of the module. `reserve` bytes are booked of the room already, and stay with it until what
    it keeps for a repeat is let go; after that it stays sure of `LEAST`. One that `lends` has `LEAST` of them
    for the body that goes the other way.
    """

    LEAST = 16 * 1024  # of credit, for whoever has begun, however short memory is

    __slots__ = (
        "_booked",
        "_clock",
        "_kept",
        "_kept_bytes",
        "_leased",
        "_memory_budget",
        "_paused",
        "_reader",
        "_reserve",
        "_seen_unsent",
        "_sink",
        "_watcher",
        "_writer",
        "account",
        "closed",
        "done",
        "ended",
        "source",
        "terms",
        "trailers",
    )

    def __init__(
        self,
        terms: BodyTerms,
        clock: Ticks,
        memory_budget: MemoryBudget,
        account: FlowStatistics,
        source: Source,
        reserve: int,
        lends: bool = True,
    ) -> None:
        self.terms = terms
        self.account = account
        self.source: Source | None = source
        self._clock = clock
        self._memory_budget = memory_budget
        self._reserve = self._booked = reserve
        self._leased = not lends
        self._watcher: Watcher | None = None
        self._sink: Sink | None = None
        self._seen_unsent = 0
        # Before the first sink this is what waits for it; afterwards what a second one would be given.
        self._kept: list[bytes] | None = []
        self._kept_bytes = 0
        self._writer = ProgressMonitor(terms.writer)
        self._reader = ProgressMonitor(terms.reader)
        self._paused = False
        self.ended = False  # the source has brought all of it
        self.done = False  # the sink has let all of it go
        self.closed = False
        self.trailers: Headers = []
        account.open += 1
        account.opened += 1
        account.most_open = max(account.most_open, account.open)
        self._writer.wait(clock.now_ms())

    # ------------------------------------------------ the source's side

    @property
    def credit(self) -> int:
        """Bytes that the source may bring now. A ceiling of its own bounds it, and what is left of the room;
        whoever has begun keeps what it was promised.
        """
        most = min(self.terms.ceiling_bytes, max(self._reserve, self._booked + self._memory_budget.free))
        return max(0, most - self.held)

    def push(self, piece: Piece) -> None:
        """The next bytes of the body; a view is copied where it must outlast the call."""
        if self.closed:
            return
        size = len(piece)
        now = self._clock.now_ms()
        self.account.bytes += size
        self._writer.moved(size, now)
        if self._kept is not None:
            if self._sink is None or self._kept_bytes + size <= self.terms.replay_bytes:
                piece = bytes(piece)
                self._kept.append(piece)
                self._kept_bytes += size
            else:
                self._let_go()
        if self._sink is not None:
            self._sink.write(piece)
        self._settle()

    def end(self, trailers: Headers) -> None:
        """The source has brought all of the body."""
        if self.closed or self.ended:
            return
        self.ended = True
        self.trailers = trailers
        self.source = None
        if self._sink is not None:
            self._sink.finish(trailers)
        self._settle()

    # ------------------------------------------------ the sink's side

    def drained(self) -> None:
        """All that the sink was given has left."""
        self._settle()

    # ------------------------------------------------ whoever runs the exchange

    @property
    def held(self) -> int:
        """Bytes in memory on its behalf."""
        return self._kept_bytes + (self._sink.unsent if self._sink is not None else 0)

    @property
    def repeatable(self) -> bool:
        """Whether a sink could be given all of it from its first byte."""
        return self._kept is not None

    def watch(self, watcher: Watcher) -> None:
        self._watcher = watcher

    def attach(self, sink: Sink) -> None:
        """Give the sink all from the first byte, and what comes from now on."""
        if self._kept is None or self._sink is not None:
            raise AssertionError("a flow that is not held whole, or has a sink, takes no other")
        self._sink = sink
        self._seen_unsent = 0
        for piece in self._kept:
            sink.write(piece)
            if self._sink is not sink:  # it broke on the way
                return
        if self._kept_bytes > self.terms.replay_bytes:
            self._let_go()
        if self.ended:
            sink.finish(self.trailers)
        self._settle()

    def detach(self, sink: Sink) -> None:
        """The sink is of no further use."""
        if self._sink is sink:
            self._sink = None
            self.done = False
            self._settle()

    def close(self) -> None:
        """Let everything go; what still comes is dropped."""
        if self.closed:
            return
        self.closed = True
        self._sink = self._watcher = self.source = None
        self._kept = None
        self._kept_bytes = 0
        self._memory_budget.book(self._booked, 0)
        self._booked = 0
        self.account.open -= 1

    def too_slow(self, now_ms: float) -> tuple[Side, str] | None:
        """Which side has fallen behind its limits, and how; None if neither has."""
        if self.closed:
            return None
        self._note_sink(now_ms)
        for side, pace in ((Side.SINK, self._reader), (Side.SOURCE, self._writer)):
            why = pace.too_slow(now_ms)
            if why:
                return side, why
        return None

    def lend(self) -> int:
        """Of what is booked for it, `LEAST` for the body that goes the other way: whoever has begun is not
        made to wait for the memory of its answer. Returns the bytes, which are booked. Another attempt's
        answer gets as many, booked anew: what was lent before went back to the room.
        """
        if self._leased or self.closed:
            self._memory_budget.book(0, self.LEAST)
            return self.LEAST
        self._leased = True
        self._reserve = max(0, self._reserve - self.LEAST)
        self._booked -= self.LEAST
        self._settle()
        return self.LEAST

    # ------------------------------------------------

    def _let_go(self) -> None:
        """What was sent is kept no longer."""
        self._kept = None
        self._kept_bytes = 0
        self._reserve = min(self._reserve, self.LEAST if self._leased else 2 * self.LEAST)
        if self._watcher is not None:
            self._watcher.unrepeatable()

    def _note_sink(self, now_ms: float) -> None:
        unsent = self._sink.unsent if self._sink is not None else 0
        if unsent < self._seen_unsent:
            self._reader.moved(self._seen_unsent - unsent, now_ms)
        self._seen_unsent = unsent

    def _settle(self) -> None:
        """After any change: the account, whose turn it is, and whether the source may go on."""
        if self.closed:
            return
        now = self._clock.now_ms()
        self._note_sink(now)
        held = self._kept_bytes + self._seen_unsent
        account = self.account
        if held > account.peak_bytes:
            account.peak_bytes = held
        if held > self.terms.ceiling_bytes:
            account.over += 1
        booked = max(held, self._reserve)
        if booked != self._booked:
            before, self._booked = self._booked, booked
            self._memory_budget.book(before, booked)
        behind = self._seen_unsent > 0  # the sink is
        if behind:
            self._reader.wait(now)
        else:
            self._reader.rest(now)
        if self._sink is None or behind or self.ended:
            self._writer.rest(now)
        else:
            self._writer.wait(now)
        self._steer(self._sink is None or behind or not self.credit)
        if self.ended and not behind and self._sink is not None and not self.done:
            self.done = True
            if self._watcher is not None:
                self._watcher.passed_on()

    def _steer(self, paused: bool) -> None:
        if paused == self._paused or self.source is None:
            return
        self._paused = paused
        if paused:
            self.source.pause()
        else:
            self.source.resume()
