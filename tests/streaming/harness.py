"""Test harness: a service that streams long bodies between scripted servers and clients."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeVar

import uvloop

from sandhatch.balancing.actions import Action
from sandhatch.balancing.events import AttemptEnded, Event, Outcome
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.protocols import BalancerProtocol
from sandhatch.runtime.flow_statistics import FlowStatistics
from sandhatch.runtime.memory_budget import MemoryBudget
from sandhatch.service.request_record import RequestRecord
from sandhatch.service.service import Service
from testkit.bodies import Body, SeededBody, chunked, head, read_body
from testkit.clients import TRACE_NUMBERS, HttpClient
from testkit.streaming_server import Serve, StreamedRequest, StreamingServer, send_all
from testkit.wire import RESPONSE_TIMEOUT_S, read_head
from tests.service.harness import RunningService, serving

T = TypeVar("T")

KIB = 1024
MIB = 1024 * KIB

BODY = SeededBody(1)  # body that clients send
TEST_LIMIT_S = 90.0
# Small limits, so that 1 MiB is a long body: the replay buffer is 64 KiB and the ceiling 192 KiB.
BODY_LIMITS = {"ceiling_bytes": 192 * KIB, "writer_stall_ms": 20_000, "reader_stall_ms": 20_000}


class DecisionRecorder:
    """Proxy between a dispatcher and its balancer that records every event and action."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._balancer: BalancerProtocol = dispatcher.balancer
        self.events: list[Event] = []
        self.actions: list[Action] = []
        dispatcher.balancer = self

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.events.append(event)
        actions = self._balancer.handle(now_ms, event)
        self.actions.extend(actions)
        return actions

    def write_deadline_ms(self, request_id: int, attempt_number: int) -> float:
        return self._balancer.write_deadline_ms(request_id, attempt_number)

    def events_of(self, kind: type[T]) -> list[T]:
        return [event for event in self.events if isinstance(event, kind)]

    @property
    def attempt_ends(self) -> list[AttemptEnded]:
        return self.events_of(AttemptEnded)

    @property
    def outcomes(self) -> list[Outcome]:
        """Outcomes of all attempts that have ended, in order."""
        return [end.outcome for end in self.attempt_ends]


@dataclass
class Deployment:
    """A running service, its servers, and the recorder of its decisions."""

    running: RunningService
    servers: list[StreamingServer]
    decisions: DecisionRecorder

    @property
    def port(self) -> int:
        return self.running.port

    @property
    def service(self) -> Service:
        return self.running.service

    @property
    def records(self) -> list[RequestRecord]:
        """Records of the requests that have ended."""
        return self.running.records

    @property
    def memory_budget(self) -> MemoryBudget:
        return self.service.shared.memory_budget

    @property
    def flow_statistics(self) -> FlowStatistics:
        return self.service.shared.flow_statistics

    @property
    def dispatcher(self) -> Dispatcher:
        """Dispatcher of the only pool."""
        (pool,) = self.service.pools.by_fingerprint.values()
        return pool.dispatcher

    @property
    def server(self) -> StreamingServer:
        """The first server."""
        return self.servers[0]

    @property
    def requests_seen(self) -> int:
        """Number of requests that the servers have received together."""
        return sum(len(server.received_requests) for server in self.servers)

    def active_configuration(self) -> Any:
        """Copy of the active configuration as plain data."""
        return self.service.transactions.active.checked.model.model_dump(mode="json")

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until the condition holds."""
        await self.running.wait_until(condition)

    async def wait_until_server_idle(self) -> None:
        """Wait until no connection to the first server is open."""
        await self.wait_until(lambda: self.server.open == 0)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight and every flow is closed."""
        pools = self.service.pools.by_fingerprint
        await self.wait_until(lambda: all(not pool.dispatcher.open_exchange_count for pool in pools.values()))
        await self.wait_until(lambda: not self.flow_statistics.open)
        assert self.flow_statistics.ceiling_exceeded_count == 0


def make_config(
    servers: list[StreamingServer], request: Any, response: Any, **overrides: Any
) -> dict[str, Any]:
    bodies = {"request": BODY_LIMITS | request, "answer": BODY_LIMITS | response} | overrides.pop(
        "bodies", {}
    )
    times = {"aim_ms": 8_000, "deadline_ms": 15_000, "bodies": bodies} | overrides.pop("times", {})
    return {
        "format": 1,
        "listeners": {"front": {"address": "127.0.0.1:0"}},
        "classes": {"look": {"effect": "safe"} | times, "draw": {"effect": "unsafe"} | times},
        "default_class": "draw",
        "watch": {"enabled": False},
        "pools": {
            "drawings": {
                "servers": {f"s{n}": {"address": f"127.0.0.1:{s.port}"} for n, s in enumerate(servers)},
                "new_servers": "warm",
                "max_attempts": 3,
                "connect_timeout_ms": 10_000,  # long, so that connects don't time out on a busy machine
            }
            | overrides.pop("pool", {})
        },
        "default": {"pool": "drawings"},
    } | overrides


