"""Connections to upstreams, and the calls on them: attempts and probes, each ending in exactly one outcome.

The dividing line of an attempt that is sent whole is its last byte: until the system has taken that, the
upstream can't have begun the request; from then on it may have. Of one whose body is passed on as it arrives
it is the first byte: a server may act on what it has. Nothing is ever sent again from here.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

from sandhatch.balancing.events import Outcome, ServerState
from sandhatch.http1.body_endpoint import BodyEndpoint
from sandhatch.http1.errors import FramingError
from sandhatch.http1.events import End, Event
from sandhatch.http1.message import Message
from sandhatch.http1.parser import ResponseReader
from sandhatch.http1.serializer import encode_request, encode_request_head
from sandhatch.runtime.address import Address
from sandhatch.runtime.clock import Clock, Timer
from sandhatch.runtime.descriptor_budget import Descriptors
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.socket_writer import SCRATCH, SocketWriter
from sandhatch.streaming.terms import StreamTerms

LOAD_HEADER = b"endpoint-load-metrics"
NEVER_RAN_HEADER = b"x-never-ran"


@dataclass(slots=True)
class UpstreamServer:
    """One upstream as discovery last told of it."""

    number: int
    address: Address
    state: ServerState
    started_ms: float
    notified_ms: float = 0.0  # when it was told to drain or to be gone

    def move(self, address: Address, state: ServerState, started_ms: float, notified_ms: float) -> bool:
        """Take over what discovery tells, and counts as told since `notified_ms`; whether connections from
        before lead to the same process.
        """
        same = self.address == address and (self.started_ms == started_ms or state is not ServerState.READY)
        if state is ServerState.READY:
            self.notified_ms = 0.0
        elif self.state is ServerState.READY or not self.notified_ms:
            self.notified_ms = notified_ms  # the grace runs from the first word of it
        self.address, self.state, self.started_ms = address, state, started_ms
        return same


def _no_request() -> Message:
    raise AssertionError("a call that is over is not written")


def _is_over() -> Outcome | None:
    return Outcome.DISCARDED


def _no_finish(outcome: Outcome, answer: Message | None) -> None:
    raise AssertionError("a call ends once")


def _not_passed_on(call: Attempt, answer: Message, reserved: int) -> Flow | None:
    return None


class Attempt:
    """An attempt or a probe. `finish` is called once, with the outcome and the answer that it came with.

    `flow` brings a body that is still arriving. With `terms` an answer may be passed on as it arrives: then
    `opened` is told its head, and how many bytes are booked for it; it returns the flow that takes the body,
    and those bytes with it; None if nobody wants it.
    """

    __slots__ = (
        "_blocked",
        "_finish",
        "_request",
        "connection",
        "ended",
        "flow",
        "opened",
        "probe",
        "sent_ms",
        "terms",
        "timeout_ms",
        "timer",
        "touched",
        "upstream",
        "written",
    )

    def __init__(
        self,
        upstream: UpstreamServer,
        request: Callable[[], Message],
        blocked: Callable[[], Outcome | None],
        finish: Callable[[Outcome, Message | None], None],
        sent_ms: float,
        probe: bool = False,
    ) -> None:
        self.upstream = upstream
        self.probe = probe
        self._request = request  # made when it is written, since it tells the time that is left then
        self._blocked = blocked  # why it may no longer be written, if so
        self._finish = finish
        self.flow: Flow | None = None
        self.terms: StreamTerms | None = None
        self.opened: Callable[[Attempt, Message, int], Flow | None] = _not_passed_on
        self.sent_ms = sent_ms  # since when its answer is waited for: of a flow, when all of it was sent
        self.connection: ServerConnection | None = None
        self.timeout_ms = 0.0
        self.timer: Timer | None = None
        self.written = False  # it may have run: the system has taken the last byte, of a flow the first
        self.touched = False  # something has come back for it
        self.ended = False

    def write(self, connection: ServerConnection) -> bool:
        """Send it on a connection that is up, unless it is over; whether a byte was written."""
        if not self.may_be_written():
            return False
        self.connection = connection
        connection.send(self, self._request())
        return True

    def may_be_written(self) -> bool:
        """Whether it still counts: asked before its first byte, and again before a last byte held back. If it
        may not, it ends here.
        """
        if self.ended:
            return False
        why = self._blocked()
        if why is not None:
            self.end(why)
        return why is None

    def time_out(self) -> None:
        """No answer in time; if it has not been written whole, it never will be."""
        if self.connection is not None and self.connection.waits_for_memory:
            self.end(Outcome.CANCELLED)  # its server was not what was waited for
            return
        self.end(Outcome.TIMEOUT if self.written or self.touched else Outcome.CONNECT_FAILED)

    def broken(self) -> None:
        """It can't be answered any more. An upstream that has sent a byte back may have run it, whatever was
        written by then.
        """
        self.end(Outcome.RESET if self.written or self.touched else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.release(self)
        finish = self._finish
        # They hold the request, and the request holds its calls: guards against cycles left to the collector.
        self._request, self._blocked, self._finish = _no_request, _is_over, _no_finish
        self.opened = _not_passed_on
        finish(outcome, answer)


def outcome_of(answer: Message) -> Outcome:
    """The protocol's table, for answers that came whole."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    return Outcome.CLIENT_ERROR if 400 <= answer.status < 500 else Outcome.ERROR


