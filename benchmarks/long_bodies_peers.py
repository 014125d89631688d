"""Clients and servers of the long-body benchmark, throttled to mixed speeds or unthrottled.

They run in separate processes (`long_bodies --role`); throttled peers verify every body's checksum.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from random import Random
from time import perf_counter

from benchmarks.relay import RelaySide
from testkit.bodies import BLOCK_BYTES, Body, SeededBody, head, read_body
from testkit.streaming_server import StreamedRequest, StreamingServer
from testkit.wire import read_head

MIB = 1024 * 1024
# Speeds of a peer in MB/s, with the weight by which each is drawn; 0 means unthrottled.
SPEED_WEIGHTS = {0.0: 4, 8.0: 2, 2.0: 2, 1.0: 1}
MIN_PAUSE_S = 0.005
SURPLUS_TIMEOUT_S = 30.0
RESPONDED = "responded"
RECEIVE_BYTES = 65536


def draw_speed_mb_per_s(rng: Random) -> float:
    """Draws the speed of one peer in MB/s; 0 means unthrottled."""
    return rng.choices(list(SPEED_WEIGHTS), list(SPEED_WEIGHTS.values()))[0]


class Throttle:
    """Limits the rate at which a peer sends or reads one body, by a pause after each piece."""

    def __init__(self, mb_per_s: float) -> None:
        """Creates a throttle whose time starts now; a speed of 0 never pauses."""
        self._bytes_per_s = mb_per_s * MIB
        self._started_s = perf_counter()
        self._transferred_bytes = 0

    async def pause_after(self, size: int) -> None:
        """Pauses after a piece of `size` bytes if the body is ahead of its rate."""
        if not self._bytes_per_s:
            return
        self._transferred_bytes += size
        ahead_s = self._transferred_bytes / self._bytes_per_s - (perf_counter() - self._started_s)
        if ahead_s > MIN_PAUSE_S:
            await asyncio.sleep(ahead_s)

    async def pause_after_piece(self, body: Body) -> None:
        """Pauses after a piece of a body that is being read; passed to `read_body` as `pause`."""
        await self.pause_after(body.size - self._transferred_bytes)


# ------------------------------------------------ throttled peers


async def serve(request: StreamedRequest) -> None:
    """Responds to a POST with the size and checksum of its body, and to a GET with the requested body."""
    throttle = Throttle(float(request.headers["x-server-speed"]))
    if request.method == "POST":
        body = await request.body(pause=throttle.pause_after_piece)
        text = f"{body.size} {body.crc}".encode()
        await request.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(len(text))) + text)
        return
    size = int(request.headers["x-size"])
    seed = int(request.headers["x-seed"])
    await request.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(size)))
    for piece in SeededBody(seed).pieces(size):
        await request.connection.send(bytes(piece))
        await throttle.pause_after(len(piece))


async def listen(port: int, relay_to: int) -> None:
    """Listens until the process ends, as a relay to port `relay_to` or, if that is 0, a throttled server."""
    if relay_to:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: RelaySide(port=relay_to), "127.0.0.1", port)
    else:
        server = StreamingServer(serve)
        server.port = port
        await server.start()
    await asyncio.Event().wait()


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Result of an exchange.

    Attributes:
        outcome: `RESPONDED`, the response's status code or the name of an error.
        transferred_bytes: Size of the body if it was transferred completely, otherwise 0.
    """

    outcome: str
    transferred_bytes: int = 0


