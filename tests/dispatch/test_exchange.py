"""The table of open exchanges: one answer, and removal once no attempt is pending."""

from __future__ import annotations

import asyncio

from sandhatch.dispatch.exchange import Exchange, ExchangeTable
from sandhatch.http1.message import Message
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.streaming.flow import Flow
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece
from tests.event_loop import run


class RecordingClient:
    """A client that records its answers: status, headers and body."""

    unsent = 0

    def __init__(self) -> None:
        self.responses: list[tuple[int, Headers, bytes]] = []

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        self.responses.append((status, headers, body))

    def begin_response(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None: ...

    def end_response(self) -> None: ...

    def abort_response(self) -> None: ...

    def write(self, piece: Piece) -> None: ...

    def finish(self, trailers: Headers) -> None: ...

    def has_disconnected(self) -> bool:
        return False


class OpenExchange:
    """A table with one open exchange; `done` receives the exchange when it is done."""

    def __init__(self) -> None:
        shared = SharedResources(asyncio.get_running_loop(), "test", 64, 1_000.0, 100)
        self.table = ExchangeTable(shared.clock, shared.in_flight_ids)
        self.client = RecordingClient()
        self.done: list[Exchange] = []
        deadline_ms = shared.clock.now_ms() + 500.0
        self.exchange = Exchange(1, self.client, Message(), deadline_ms, b"id", self.done.append)
        self.table.add(self.exchange)
        assert b"id" in shared.in_flight_ids.open


def test_second_answer_is_dropped() -> None:
    async def work() -> None:
        opened = OpenExchange()
        opened.table.respond(opened.exchange, 200, [(b"A", b"1")], b"first")
        opened.table.respond(opened.exchange, 502)
        assert opened.client.responses == [(200, [(b"A", b"1")], b"first")]
        assert opened.exchange.status == 200

    run(work())


def test_answered_exchange_stays_open_while_an_attempt_is_pending() -> None:
    async def work() -> None:
        opened = OpenExchange()
        opened.exchange.pending_attempts = 1
        opened.table.respond(opened.exchange, 200)
        assert (len(opened.table), opened.table.pending_requests, opened.done) == (1, 0, [])
        opened.exchange.pending_attempts = 0
        opened.table.remove_if_done(opened.exchange)
        opened.table.remove_if_done(opened.exchange)
        assert (len(opened.table), opened.done) == (0, [opened.exchange])

    run(work())
