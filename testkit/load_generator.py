"""A closed-loop load generator: clients that send requests one after another over persistent connections.

Logs every request and never retries one. Source: none; written for this project. Clients pause for random
times.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random
from typing import NamedTuple

from testkit.request_log import RequestLog
from testkit.wire import read_http_response

REQUEST_NUMBERS = count(1)  # numbers in the requests' trace ids; each number is used once in the process


class RequestChoice(NamedTuple):
    """Class and target of a request."""

    request_class: str
    target: str


Choose = Callable[[Random], RequestChoice]


class LoadGenerator:
    """Sends requests from its creation until `stop` is called or `max_requests` have been sent."""

    def __init__(
        self,
        port: int,
        request_log: RequestLog,
        choose: Choose,
        clients: int = 8,
        pause_s: float = 0.0,
        seed: int = 1,
        max_requests: int = 1_000_000,
        non_idempotent: frozenset[str] = frozenset(("order",)),
    ) -> None:
        """Creates a generator and starts its clients as tasks of the running event loop.

        Args:
            port: Loopback port that the balancer listens on.
            request_log: Log to which every request is added.
            choose: Function that chooses the class and the target of a request at random.
            clients: Number of clients, each with one connection.
            pause_s: Mean pause of a client between two requests.
            seed: Seed of the random choices.
            max_requests: Maximum number of requests of all clients together.
            non_idempotent: Request classes that are not idempotent; their requests are POSTs.
        """
        self._port = port
        self._request_log = request_log
        self._choose = choose
        self._pause_s = pause_s
        self._non_idempotent = non_idempotent
        self._stopping = asyncio.Event()
        self._requests_left = max_requests
        self._tasks = [
            asyncio.create_task(self._run_client(Random(seed * 1000 + number))) for number in range(clients)
        ]

    async def _run_client(self, rng: Random) -> None:
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while not self._stopping.is_set() and self._requests_left > 0:
            self._requests_left -= 1
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            assert reader is not None
            if not await self._exchange(rng, reader, writer):
                writer.close()
                reader = None
                writer = None
            if self._pause_s:
                await asyncio.sleep(self._pause_s * rng.uniform(0.5, 1.5))
        if writer is not None:
            writer.close()

    async def _exchange(
        self, rng: Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends one request and logs its response; returns whether the connection may be reused."""
        request_class, target = self._choose(rng)
        trace = f"load-{next(REQUEST_NUMBERS):x}"
        entry = self._request_log.add(trace, request_class, asyncio.get_running_loop().time())
        try:
            writer.write(self._request(request_class, target, trace))
            response = await read_http_response(reader)
        except (OSError, AssertionError, asyncio.IncompleteReadError) as error:
            entry.failure = repr(error)
            return False
        entry.responses.append(response)
        entry.responded_s = asyncio.get_running_loop().time()
        return response.headers.get("connection") != "close"

    def _request(self, request_class: str, target: str, trace: str) -> bytes:
        method = "POST" if request_class in self._non_idempotent else "GET"
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        return (
            f"{method} {target} HTTP/1.1\r\nHost: a.example\r\nX-Trace-Id: {trace}\r\n"
            f"X-Qos: {request_class}\r\n{length}\r\n"
        ).encode()

    async def stop(self) -> None:
        """Stops sending requests, and waits until the requests in flight are complete."""
        self._stopping.set()
        await asyncio.gather(*self._tasks)
