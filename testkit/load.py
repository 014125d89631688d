"""Callers that ask without pause over kept connections, and keep the books."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from random import Random

from testkit.books import Books
from testkit.wire import read_answer

IDS = count(1)
Choose = Callable[[Random], tuple[str, str]]  # class and target


class Load:
    """`clients` connections, each asking one request after another, a pause between them. It stops when
    told, or after `most` requests in all.
    """

    def __init__(
        self,
        port: int,
        books: Books,
        choose: Choose,
        clients: int = 8,
        pause_s: float = 0.0,
        seed: int = 1,
        most: int = 1_000_000,
        unsafe: frozenset[str] = frozenset(("order",)),
    ) -> None:
        self._port = port
        self._books = books
        self._choose = choose
        self._pause_s = pause_s
        self._unsafe = unsafe
        self._stopping = asyncio.Event()
        self._left = most
        self._tasks = [asyncio.create_task(self._ask_on(Random(seed * 1000 + n))) for n in range(clients)]

    async def _ask_on(self, rng: Random) -> None:
        reader: asyncio.StreamReader | None = None
        writer: asyncio.StreamWriter | None = None
        while not self._stopping.is_set() and self._left > 0:
            self._left -= 1
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            assert reader is not None
            if not await self._ask(rng, reader, writer):
                writer.close()
                reader = writer = None
            if self._pause_s:
                await asyncio.sleep(self._pause_s * rng.uniform(0.5, 1.5))
        if writer is not None:
            writer.close()

    async def _ask(self, rng: Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """One request; whether its connection may be used again."""
        name, target = self._choose(rng)
        trace = f"load-{next(IDS):x}"
        loop = asyncio.get_running_loop()
        entry = self._books.ask(trace, name, loop.time())
        method = "POST" if name in self._unsafe else "GET"
        length = "Content-Length: 0\r\n" if method == "POST" else ""
        head = f"{method} {target} HTTP/1.1\r\nHost: a.example\r\nX-Trace-Id: {trace}\r\nX-Qos: {name}\r\n"
        try:
            writer.write(f"{head}{length}\r\n".encode())
            answer = await read_answer(reader)
        except (OSError, AssertionError, asyncio.IncompleteReadError) as problem:
            entry.lost = repr(problem)
            return False
        entry.answers.append(answer)
        entry.answered_s = loop.time()
        return answer.headers.get("connection") != "close"

    async def stop(self) -> None:
        """No more requests; until those out are answered."""
        self._stopping.set()
        await self.done()

    async def done(self) -> None:
        await asyncio.gather(*self._tasks)
