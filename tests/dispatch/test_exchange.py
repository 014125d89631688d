"""The table of open exchanges: one answer, and removal once no attempt is pending."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
        self.answers: list[tuple[int, Headers, bytes]] = []

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.answers.append((status, headers, body))

    def begin_answer(self, status: int, headers: Headers, length: int | None, flow: Flow) -> None: ...

    def end_answer(self) -> None: ...

    def abort_answer(self) -> None: ...

    def write(self, piece: Piece) -> None: ...

    def finish(self, trailers: Headers) -> None: ...

    def has_disconnected(self) -> bool:
        return False


def with_exchange(check: Callable[[ExchangeTable, Exchange, RecordingClient, list[Exchange]], None]) -> None:
    """Check a table that has one open exchange; the list receives it when it is done."""

    async def work() -> None:
        shared = SharedResources(asyncio.get_running_loop(), "test", 64, 1_000.0, 100)
        exchanges = ExchangeTable(shared.clock, shared.in_flight_ids)
        client = RecordingClient()
        done: list[Exchange] = []
        exchange = Exchange(1, client, Message(), shared.clock.now_ms() + 500.0, b"id", done.append)
        exchanges.add(exchange)
        assert b"id" in shared.in_flight_ids.open
        check(exchanges, exchange, client, done)

    run(work())


def test_second_answer_is_dropped() -> None:
    def check(
        exchanges: ExchangeTable, exchange: Exchange, client: RecordingClient, done: list[Exchange]
    ) -> None:
        exchanges.answer(exchange, 200, [(b"A", b"1")], b"first")
        exchanges.answer(exchange, 502)
        assert client.answers == [(200, [(b"A", b"1")], b"first")]
        assert exchange.status == 200

    with_exchange(check)


def test_answered_exchange_stays_open_while_an_attempt_is_pending() -> None:
    def check(
        exchanges: ExchangeTable, exchange: Exchange, client: RecordingClient, done: list[Exchange]
    ) -> None:
        exchange.pending_attempts = 1
        exchanges.answer(exchange, 200)
        assert (len(exchanges), exchanges.unanswered, done) == (1, 0, [])
        exchange.pending_attempts = 0
        exchanges.remove_if_done(exchange)
        exchanges.remove_if_done(exchange)
        assert (len(exchanges), done) == (0, [exchange])

    with_exchange(check)
