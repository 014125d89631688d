"""The clients and servers of the long bodies: throttled ones of mixed speeds, and unthrottled ones.

They run in processes of their own (`long_bodies --role`) and compare the checksum of every body. Source: the
project's own.
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
# Megabytes a second of either side, and how often each is drawn; 0: as fast as it goes.
SPEED_WEIGHTS = {0.0: 4, 8.0: 2, 2.0: 2, 1.0: 1}
LEAST_PAUSE_S = 0.005
AFTER_RESPONSE_S = 30.0
RESPONDED = "answered"
RECEIVE_BYTES = 65536


def draw_speed(rng: Random) -> float:
    """Megabytes a second of one side; 0 for as fast as it goes."""
    return rng.choices(list(SPEED_WEIGHTS), list(SPEED_WEIGHTS.values()))[0]


class Throttle:
    """Keeps one side at its speed while it sends or reads one body, by a pause after each piece."""

    def __init__(self, mb_per_s: float) -> None:
        """Creates a throttle that starts now; 0 for one that never pauses."""
        self._bytes_per_s = mb_per_s * MIB
        self._started_s = perf_counter()
        self._bytes = 0

    async def after(self, size: int) -> None:
        """Pauses after a piece of `size` bytes, if that came too early."""
        if not self._bytes_per_s:
            return
        self._bytes += size
        ahead_s = self._bytes / self._bytes_per_s - (perf_counter() - self._started_s)
        if ahead_s > LEAST_PAUSE_S:
            await asyncio.sleep(ahead_s)

    async def after_piece(self, body: Body) -> None:
        """Pauses after a piece of a body that is read at this speed; the `pause` of `read_body`."""
        await self.after(body.size - self._bytes)


# ------------------------------------------------ throttled


async def serve(upload: StreamedRequest) -> None:
    """Reads a POST's body and responds with its size and checksum, or sends the body that a GET requests."""
    throttle = Throttle(float(upload.headers["x-server-speed"]))
    if upload.method == "POST":
        body = await upload.body(pause=throttle.after_piece)
        text = f"{body.size} {body.crc}".encode()
        await upload.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(len(text))) + text)
        return
    size = int(upload.headers["x-size"])
    seed = int(upload.headers["x-seed"])
    await upload.connection.send(head("HTTP/1.1 200 OK", Content_Length=str(size)))
    for piece in SeededBody(seed).pieces(size):
        await upload.connection.send(bytes(piece))
        await throttle.after(len(piece))


async def listen(port: int, relay_to: int) -> None:
    """Listens until the process ends: a relay to `relay_to`, or a throttled server if that is 0."""
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
    """What came of an exchange.

    Attributes:
        outcome: `RESPONDED`, the response's status or an error.
        passed_bytes: the body's, if it has passed to its end.
    """

    outcome: str
    passed_bytes: int = 0


class Exchange:
    """One request with a long body, up if its number is even and down if it is odd."""

    def __init__(self, port: int, number: int, size: int, seed: int) -> None:
        """Draws the speeds of both sides.

        Args:
            port: of the balancer.
            number: the exchange's, which seeds its body.
            size: the body's.
            seed: of the run.
        """
        rng = Random(seed * 1_000_003 + number)
        self._port = port
        self._number = number
        self._size = size
        self._throttle = Throttle(draw_speed(rng))
        self._server_speed = draw_speed(rng)
        self._is_upload = number % 2 == 0
        self._trace = f"{seed:x}-{number:x}"
        self._pattern = SeededBody(number)

    async def run(self) -> ExchangeResult:
        """Sends the request and reads its response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port, limit=BLOCK_BYTES)
        try:
            await self._send(writer)
            response_head = await read_head(reader)
            if response_head is None:
                return ExchangeResult("no answer")
            status = response_head.start_line.split()[1]
            if status != "200":
                return ExchangeResult(status)
            is_as_sent = await self._read(reader, response_head.headers)
            # A second response, or bytes behind it, would come now.
            writer.write_eof()
            surplus = await asyncio.wait_for(reader.read(), AFTER_RESPONSE_S)
            outcome = RESPONDED if is_as_sent and not surplus else "wrong bytes"
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
        for piece in self._pattern.pieces(self._size):
            writer.write(bytes(piece))
            await writer.drain()
            await self._throttle.after(len(piece))

    async def _read(self, reader: asyncio.StreamReader, headers: dict[str, str]) -> bool:
        """Reads the response's body; whether the long body came as it was sent."""
        expected_crc = self._pattern.crc(self._size)
        if self._is_upload:
            text = await reader.readexactly(int(headers["content-length"]))
            return text.decode() == f"{self._size} {expected_crc}"
        body = await read_body(reader, headers, pause=self._throttle.after_piece)
        return body.complete and body.size == self._size and body.crc == expected_crc


async def run_clients(port: int, first: int, count: int, at_once: int, size: int, seed: int) -> None:
    """Runs exchanges, `at_once` at a time, and prints the result and the bytes of each."""
    slots = asyncio.Semaphore(at_once)
    await asyncio.gather(
        *(_run_exchange(slots, port, number, size, seed) for number in range(first, first + count))
    )


async def _run_exchange(slots: asyncio.Semaphore, port: int, number: int, size: int, seed: int) -> None:
    async with slots:
        # Created here, since its throttle measures from its creation on.
        result = await Exchange(port, number, size, seed).run()
        print(result.outcome, result.passed_bytes, flush=True)


# ------------------------------------------------ as fast as can be, with blocking sockets


def upload_once(port: int, size: int) -> float:
    """Seconds for a body to go up and be responded to.

    Raises:
        RuntimeError: the response's status is not 200.
    """
    block = memoryview(bytes(MIB))
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        started_s = perf_counter()
        trace = f"{port:x}-{started_s}"
        connection.sendall(head("POST /d HTTP/1.1", Host="h", X_Trace_Id=trace, Content_Length=str(size)))
        left_bytes = size
        while left_bytes:
            left_bytes -= connection.send(block[: min(left_bytes, MIB)])
        response = connection.recv(4096)
        spent_s = perf_counter() - started_s
    if not response.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(response.decode())
    return spent_s


def serve_uploads(port: int) -> None:
    """Reads bodies as fast as they come, one connection after the other, until the process ends."""
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
    left_bytes = int(fields[b"content-length"]) - len(rest)
    while left_bytes > 0:
        left_bytes -= connection.recv_into(buffer, min(left_bytes, MIB))
    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
