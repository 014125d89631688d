"""The engine of one pool: owns its balancer and its request table. Events go in, actions come out, and
nothing is decided here: whom to send to, when again, refuse or fail is all the balancer's.
"""

from __future__ import annotations

import math
import traceback
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial
from typing import NamedTuple, Protocol

from sandhatch.balancing import Balancer
from sandhatch.balancing.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    GuidanceRejected,
    Log,
    Probe,
    Reject,
    Send,
    SetTimer,
    WatchList,
)
from sandhatch.balancing.endpoint_freshness import notified_after_ms
from sandhatch.balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ClientDisconnected,
    Event,
    Guidance,
    ListKind,
    ListUpdate,
    Outcome,
    OwnSharesLeased,
    ProbeEnded,
    RequestArrived,
    ServerEntry,
    ServerState,
    TimerFired,
    Unrepeatable,
)
from sandhatch.balancing.settings import ReportMode, Settings
from sandhatch.discovery.client import Listing
from sandhatch.http1.message import Message
from sandhatch.runtime.address import spell
from sandhatch.runtime.clock import Timer
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.flow import Flow, Side
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Sink
from sandhatch.upstream.pool import LOAD_HEADER, Attempt, ConnectionPool, report_of


class Decisions(Protocol):
    """What decides: `sandhatch.balancing.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]: ...


class DownstreamClient(Sink, Protocol):
    """Where an answer goes: whole, or begun, and then as a flow's sink until `finished` or `cut`."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...

    def begin_answer(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None:
        """The head of the one answer; `length` of its body, None if only its end will tell. `flow` brings it,
        and is told of what has drained.
        """

    def finished(self) -> None:
        """All of the answer has left."""

    def cut(self) -> None:
        """The answer that was begun has no end: the caller must be able to tell."""

    def has_disconnected(self) -> bool:
        """Whether it is known to have left, also where nothing is read from it at present."""


class Exchange:
    """One request, from its arrival until it is answered and its last attempt has ended."""

    __slots__ = (
        "answer",
        "answered_ms",
        "answering",
        "attempts",
        "client",
        "cut",
        "deadline_ms",
        "done",
        "message",
        "number",
        "out",
        "over",
        "servers",
        "status",
        "timer",
        "trace",
    )

    def __init__(
        self,
        number: int,
        client: DownstreamClient,
        message: Message,
        deadline_ms: float,
        trace: bytes,
        done: Done | None = None,
    ) -> None:
        self.number = number
        self.client = client
        self.message = message
        self.deadline_ms = deadline_ms
        self.trace = trace
        self.attempts: list[Attempt | None] = []  # by their numbers; none for one that was never sent
        self.out = 0  # attempts whose end is still owed to the balancer
        self.over = False  # answered, or the client is gone
        self.timer: Timer | None = None
        self.done = done  # told when it is answered and its last attempt has ended
        self.servers: list[int] = []  # of its attempts, those never written included
        self.status = 0  # of its answer; 0 if the client left before
        self.answered_ms = 0.0
        self.answer: Flow | None = None  # its answer, while that is passed on as it arrives
        self.answering = -1  # the attempt that it comes from
        self.cut = ""  # why its body or its answer was cut off: "client", "server" or "time"

    @property
    def flows(self) -> list[Flow]:
        return [flow for flow in (self.answer, self.message.flow) if flow is not None and not flow.closed]

    def close_flows(self) -> None:
        for flow in self.flows:
            flow.close()

    def end_calls(self, outcome: Outcome) -> None:
        for call in self.attempts:
            if call is not None:
                call.end(outcome)


Done = Callable[[Exchange], None]


class _RequestWatch:
    """Hears of the flow of a request's body."""

    def __init__(self, dispatcher: Dispatcher, exchange: Exchange) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange

    def unrepeatable(self) -> None:
        self._dispatcher.unrepeatable(self._exchange)

    def passed_on(self) -> None:
        for call in self._exchange.attempts:
            if call is not None:
                self._dispatcher.connection_pool.sent(call)


class _AnswerWatch:
    """Hears of the flow of an answer's body."""

    def __init__(self, dispatcher: Dispatcher, exchange: Exchange) -> None:
        self._dispatcher = dispatcher
        self._exchange = exchange

    def unrepeatable(self) -> None:
        """An answer that has begun belongs to the caller from its first byte."""

    def passed_on(self) -> None:
        self._dispatcher.passed_on(self._exchange)


class Source(Protocol):
    """Where a pool's list comes from."""

    def start(self) -> None: ...

    def stop(self) -> None: ...

    def fetch(self) -> None: ...

    def watch(self, order: WatchList) -> None:
        """Make that call in place of the one that is out; its end is told under its number."""

    def republish(self) -> None:
        """Tell the whole list as last known, or fetch it."""


class Observer(Protocol):
    """Hears what a pool's balancer is given and what it decides; it changes nothing."""

    def saw(self, event: Event, actions: Sequence[Action]) -> None: ...

    def on_endpoint_list(self, update: ListUpdate, addresses: Sequence[str], why: str = "") -> None: ...


SourceMaker = Callable[[Callable[[Listing], None], Callable[[str], None]], Source]


class PoolPlan(NamedTuple):
    """What one pool is run by. `sockets` is the most connections to its servers; `drain_grace_ms` the time
    from the word that a server drains to the last send that may still go there.
    """

    settings: Settings
    seed: int
    sockets: int
    drain_grace_ms: float
    report_names: tuple[str, ...] = ()


class Dispatcher:
    PROBE_TIMEOUT_MS = 50.0  # for its answer; a new connection may take its own time before that
    PACE_MS = 250.0  # between two looks at how fast the flows move

    def __init__(
        self, plan: PoolPlan, shared: SharedResources, source: SourceMaker, decisions: Decisions | None = None
    ) -> None:
        settings = plan.settings
        self.plan = plan
        self.clock = shared.clock
        self.logger = shared.logger
        self.memory_budget = shared.memory_budget
        self._flows = shared.flows
        self._streaming: dict[Exchange, None] = {}  # exchanges with a flow
        self._pacing = False
        self.connection_pool = ConnectionPool(
            self.clock,
            self.memory_budget,
            shared.descriptors,
            plan.sockets,
            settings.connection_idle_ms,
            settings.connect_timeout_ms,
            plan.drain_grace_ms,
        )
        self.source = source(self.on_listing, self.logger.line)
        self.balancer: Decisions = decisions or Balancer(settings, plan.seed)
        self._exchanges: dict[int, Exchange] = {}
        self._in_flight_ids = shared.in_flight_ids
        self._next = 1
        self._entries: dict[int, ServerEntry] = {}  # as last told
        self._listed_ms = math.inf  # when the list held was last a whole answer
        self._notified_after_ms = notified_after_ms(settings) if settings.one_shot_watches else math.inf
        self._kept: frozenset[int] | None = None  # servers that may be sent to; None stands for all
        self._events: deque[Event] = deque()
        self._busy = False
        reports = settings.report_mode is not ReportMode.OFF
        self._report_names = plan.report_names if reports else ()
        self.observer: Observer | None = None
        self._on_guidance_rejected: Callable[[GuidanceRejected], None] = lambda rejected: None
        self._inline = reports and settings.report_mode is ReportMode.INLINE
        self._probe_target = b"/status/load" if reports else b"/health"

    @property
    def ready(self) -> bool:
        """Whether there is a list that requests can be served from."""
        return any(item.state is ServerState.READY for item in self.connection_pool.table.values())

    @property
    def open(self) -> int:
        """Requests that are not answered, or have an attempt out."""
        return len(self._exchanges)

    @property
    def unanswered(self) -> int:
        """Requests that still wait for their answer."""
        return sum(not exchange.over for exchange in self._exchanges.values())

    # ------------------------------------------------ events in

    def arrive(
        self,
        client: DownstreamClient,
        message: Message,
        time_left_ms: float,
        trace: bytes,
        event: RequestArrived,
        done: Done | None = None,
    ) -> int:
        """A request has come, whole or with a flow, under an id that is not open; returns its number. `done`
        is told once, when it is answered, or its client gone, and none of its attempts is out.
        """
        number = self._next
        self._next += 1
        event.request = number
        exchange = Exchange(number, client, message, self.clock.now_ms() + time_left_ms, trace, done)
        self._exchanges[number] = exchange
        self._in_flight_ids.begin(trace)
        exchange.timer = self.clock.after(time_left_ms, lambda: self._overdue(exchange))
        if message.flow is not None:
            message.flow.watch(_RequestWatch(self, exchange))
            self._stream(exchange)
        self._deliver(event)
        return number

    def client_disconnected(self, number: int, status: int = 0) -> None:
        """The caller has left, or its body is of no use: `status` is what it is told of that."""
        exchange = self._exchanges.get(number)
        if exchange is None or exchange.over:
            return
        streamed = bool(exchange.flows)
        if streamed:
            exchange.cut = "client"
        self._close(exchange, status)
        self._deliver(ClientDisconnected(number))
        if streamed:  # what is under way has lost its other end
            exchange.end_calls(Outcome.CANCELLED)
        self._forget(exchange)

    def on_listing(self, listing: Listing) -> None:
        if self._kept is not None:
            listing = self._narrowed(listing, self._kept)
        now = self.clock.now_ms()
        # The grace runs from when the word counted as told, which is before it came where the list is old.
        notified_ms = min(now, self._listed_ms + self._notified_after_ms)
        if self._listed_ms == math.inf or listing.kind in (ListKind.FULL, ListKind.DELTA):
            self._listed_ms = now
        whole = listing.kind in (ListKind.FULL, ListKind.CACHED)
        named = {entry.server for entry in listing.entries}
        if whole:
            for upstream in list(self.connection_pool.table.values()):
                if upstream.number not in named:  # absent from a whole list: gone
                    self.connection_pool.update(
                        upstream.number, upstream.address, ServerState.GONE, upstream.started_ms, notified_ms
                    )
            self._entries = {number: row for number, row in self._entries.items() if number in named}
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self._entries[entry.server] = entry
            self.connection_pool.update(entry.server, address, entry.state, entry.started_ms, notified_ms)
        update = ListUpdate(listing.kind, listing.version, listing.entries, listing.call)
        if self.observer is not None:
            self.observer.on_endpoint_list(update, list(map(spell, listing.addresses)), listing.why)
        self._deliver(update)

    def advise(self, event: Guidance | OwnSharesLeased) -> None:
        """What planners say reaches the balancer as any event does."""
        self._deliver(event)

    def on_guidance_rejected(self, told: Callable[[GuidanceRejected], None]) -> None:
        """Who hears of advice that the balancer has refused."""
        self._on_guidance_rejected = told

    def observe(self, observer: Observer) -> None:
        """From here on it is told of everything, with the list as it is now."""
        self.observer = observer
        entries = [replace(row) for row in self._entries.values() if row.server in self.connection_pool.table]
        update = ListUpdate(ListKind.FULL, 0, entries)
        observer.on_endpoint_list(
            update, [spell(self.connection_pool.table[row.server].address) for row in entries]
        )

    def withdraw(self, keep: frozenset[int], notified_ms: float) -> None:
        """Nothing new goes to any server but those to keep: another configuration in force since
        `notified_ms` has no other for this pool. What its source still tells is narrowed the same way until
        `restore`.
        """
        self._kept = keep
        entries = []
        for upstream in list(self.connection_pool.table.values()):
            if upstream.state is ServerState.READY and upstream.number not in keep:
                self.connection_pool.update(
                    upstream.number, upstream.address, ServerState.DRAINING, upstream.started_ms, notified_ms
                )
                entries.append(replace(self._entries[upstream.number], state=ServerState.DRAINING))
        if entries:
            self._deliver(ListUpdate(ListKind.DELTA, 0, entries))

    @staticmethod
    def _narrowed(listing: Listing, keep: frozenset[int]) -> Listing:
        entries = tuple(
            entry
            if entry.server in keep or entry.state is not ServerState.READY
            else replace(entry, state=ServerState.DRAINING)
            for entry in listing.entries
        )
        return replace(listing, entries=entries)

    def restore(self) -> None:
        """What `withdraw` took counts again: the source tells its whole list anew."""
        if self._kept is not None:
            self._kept = None
            self.source.republish()

    def _deliver(self, event: Event) -> None:
        """Hand over an event; one that comes while another is handled waits for its turn."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(self.clock.now_ms(), event)
            if self.observer is not None:
                self.observer.saw(event, actions)
            for action in actions:
                self._act(action)
        except Exception as problem:
            # Guards the other requests: whatever went wrong with this one, it alone is answered 500.
            number = getattr(event, "request", event.cookie if isinstance(event, TimerFired) else 0)
            exchange = self._exchanges.get(number)
            trace = exchange.trace.decode("latin-1") if exchange is not None else "-"
            frames = traceback.format_exc(limit=-3).strip().replace("\n", " | ")
            self.logger.line(f"request {trace}: {type(event).__name__}: {problem!r}: {frames}")
            if exchange is not None:
                self._answer(exchange, 500)

    # ------------------------------------------------ actions out

    def _act(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, SetTimer):
            cookie = action.cookie
            self.clock.after(max(0.0, action.delay_ms), lambda: self._deliver(TimerFired(cookie)))
        elif isinstance(action, Probe):
            self._probe(action.server)
        elif isinstance(action, Reject):
            headers: Headers = []
            if action.wait_ms > 0.0:
                headers.append((b"Retry-After", b"%.3f" % (action.wait_ms / 1000.0)))
            self._answer_number(action.request, 503, headers)
        elif isinstance(action, Fail):
            self._answer_number(action.request, 502)
        elif isinstance(action, Cancel):
            exchange = self._exchanges.get(action.request)
            if exchange is not None and 0 <= action.attempt < len(exchange.attempts):
                call = exchange.attempts[action.attempt]
                if call is not None:
                    call.end(Outcome.CANCELLED)
        elif isinstance(action, CloseIdle):
            self.connection_pool.close_idle(action.server)
        elif isinstance(action, FetchList):
            self.source.fetch()
        elif isinstance(action, WatchList):
            self.source.watch(action)
        elif isinstance(action, Log):
            self.logger.line(action.text)
        elif isinstance(action, GuidanceRejected):
            self._on_guidance_rejected(action)
        else:
            self.logger.line(f"{type(action).__name__} is not built")

    def _answer_number(self, number: int, status: int, headers: Headers | None = None) -> None:
        exchange = self._exchanges.get(number)
        if exchange is not None:
            self._answer(exchange, status, headers)

    def _answer(
        self, exchange: Exchange, status: int, headers: Headers | None = None, body: bytes = b""
    ) -> None:
        """The one final answer; a second is dropped."""
        if exchange.over:
            return
        self._close(exchange, status)
        exchange.client.answer(status, headers or [], body)
        self._forget(exchange)

    def _close(self, exchange: Exchange, status: int) -> None:
        exchange.over = True
        exchange.status = status
        exchange.answered_ms = self.clock.now_ms()
        if exchange.timer is not None:
            exchange.timer.cancel()
        if exchange.answer is not None or exchange.message.flow is not None:
            exchange.close_flows()

    def _forget(self, exchange: Exchange) -> None:
        if exchange.over and not exchange.out and self._exchanges.pop(exchange.number, None) is not None:
            self._in_flight_ids.end(exchange.trace, self.clock.now_ms())
            done, exchange.done = exchange.done, None
            if done is not None:
                done(exchange)

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline: attempts out end first, then the engine answers what the balancer still owes."""
        if any(not flow.done for flow in exchange.flows):
            if exchange.answer is not None:
                self._cut(exchange, "time")
            else:  # the time went in the body's passing, of which either side may have had its part
                exchange.cut = "time"
                self._answer(exchange, 504)
            exchange.end_calls(Outcome.CANCELLED)
            return
        for call in exchange.attempts:
            if call is not None:
                call.time_out()
        self._answer(exchange, 504)

    # ------------------------------------------------ bodies that are passed on as they arrive

    def unrepeatable(self, exchange: Exchange) -> None:
        self._deliver(Unrepeatable(exchange.number))

    def _stream(self, exchange: Exchange) -> None:
        self._streaming[exchange] = None
        if not self._pacing:
            self._pacing = True
            self.clock.after(self.PACE_MS, self._pace)

    def _pace(self) -> None:
        """Give up what one side holds back for longer than it may."""
        now = self.clock.now_ms()
        for exchange in list(self._streaming):
            flows = exchange.flows
            if not flows:
                self._streaming.pop(exchange, None)
            for flow in flows:
                found = flow.too_slow(now)
                if found is not None:
                    self._too_slow(exchange, flow, found.side, found.reason)
        self._pacing = bool(self._streaming)
        if self._pacing:
            self.clock.after(self.PACE_MS, self._pace)

    def _too_slow(self, exchange: Exchange, flow: Flow, side: Side, why: str) -> None:
        answer = flow is exchange.answer
        server = answer is (side is Side.SOURCE)
        what = "answer" if answer else "request"
        trace = exchange.trace.decode("latin-1")
        self.logger.line(f"request {trace}: {'server' if server else 'client'} slow at its {what}: {why}")
        if server:
            exchange.end_calls(Outcome.TIMEOUT)  # and the balancer learns which server it was
            return
        begun = exchange.answer is not None
        self.client_disconnected(exchange.number, exchange.status if begun else 408)
        if begun:
            exchange.client.cut()
        else:
            exchange.client.answer(408, [], b"the request did not come fast enough\n")

    def _opened(
        self, exchange: Exchange, attempt: int, call: Attempt, answer: Message, reserve: int
    ) -> Flow | None:
        """An answer begins, with so many bytes booked for it: from here on it is the caller's, and nothing is
        tried again.
        """
        terms = exchange.message.terms
        if exchange.over or answer.status != 200 or terms is None or exchange.answer is not None:
            return None
        for timer in (call.timer, exchange.timer):
            if timer is not None:
                timer.cancel()
        now = self.clock.now_ms()
        if exchange.message.flow is None:  # the time for a long body has not begun to run before
            exchange.timer = self.clock.after(terms.total_ms, lambda: self._overdue(exchange))
        else:
            exchange.timer = self.clock.after(exchange.deadline_ms - now, lambda: self._overdue(exchange))
        assert call.connection is not None
        flow = Flow(
            terms.answer, self.clock, self.memory_budget, self._flows, call.connection, reserve, lends=False
        )
        flow.watch(_AnswerWatch(self, exchange))
        exchange.answer = flow
        exchange.answering = attempt
        exchange.status = answer.status
        self._stream(exchange)
        server = call.upstream.number
        self._deliver(AnswerStarted(exchange.number, attempt, server, now - call.sent_ms))
        headers = answer.passed_on(LOAD_HEADER)
        exchange.client.begin_answer(answer.status, headers, answer.length, flow)
        if not flow.closed:
            flow.attach(exchange.client)
        return flow

    def passed_on(self, exchange: Exchange) -> None:
        """All of an answer has left."""
        if exchange.over:
            return
        self._close(exchange, exchange.status)
        exchange.client.finished()
        self._forget(exchange)

    def _cut(self, exchange: Exchange, why: str) -> None:
        """The answer that was begun ends here, without its end."""
        if exchange.over:
            return
        exchange.cut = why
        self._close(exchange, exchange.status)
        exchange.client.cut()

    # ------------------------------------------------ attempts

    def _send(self, action: Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None:
            self.logger.line(f"a send for request {action.request}, which is over")
            return
        now = self.clock.now_ms()
        number = len(exchange.attempts)
        left = exchange.deadline_ms - now
        timeout = min(left, action.timeout_ms) if action.timeout_ms else left
        upstream = self.connection_pool.table.get(action.server)
        self._look_for(exchange)
        exchange.attempts.append(None)
        exchange.servers.append(action.server)
        exchange.out += 1
        flow = exchange.message.flow
        discarded = exchange.over or timeout <= 0.0 or number >= self.plan.settings.max_attempts
        # A body in passing has one way to go, and goes it from its first byte.
        discarded = discarded or exchange.answer is not None
        discarded = discarded or (flow is not None and (not flow.repeatable or exchange.out > 1))
        if discarded or upstream is None:
            self._attempt_ended(exchange, number, action.server, Outcome.DISCARDED, now, None)
            return

        def request() -> Message:
            left = now + timeout - self.clock.now_ms()
            if flow is not None:  # the time-out runs from its last byte, and the server's time with it
                left = exchange.deadline_ms - self.clock.now_ms()
            return self._request_of(exchange.message, left)

        def blocked() -> Outcome | None:
            self._look_for(exchange)
            if exchange.over or self.connection_pool.grace_expired(upstream):
                return Outcome.DISCARDED
            return None

        def finish(outcome: Outcome, answer: Message | None) -> None:
            self._attempt_ended(exchange, number, action.server, outcome, now, answer)

        call = Attempt(upstream, request, blocked, finish, now)
        call.flow = flow
        call.terms = exchange.message.terms
        if call.terms is not None:
            call.opened = partial(self._opened, exchange, number)
        exchange.attempts[number] = call
        self.connection_pool.start(call, timeout)

    def _look_for(self, exchange: Exchange) -> None:
        """Its caller, before anything is begun for it: guards against attempts for one whose end waits unread
        or unseen, whatever the request has waited for.
        """
        if not exchange.over and exchange.client.has_disconnected():
            self.client_disconnected(exchange.number)

    def _attempt_ended(
        self,
        exchange: Exchange,
        number: int,
        server: int,
        outcome: Outcome,
        sent_ms: float,
        answer: Message | None,
    ) -> None:
        call = exchange.attempts[number]
        if exchange.answer is not None:
            if number == exchange.answering and not exchange.answer.ended:
                self._cut(exchange, "server")
        elif outcome is Outcome.OK and answer is not None and not exchange.over:
            self._close(exchange, 200)
            headers = answer.passed_on(LOAD_HEADER)
            exchange.client.answer(200, headers, answer.body)
        exchange.out -= 1
        report = report_of(answer, self._report_names, False) if self._inline else ()
        if call is not None:
            sent_ms = call.sent_ms  # what a caller took to send a long body says nothing of the server
        final = exchange.over or exchange.answer is not None
        spent = self.clock.now_ms() - sent_ms
        self._deliver(AttemptEnded(exchange.number, number, server, outcome, final, spent, report))
        self._forget(exchange)

    @staticmethod
    def _request_of(message: Message, left_ms: float) -> Message:
        request = Message()
        request.method = message.method
        request.target = message.target
        headers = request.headers = message.passed_on(b"x-expires-in-ms")
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, int(left_ms))))  # written, and looked up no more
        request.body = message.body
        request.length = message.length
        return request

    # ------------------------------------------------ probes

    def _probe(self, server: int) -> None:
        now = self.clock.now_ms()
        upstream = self.connection_pool.table.get(server)
        if upstream is None:
            self._deliver(ProbeEnded(server, Outcome.CONNECT_FAILED))
            return
        host = f"{upstream.address[0]}:{upstream.address[1]}".encode()
        request = Message()
        request.method, request.target = b"GET", self._probe_target
        request.add(b"Host", host)

        def finish(outcome: Outcome, answer: Message | None) -> None:
            report = report_of(answer, self._report_names, True)
            self._deliver(ProbeEnded(server, outcome, self.clock.now_ms() - now, report))

        call = Attempt(
            upstream,
            lambda: request,
            lambda: Outcome.DISCARDED if self.connection_pool.grace_expired(upstream) else None,
            finish,
            now,
            probe=True,
        )
        self.connection_pool.start(call, self.PROBE_TIMEOUT_MS + self.plan.settings.connect_timeout_ms)