@asynccontextmanager
async def deployed(
    *handlers: Serve, request: Any = None, response: Any = None, **overrides: Any
) -> AsyncIterator[Deployment]:
    servers = [await StreamingServer(serve).start() for serve in handlers]
    try:
        async with serving(make_config(servers, request or {}, response or {}, **overrides)) as running:
            pools = running.service.pools.by_fingerprint.values()
            await running.wait_until(lambda: all(pool.dispatcher.has_ready_server for pool in pools))
            for server in servers:
                server.connections = 0  # don't count the connections of earlier health checks
            yield Deployment(running, servers, DecisionRecorder(next(iter(pools)).dispatcher))
    finally:
        for server in servers:
            server.close()


def upload_head(length: int | None, target: str = "/drawings", **headers: str) -> bytes:
    framing = {"Transfer-Encoding": "chunked"} if length is None else {"Content-Length": str(length)}
    trace = f"d0a1{next(TRACE_NUMBERS):012x}"
    return head(
        f"POST {target} HTTP/1.1",
        **({"Host": "drawings.example", "X-Trace-Id": trace} | framing | headers),
    )


def download_head(target: str = "/drawings", **headers: str) -> bytes:
    trace = f"d0a2{next(TRACE_NUMBERS):012x}"
    return head(f"GET {target} HTTP/1.1", **({"Host": "d", "X-Trace-Id": trace, "X-Qos": "look"} | headers))


class ResponseHead(NamedTuple):
    """Status and header fields of a response; field names are in lower case."""

    status: int
    headers: dict[str, str]


class StreamedResponse(NamedTuple):
    """Status and body of a response."""

    status: int
    body: Body


async def send_upload(client: HttpClient, size: int, chunks: bool = False) -> None:
    """Send a request with a body of `size` bytes, at the rate at which the balancer reads it."""
    client.send(upload_head(None if chunks else size))
    await send_body(client, size, chunks)
    if chunks:
        client.send(b"0\r\nX-Sum: 7\r\nAuthorization: me\r\n\r\n")


async def send_body(
    client: HttpClient,
    size: int,
    chunks: bool = False,
    max_piece_bytes: int = 0,
    pause_s: float | None = None,
) -> None:
    """Send a body of `size` bytes in pieces of at most `max_piece_bytes`, with a pause after each."""
    for piece in BODY.pieces(size, max_piece_bytes):
        client.send(chunked(piece) if chunks else bytes(piece))
        await client.writer.drain()
        if pause_s is not None:
            await asyncio.sleep(pause_s)


async def read_response_head(client: HttpClient, timeout_s: float = RESPONSE_TIMEOUT_S) -> ResponseHead:
    async with asyncio.timeout(timeout_s):
        received = await read_head(client.reader)
    assert received is not None, "the connection ended without a response"
    return ResponseHead(int(received[0].split()[1]), received[1])


async def read_response(client: HttpClient) -> StreamedResponse:
    status, headers = await read_response_head(client)
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        return StreamedResponse(status, await read_body(client.reader, headers))


async def assert_stored(client: HttpClient, size: int) -> None:
    """Expect the response of `store_upload` to a complete and unchanged body of `size` bytes."""
    status, headers = await read_response_head(client)
    text = await client.reader.readexactly(int(headers["content-length"]))
    assert (status, text.decode()) == (200, f"{size} {BODY.crc(size)}")


async def send_text_response(request: StreamedRequest, text: str, status: int = 200, **headers: str) -> None:
    lines = {"Content-Length": str(len(text))} | headers
    await request.connection.send(head(f"HTTP/1.1 {status} X", **lines) + text.encode())


async def store_upload(request: StreamedRequest) -> None:
    """Read the complete body and respond with its size and checksum."""
    body = await request.body()
    if body.complete:
        await send_text_response(request, f"{body.size} {body.crc}")


def serve_body(size: int, seed: int = 2, chunks: bool = False) -> Serve:
    """Returns a handler that responds to each request with a body of `size` bytes."""

    async def serve(request: StreamedRequest) -> None:
        framing = {"Transfer-Encoding": "chunked"} if chunks else {"Content-Length": str(size)}
        await request.connection.send(head("HTTP/1.1 200 OK", **framing))
        await send_all(request.connection, SeededBody(seed).pieces(size), chunks)
        if chunks:
            await request.connection.send(b"0\r\nX-Sum: 7\r\n\r\n")

    return serve


def run(scenario: Any, limit_s: float = TEST_LIMIT_S) -> None:
    """Run a test on the program's event loop with a time limit."""

    async def bounded() -> None:
        async with asyncio.timeout(limit_s):
            await scenario

    uvloop.run(bounded())