class Exchange:
    """One request with a long body: an upload if its number is even, a download if it is odd."""

    def __init__(self, port: int, number: int, size: int, seed: int) -> None:
        """Draws the speeds of client and server.

        Args:
            port: Port of the balancer.
            number: Number of the exchange, which seeds its body.
            size: Size of the body in bytes.
            seed: Seed of the run.
        """
        rng = Random(seed * 1_000_003 + number)
        self._port = port
        self._number = number
        self._size = size
        self._throttle = Throttle(draw_speed_mb_per_s(rng))
        self._server_speed = draw_speed_mb_per_s(rng)
        self._is_upload = number % 2 == 0
        self._trace = f"{seed:x}-{number:x}"
        self._seeded_body = SeededBody(number)

    async def run(self) -> ExchangeResult:
        """Sends the request and reads its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=BLOCK_BYTES)
        try:
            await self._send(writer)
            response_head = await read_head(reader)
            if response_head is None:
                return ExchangeResult("no response")
            status = response_head.start_line.split()[1]
            if status != "200":
                return ExchangeResult(status)
            is_intact = await self._read(reader, response_head.headers)
            # A second response, or bytes after the first response, would arrive now.
            writer.write_eof()
            surplus = await asyncio.wait_for(reader.read(), SURPLUS_TIMEOUT_S)
            outcome = RESPONDED if is_intact and not surplus else "wrong bytes"
            return ExchangeResult(outcome, self._size)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as error:
            return ExchangeResult(type(error).__name__)
        finally:
            writer.close()

    async def _send(self, writer: asyncio.StreamWriter) -> None:
        fields = {"Host": "h", "X-Trace-Id": self._trace, "X-Server-Speed": str(self._server_speed)}
        if not self._is_upload:
            writer.write(head("GET /d HTTP/1.1", X_Size=str(self._size), X_Seed=str(self._number), **fields))
            return
        writer.write(head("POST /d HTTP/1.1", Content_Length=str(self._size), **fields))
        for piece in self._seeded_body.pieces(self._size):
            writer.write(bytes(piece))
            await writer.drain()
            await self._throttle.pause_after(len(piece))

    async def _read(self, reader: asyncio.StreamReader, headers: dict[str, str]) -> bool:
        """Reads the response's body; returns whether the long body arrived unchanged."""
        expected_crc = self._seeded_body.crc(self._size)
        if self._is_upload:
            text = await reader.readexactly(int(headers["content-length"]))
            return text.decode() == f"{self._size} {expected_crc}"
        body = await read_body(reader, headers, pause=self._throttle.pause_after_piece)
        return body.complete and body.size == self._size and body.crc == expected_crc


async def run_clients(port: int, first: int, count: int, max_concurrent: int, size: int, seed: int) -> None:
    """Runs exchanges, at most `max_concurrent` concurrently, and prints each one's outcome and bytes."""
    slots = asyncio.Semaphore(max_concurrent)
    await asyncio.gather(
        *(_run_exchange(slots, port, number, size, seed) for number in range(first, first + count))
    )


async def _run_exchange(slots: asyncio.Semaphore, port: int, number: int, size: int, seed: int) -> None:
    async with slots:
        # The exchange is created only once a slot is free, because the throttle's time starts at its
        # creation.
        result = await Exchange(port, number, size, seed).run()
        print(result.outcome, result.transferred_bytes, flush=True)


# ------------------------------------------------ unthrottled peers, with blocking sockets


def upload_once(port: int, size: int) -> float:
    """Uploads a body; returns the seconds until its response arrived.

    Raises:
        RuntimeError: The response's status is not 200.
    """
    block = memoryview(bytes(MIB))
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        started_s = perf_counter()
        trace = f"{port:x}-{started_s}"
        connection.sendall(head("POST /d HTTP/1.1", Host="h", X_Trace_Id=trace, Content_Length=str(size)))
        remaining_bytes = size
        while remaining_bytes:
            remaining_bytes -= connection.send(block[: min(remaining_bytes, MIB)])
        response = connection.recv(4096)
        elapsed_s = perf_counter() - started_s
    if not response.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(response.decode())
    return elapsed_s


def serve_uploads(port: int) -> None:
    """Reads uploads without throttling, one connection after another, until the process ends."""
    buffer = memoryview(bytearray(MIB))
    listener = socket.create_server(("127.0.0.1", port))
    while True:
        connection, _ = listener.accept()
        with connection:
            _serve_upload(connection, buffer)


def _serve_upload(connection: socket.socket, buffer: memoryview) -> None:
    received = b""
    while b"\r\n\r\n" not in received:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            return
        received += data
    request_head, _, rest = received.partition(b"\r\n\r\n")
    fields = dict(line.lower().split(b": ", 1) for line in request_head.split(b"\r\n")[1:])
    remaining_bytes = int(fields[b"content-length"]) - len(rest)
    while remaining_bytes > 0:
        remaining_bytes -= connection.recv_into(buffer, min(remaining_bytes, MIB))
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
