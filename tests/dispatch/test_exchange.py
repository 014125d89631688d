"""Tests the table of open exchanges: one response, and removal of an exchange without pending attempts."""

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
    """A client that records the status, headers and body of its responses."""

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
    """A table with one open exchange, which is appended to `done` when it is removed."""

    def __init__(self) -> None:
        shared = SharedResources(asyncio.get_running_loop(), "test", 64, 1_000.0, 100)
        self.table = ExchangeTable(shared.clock, shared.in_flight_ids)
        self.client = RecordingClient()
        self.done: list[Exchange] = []
        deadline_ms = shared.clock.now_ms() + 500.0
        self.exchange = Exchange(1, self.client, Message(), deadline_ms, b"id", self.done.append)
        self.table.add(self.exchange)
        assert b"id" in shared.in_flight_ids.in_flight


def test_second_response_is_dropped() -> None:
    async def scenario() -> None:
        open_exchange = OpenExchange()
        open_exchange.table.respond(open_exchange.exchange, 200, [(b"A", b"1")], b"first")
        open_exchange.table.respond(open_exchange.exchange, 502)
        assert open_exchange.client.responses == [(200, [(b"A", b"1")], b"first")]
        assert open_exchange.exchange.status == 200

    run(scenario())


def test_exchange_with_a_response_stays_open_while_an_attempt_is_pending() -> None:
    async def scenario() -> None:
        open_exchange = OpenExchange()
        open_exchange.exchange.pending_attempts = 1
        open_exchange.table.respond(open_exchange.exchange, 200)
        assert (len(open_exchange.table), open_exchange.table.pending_requests, open_exchange.done) == (
            1,
            0,
            [],
        )
        open_exchange.exchange.pending_attempts = 0
        open_exchange.table.remove_if_done(open_exchange.exchange)
        open_exchange.table.remove_if_done(open_exchange.exchange)
        assert (len(open_exchange.table), open_exchange.done) == (0, [open_exchange.exchange])

    run(scenario())


def test_closed_exchange_releases_its_body_while_an_attempt_is_pending() -> None:
    # Guards against retained bodies that the memory budget no longer counts, as of clients that have left.
    async def scenario() -> None:
        open_exchange = OpenExchange()
        exchange = open_exchange.exchange
        exchange.message.body = b"x" * 60_000
        exchange.pending_attempts = 1
        open_exchange.table.remove_if_done(exchange)
        assert len(exchange.message.body) == 60_000
        open_exchange.table.respond(exchange, 502)
        assert exchange.message.body == b""
        assert open_exchange.done == []

    run(scenario())