def parse_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """The load report's values in the order of `names`; none if it is not whole or not a report."""
    kind, _, rest = text.strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    values: dict[str, float] = {}
    for item in rest.split(b","):
        name, _, value = item.strip().partition(b"=")
        try:
            values[name.decode("ascii")] = float(value)
        except ValueError:
            return ()
    found = [values.get(name, -1.0) for name in names]
    return tuple(found) if all(0.0 <= value < 1e9 for value in found) else ()


class ServerConnection(BodyEndpoint, asyncio.BufferedProtocol):
    """One connection; carries one call at a time. It is the sink of a request's flow, and the source of an
    answer's.
    """

    def __init__(self, pool: ConnectionPool, upstream: UpstreamServer) -> None:
        super().__init__()
        self.ending = False
        self._pool = pool
        self.upstream = upstream
        self.address = upstream.address
        self.started_ms = upstream.started_ms  # of the process that it leads to, as far as was told
        self._transport: asyncio.Transport | None = None
        self._reader = ResponseReader()
        self._call: Attempt | None = None
        self._rest = b""  # of the call's request, what is held back: see HOLD_MS
        self._used = False  # it has carried a call before
        self._held = 0  # booked of the room that all connections share
        self._report: bytes | None = None  # the body of the answer before, if that was a probe's
        self.resting = False  # the answer before was an attempt's: see REST_MS
        self.idle_since_ms = 0.0
        self._poll = select.poll()
        self._head: Message | None = None  # of the answer that is passed on
        self._answer: Flow | None = None  # that takes the rest of it
        self._long = False  # an answer is held until it is passed on

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transports are no subclass of it.
        self._transport = cast(asyncio.Transport, transport)
        # Any byte not yet taken by the system pauses writing: so `resume_writing` marks the last byte.
        self._transport.set_write_buffer_limits(high=0)
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def resume_writing(self) -> None:
        call = self._call
        if call is None:
            return
        if call.flow is not None:
            call.flow.drained()
        elif not self._rest:
            call.written = True

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._answer is not None:
            return SCRATCH[: max(1, self._answer.credit)]
        call = self._call
        if call is not None and call.terms is not None:
            if self._long:
                return SCRATCH[: max(1, self._needs(call) - self._reader.size)]
            return SCRATCH[: Flow.LEAST]
        return SCRATCH

    def buffer_updated(self, nbytes: int) -> None:
        call = self._call
        if call is None:  # nothing was asked
            self.abort()
            return
        if self._rest:
            # Its last byte is held back, so nobody can have answered it: what comes is another's answer once
            # more, and would be passed on as this one's.
            self._give_back(call)
            return
        call.touched = True
        events = self._reader.feed(SCRATCH[:nbytes])
        if self._head is not None:
            self._pass_on(call, events)
            return
        fits = self._book(self._reader.held)
        if events:
            self._take(call, cast(list[Message], events))  # nothing comes in pieces before it was opened
        elif self._reader.fault is not None or not fits:
            self.abort()
            call.broken()
        elif self._long:
            self._holding(call)
            if self._reserved and self._reader.openable:
                self._begin(call)

    # ------------------------------------------------ an answer that is passed on as it arrives

    def _headed(self, answer: Message) -> None:
        """The head of an answer with a body has come."""
        call = self._call
        if call is None or call.terms is None or answer.status != 200:
            return
        terms = call.terms.answer
        if answer.length is not None and answer.length <= terms.hold_bytes:
            self._reader.stream(-1, terms.hold_bytes)
            return
        self._reader.stream(self._needs(call), terms.most_bytes)
        self._long = True
        self._pool.after(call.terms.answer_hold_ms, lambda: self._impatient(call, answer))

    @staticmethod
    def _needs(call: Attempt) -> int:
        """What is held of a long answer before it begins. That of a request which has begun itself has its
        part of the memory already, and never waits for any.
        """
        assert call.terms is not None
        return Flow.LEAST if call.flow is not None else max(Flow.LEAST, call.terms.answer.hold_bytes)

    def _impatient(self, call: Attempt, answer: Message) -> None:
        """It has been held for long enough, however little has come."""
        if self._call is call and self._head is None and self._reader.in_body:
            self._reader.stream(0, self._reader.most_body)
            if self._reserved and self._reader.openable:
                self._begin(call)

    def _holding(self, call: Attempt) -> None:
        """A long answer is held until there is enough of it; memory for that comes first."""
        if self._reserved or self._place is not None:
            return
        if call.flow is not None:
            self._admitted(call, call.flow.lend())
            return
        self._place = self._pool.memory_budget.reserve(self._needs(call), lambda: self._granted(call))
        if self._place is None:
            self._admitted(call, self._needs(call))
        else:
            self.pause()

    def _granted(self, call: Attempt) -> None:
        self._place = None
        self._admitted(call, self._needs(call))
        self.resume()
        if self._reader.openable:
            self._begin(call)

    def _admitted(self, call: Attempt, reserved: int) -> None:
        self._reserved = reserved
        self._held += reserved
        self._book(self._reader.held)

    def _begin(self, call: Attempt) -> None:
        """What is booked for it becomes the flow's."""
        answer = self._head = self._reader.open()
        held, answer.body = answer.body, b""
        reserved = self._reserved
        flow = call.opened(call, answer, reserved)
        if flow is None:
            self._book(0)
            call.end(outcome_of(answer), answer)
            return
        self._held -= reserved
        self._reserved = 0
        self._long = False
        if self._call is call and not flow.closed:
            self._book(0)
            self._answer = flow
            flow.push(held)

    def _pass_on(self, call: Attempt, events: Sequence[Event]) -> None:
        flow = self._answer
        for at, event in enumerate(events):
            if flow is None or self._answer is not flow:
                return  # given up meanwhile
            if isinstance(event, End):
                self._whole(call, flow, event, clean=at == len(events) - 1)
                return
            if not isinstance(event, Message):
                flow.push(event)
        if self._reader.fault is not None and self._call is call:
            self.abort()
            call.broken()

    def _whole(self, call: Attempt, flow: Flow, end: End, clean: bool) -> None:
        """The answer has come to its end."""
        answer, self._head, self._answer, self._call = self._head, None, None, None
        sent = call.written and (call.flow is None or call.flow.done)
        clean = clean and sent and self._reader.fault is None and not self._reader.begun
        if call.flow is not None:
            call.flow.detach(self)
        self._socket_writer = None
        self._report = None
        flow.end(end.trailers)
        assert answer is not None  # its head came before its end
        self.resume()  # the flow may have stopped it at the last piece
        self._answered(call, answer, clean)

    def _answered(self, call: Attempt, answer: Message, clean: bool) -> None:
        """The call has its answer, and the connection is kept if nothing else is left on it."""
        call.connection = None
        if clean and answer.keep_alive:
            self.resting = not call.probe
            self._pool.put(self)
        else:
            self.abort()
        call.end(outcome_of(answer), answer)

    @property
    def waits_for_memory(self) -> bool:
        return self._place is not None

    # ------------------------------------------------

    def _take(self, call: Attempt, answers: list[Message]) -> None:
        answer = answers[0]
        reader = self._reader
        if self._long:  # it came whole while it was held
            self._let_go()
        # A whole answer counts, whatever comes behind it; the connection is of no further use then.
        clean = call.written and len(answers) == 1 and reader.fault is None and not reader.begun
        if call.flow is not None:  # an answer before the request's end is the last of its connection
            clean = clean and call.flow.done
            call.flow.detach(self)
        self._call = None
        self._socket_writer = None
        report, self._report = self._report, answer.body if call.probe else None
        if not call.probe and report is not None and answer.body == report and report.strip():
            # The probe's answer once more, which came after this call was written: its own is still to come.
            self.abort()
            call.connection = None
            call.broken()
            return
        self._answered(call, answer, clean)

    def _book(self, held: int) -> bool:
        held = max(held, self._reserved)
        fits = self._pool.memory_budget.book(self._held, held)
        self._held = held
        return fits

    def eof_received(self) -> None:
        self.abort()  # half-closed: no further answer comes, and nothing may be written to it
        self._break_call()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.closed(self)
        self._transport = None
        self._reader.close()
        self._let_go()
        self._break_call()

    def _break_call(self) -> None:
        call = self._call
        if call is None:
            return
        if self._rest:
            self._give_back(call)
        else:
            call.broken()

    def _give_back(self, call: Attempt) -> None:
        """Nobody has the request: it is as if it had not been begun, and goes out on a new connection."""
        self._rest = b""
        self._call = call.connection = None
        self.abort()
        self._pool.renew(call)

    # Called by the pool and by calls.

    def send(self, call: Attempt, request: Message) -> None:
        """Write the request; on a kept connection its last byte a moment later, so that a flow, which has
        no such moment, is never sent on one.
        """
        assert self._transport is not None
        self._call = call
        if call.terms is not None:
            self._reader.headed = self._headed
        if call.flow is not None:
            self._send_flow(call, call.flow, request)
            return
        payload = encode_request(request.method, request.target, request.headers, request.body)
        if self._used:
            self._rest = payload[-1:]
            self._pool.later(lambda: self._complete(call))
            payload = payload[:-1]
        self._used = True
        self._write(payload)

    def _send_flow(self, call: Attempt, flow: Flow, request: Message) -> None:
        assert self._transport is not None and not self._used
        self._used = True
        self._socket_writer = SocketWriter(self._transport)
        self._chunked = request.length is None
        call.written = True  # from here on it may have run, whatever the server has of it
        head = encode_request_head(request.method, request.target, request.headers, request.length)
        self._socket_writer.write((head,))
        flow.attach(self)

    def _complete(self, call: Attempt) -> None:
        if self._call is not call or not self._rest or not call.may_be_written():
            return
        if not self.usable():
            # Its end is there and not yet read: timers run before what waits to be read.
            self._give_back(call)
            return
        rest, self._rest = self._rest, b""
        self._write(rest)

    def _write(self, data: bytes) -> None:
        assert self._transport is not None and self._call is not None
        self._transport.write(data)
        if not self._rest and self._transport.get_write_buffer_size() == 0:
            self._call.written = True

    def release(self, call: Attempt) -> None:
        """The call has ended without an answer: closing the connection is what gives it up."""
        if self._call is call:
            self._call = self._head = self._answer = None
            self._rest = b""
            self._let_go()
            self.abort()
            if call.flow is not None:
                call.flow.detach(self)
            self._socket_writer = None

    def _let_go(self) -> None:
        """Of an answer that was held, or waited for memory."""
        self._leave_queue()
        self._long = False
        self._book(self._reader.held)

    def usable(self) -> bool:
        """Whether it is up, with neither an end nor unread bytes waiting in the system."""
        transport = self._transport
        return transport is not None and not transport.is_closing() and not self._poll.poll(0)

    def abort(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def move(self, pool: ConnectionPool, upstream: UpstreamServer) -> None:
        """To another pool's keeping, while it carries no call."""
        self._pool, self.upstream = pool, upstream


class ConnectionPool:
    """The table of upstreams, the idle connections, and the budget of sockets."""

    SWEEP_MS = 1_000.0
    # After an attempt's answer a connection takes no new call for so long, and what comes in that time closes
    # it: guards against a second copy of the answer, or noise, that comes one read later and would be taken
    # for the answer to the next call. A probe is the first half of a send, so its connection does not rest:
    # there an answer that repeats the probe's is told by its body.
    REST_MS = 25.0
    # On a kept connection the last byte of a request is written so much later: an upstream that closed the
    # connection unseen resets it on the first bytes, what was not written whole has not run, and the request
    # goes out on a new connection. Guards unsafe requests, which nobody may repeat after a reset.
    HOLD_MS = 2.0
    CONNECT_MARGIN_MS = 100.0  # of the drain's grace, for lists that are read late

    def __init__(
        self,
        clock: Clock,
        memory_budget: MemoryBudget,
        descriptors: Descriptors,
        budget: int,
        idle_ms: float,
        connect_timeout_ms: float,
        grace_ms: float,
    ) -> None:
        self._clock = clock
        self._descriptors = descriptors
        descriptors.holders[self] = None
        self.memory_budget = memory_budget
        self._budget = budget
        # Guards against writing to a connection in the moment the upstream closes it for having stood idle.
        self._keep_ms = idle_ms - min(5_000.0, 0.2 * idle_ms)
        self._connect_timeout_ms = connect_timeout_ms
        self._grace_ms = max(0.0, grace_ms - self.CONNECT_MARGIN_MS)
        self.table: dict[int, UpstreamServer] = {}
        self._idle: dict[int, list[ServerConnection]] = {}  # by upstream, the one used last at the end
        self._open: set[ServerConnection] = set()
        self._connecting: set[asyncio.Task[None]] = set()
        self._sweeping = False

    @property
    def sockets(self) -> int:
        return len(self._open) + len(self._connecting)

    def update(
        self, number: int, address: Address, state: ServerState, started_ms: float, notified_ms: float
    ) -> None:
        """What discovery tells of one upstream; `notified_ms`: since when that counts as told."""
        upstream = self.table.get(number)
        if upstream is None:
            if state is not ServerState.GONE:
                told = 0.0 if state is ServerState.READY else notified_ms
                self.table[number] = UpstreamServer(number, address, state, started_ms, told)
            return
        same = upstream.move(address, state, started_ms, notified_ms)
        if not same or state is ServerState.GONE:
            self.close_idle(number)
        if state is ServerState.GONE:
            del self.table[number]  # calls on their way to it hold it, and see its state

    def grace_expired(self, upstream: UpstreamServer) -> bool:
        """Whether nothing new may go there any more."""
        return bool(upstream.notified_ms) and self._clock.now_ms() >= upstream.notified_ms + self._grace_ms

    def start(self, call: Attempt, timeout_ms: float) -> None:
        """Begin a call, on an idle connection or a new one."""
        call.timeout_ms = timeout_ms
        if call.flow is not None:  # always on a new connection; its time runs from when all of it is sent
            self.renew(call)
            return
        call.timer = self._clock.after(timeout_ms, call.time_out)
        idle = self._take(call.upstream)
        if idle is not None:
            if not call.write(idle):
                self.put(idle)
            return
        self.renew(call)

    def sent(self, call: Attempt) -> None:
        """All of its flow has left: from now on its answer is waited for."""
        if not call.ended:
            call.sent_ms = self._clock.now_ms()
            call.timer = self._clock.after(call.timeout_ms, call.time_out)

    def later(self, call: Callable[[], None]) -> None:
        self.after(self.HOLD_MS, call)

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._clock.after(delay_ms, call)

    def renew(self, call: Attempt) -> None:
        """Go on with a call on a new connection."""
        if (self.sockets >= self._budget and not self.close_oldest()) or not self._descriptors.make_room():
            call.end(Outcome.CONNECT_FAILED)
            return
        task = asyncio.get_running_loop().create_task(self._connect(call))
        self._connecting.add(task)
        task.add_done_callback(self._connecting.discard)

    async def _connect(self, call: Attempt) -> None:
        connection = ServerConnection(self, call.upstream)
        try:
            async with asyncio.timeout(self._connect_timeout_ms / 1000.0):
                await asyncio.get_running_loop().create_connection(lambda: connection, *connection.address)
        except OSError:  # refused, unreachable, out of descriptors, or not up in time
            call.end(Outcome.CONNECT_FAILED)
            return
        self._open.add(connection)
        if not connection.usable():
            self.closed(connection)
            connection.abort()
            call.end(Outcome.CONNECT_FAILED)
        elif not call.write(connection):
            self.put(connection)

    def _take(self, upstream: UpstreamServer) -> ServerConnection | None:
        idle = self._idle.get(upstream.number, [])
        now = self._clock.now_ms()
        for at in range(len(idle) - 1, -1, -1):
            connection = idle[at]
            unused = now - connection.idle_since_ms
            if connection.resting and unused < self.REST_MS:
                continue
            del idle[at]
            if unused < self._keep_ms and connection.usable():
                return connection
            connection.abort()
        return None

    def put(self, connection: ServerConnection) -> None:
        """Keep a connection for the next call, if it still leads to an upstream that takes new ones."""
        upstream = connection.upstream
        stays = self.table.get(upstream.number) is upstream and upstream.address == connection.address
        stays = stays and upstream.started_ms == connection.started_ms
        if not stays or connection not in self._open or upstream.state is not ServerState.READY:
            connection.abort()
            return
        connection.idle_since_ms = self._clock.now_ms()
        self._idle.setdefault(upstream.number, []).append(connection)
        if not self._sweeping:
            self._sweeping = True
            self._clock.after(self.SWEEP_MS, self._sweep)

    def _sweep(self) -> None:
        """Close what has stood idle for nearly as long as the upstream lets it."""
        oldest = self._clock.now_ms() - self._keep_ms + self.SWEEP_MS
        for number in list(self._idle):
            kept = []
            for connection in self._idle[number]:
                if connection.idle_since_ms > oldest:
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle[number] = kept
            else:
                del self._idle[number]
        self._sweeping = bool(self._idle)
        if self._sweeping:
            self._clock.after(self.SWEEP_MS, self._sweep)

    def close_oldest(self) -> bool:
        idle = [connection for group in self._idle.values() for connection in group]
        if not idle:
            return False
        oldest = min(idle, key=lambda connection: connection.idle_since_ms)
        self._idle[oldest.upstream.number].remove(oldest)
        self._open.discard(oldest)
        oldest.abort()
        return True

    def close_idle(self, number: int) -> None:
        for connection in self._idle.pop(number, []):
            connection.abort()

    def closed(self, connection: ServerConnection) -> None:
        self._open.discard(connection)
        idle = self._idle.get(connection.upstream.number)
        if idle and connection in idle:
            idle.remove(connection)

    def hand_over(self, to: ConnectionPool) -> list[int]:
        """Give the idle connections to servers that `to` has too, at the same address; their numbers."""
        given = []
        for number, idle in list(self._idle.items()):
            there = to.table.get(number)
            if there is None or there.state is not ServerState.READY:
                continue
            for connection in [one for one in idle if one.address == there.address]:
                idle.remove(connection)
                self._open.discard(connection)
                connection.move(to, there)
                to.adopt(connection)
            given.append(number)
        return given

    def adopt(self, connection: ServerConnection) -> None:
        """Take over an idle connection; it keeps the time since when it is idle."""
        self._open.add(connection)
        since = connection.idle_since_ms
        self.put(connection)
        connection.idle_since_ms = since

    def close(self) -> None:
        """At the end of the pool."""
        self._descriptors.holders.pop(self, None)
        for task in list(self._connecting):
            task.cancel()
        for connection in list(self._open):
            connection.abort()


def report_of(answer: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """The load report that an answer carries, in its body or in its header."""
    if answer is None or not names:
        return ()
    try:
        text = answer.body if from_body else answer.value(LOAD_HEADER)
    except FramingError:
        return ()
    return parse_report(text, names) if text else ()
