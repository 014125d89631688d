"""A service between stand-ins, with the books of what every request met."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from sandhatch.config.check import check_text
from sandhatch.config.history import History
from sandhatch.config.transactions import State, Version
from sandhatch.service.service import Service
from sandhatch.service.versions import RequestRecord
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.books import Books
from testkit.servers import FakeUpstream, Talk
from testkit.wire import PATIENCE_S, Incoming, ok


class Farm:
    """Servers by name; each books what it has run and says its name in the answer."""

    def __init__(self) -> None:
        self.books = Books()
        self.servers: dict[str, FakeUpstream] = {}
        self.behave: dict[str, Callable[[Incoming, Talk], Awaitable[None]]] = {}

    async def start(self, *names: str) -> Farm:
        for name in names:
            self.servers[name] = await FakeUpstream(self._behaviour(name)).start()
        return self

    def _behaviour(self, name: str) -> Callable[[Incoming, Talk], Awaitable[None]]:
        async def serve(request: Incoming, talk: Talk) -> None:
            self.books.ran(request.headers["x-trace-id"], name)
            other = self.behave.get(name)
            if other is not None:
                await other(request, talk)
            else:
                await talk.send(ok(name.encode()))

        return serve

    def address(self, name: str) -> str:
        return f"127.0.0.1:{self.servers[name].port}"

    def pool(self, *names: str, **more: Any) -> dict[str, Any]:
        servers = {name: {"address": self.address(name)} for name in names}
        return {"servers": servers, "idle_ms": 30_000, "new_servers": "warm"} | more

    def config(self, web: Any, orders: Any, **more: Any) -> dict[str, Any]:
        """Two pools; `/orders` leads to one, everything else to the other."""
        return {
            "format": 1,
            "listeners": {"front": {"address": "127.0.0.1:0"}},
            "classes": {
                "look": {"effect": "safe", "aim_ms": 4000, "deadline_ms": 8000},
                "order": {"effect": "unsafe", "aim_ms": 4000, "deadline_ms": 8000, "worth": 5},
            },
            "default_class": "look",
            "watch": {"enabled": False},
            "pools": {"web": web, "orders": orders},
            "routes": [
                {"name": "orders", "match": {"path": {"prefix": "/orders"}}, "to": {"pool": "orders"}}
            ],
            "default": {"pool": "web"},
        } | more

    def close(self) -> None:
        for server in self.servers.values():
            server.close()


class Kept:
    """A service and the records of its requests."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.records: list[RequestRecord] = []
        service.record = self.records.append

    @property
    def port(self) -> int:
        return next(iter(self.service.listeners.values())).port

    def propose(self, data: dict[str, Any], base: int | None = None, **more: Any) -> int:
        return self.service.propose(json.dumps(data).encode(), base, **more).number

    async def commit(self, data: dict[str, Any], over: bool = True, **more: Any) -> Version:
        """Commit against what is in force, and wait until it is decided."""
        version = self.service.commit(self.propose(data), **more)
        async with asyncio.timeout(PATIENCE_S):
            return await self.service.settled(version, over=over)

    async def confirmed(self, data: dict[str, Any]) -> Version:
        version = await self.commit(data)
        assert version.state is State.CONFIRMED, version.why
        return version

    async def until(self, holds: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not holds():
                await asyncio.sleep(0.005)

    def server_name(self, farm: Farm, number: int) -> str:
        address = self.service.pools.book.name(number)
        return next(name for name in farm.servers if farm.address(name) == address)


@asynccontextmanager
async def serving(data: dict[str, Any], history: History | None = None) -> AsyncIterator[Kept]:
    saved = history.load() if history else None
    checked = check_text(json.dumps(saved.data if saved else data))
    service = Service(checked, asyncio.get_running_loop(), history, saved)
    kept = Kept(service)
    rest_ms, ConnectionPool.REST_MS = ConnectionPool.REST_MS, 0.0  # connections don't rest between calls
    try:
        await service.start()
        yield kept
    finally:
        await service.close()
        ConnectionPool.REST_MS = rest_ms


def run(work: Any) -> None:
    """A test's work, bounded in time."""

    async def bounded() -> None:
        async with asyncio.timeout(90.0):
            await work

    asyncio.run(bounded())
