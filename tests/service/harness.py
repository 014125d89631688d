"""A service between fake servers and clients, with a record of every request that has finished."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from sandhatch.config.check import check_text
from sandhatch.config.history import History
from sandhatch.config.version import State, Version
from sandhatch.service.request_record import RequestRecord
from sandhatch.service.service import Service
from sandhatch.upstream.connection_pool import ConnectionPool
from testkit.polling import wait_until
from testkit.request_log import RequestLog
from testkit.servers import FakeConnection, FakeServer
from testkit.wire import RESPONSE_TIMEOUT_S, ReceivedRequest, ok

TEST_LIMIT_S = 300.0  # limit per test; on an idle machine, every test takes less than 30 s
CONNECT_TIMEOUT_MS = 20_000  # longer than any connect takes, even if the test's process is scheduled late


class FakeServers:
    """Fake servers by name; each records the requests that it runs and responds with its name."""

    def __init__(self) -> None:
        self.request_log = RequestLog()
        self.servers: dict[str, FakeServer] = {}
        self.behaviours: dict[str, Callable[[ReceivedRequest, FakeConnection], Awaitable[None]]] = {}

    async def start(self, *names: str) -> FakeServers:
        """Start a server for each name."""
        for name in names:
            self.servers[name] = await FakeServer(self._behaviour(name)).start()
        return self

    def _behaviour(self, name: str) -> Callable[[ReceivedRequest, FakeConnection], Awaitable[None]]:
        async def serve(request: ReceivedRequest, connection: FakeConnection) -> None:
            self.request_log.add_run(request.headers["x-trace-id"], name)
            behaviour = self.behaviours.get(name)
            if behaviour is not None:
                await behaviour(request, connection)
            else:
                await connection.send(ok(name.encode()))

        return serve

    def address(self, name: str) -> str:
        """Return a server's `host:port`."""
        return f"127.0.0.1:{self.servers[name].port}"

    def pool(self, *names: str, **more: Any) -> dict[str, Any]:
        """Return the configuration of a pool of the named servers; `more` adds or replaces keys."""
        servers = {name: {"address": self.address(name)} for name in names}
        return {
            "servers": servers,
            "idle_ms": 30_000,
            "new_servers": "warm",
            "connect_timeout_ms": CONNECT_TIMEOUT_MS,
        } | more

    def config(self, web: Any, orders: Any, **more: Any) -> dict[str, Any]:
        """Return a configuration of two pools: `/orders` is routed to `orders`, all other paths to `web`."""
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
        """Stop the servers."""
        for server in self.servers.values():
            server.close()


class RunningService:
    """A running service and the records of its requests."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.records: list[RequestRecord] = []
        service.on_request_finished = self.records.append

    @property
    def port(self) -> int:
        """Port of the first listener."""
        return next(iter(self.service.listeners.values())).port

    def propose(self, data: dict[str, Any], base: int | None = None, **more: Any) -> int:
        """Propose a configuration and return the proposal's number."""
        return self.service.propose(json.dumps(data).encode(), base, **more).number

    async def commit(self, data: dict[str, Any], until_terminal: bool = True, **more: Any) -> Version:
        """Commit a change and wait until its version is terminal, or only active without `until_terminal`."""
        version = self.service.commit(self.propose(data), **more)
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            return await self.service.wait_until_decided(version, until_terminal=until_terminal)

    async def commit_and_confirm(self, data: dict[str, Any]) -> Version:
        """Commit a change, and assert that it is confirmed."""
        version = await self.commit(data)
        assert version.state is State.CONFIRMED, version.why
        return version

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Wait until the condition holds, by polling: most states have no event."""
        await wait_until(holds)

    def server_name(self, fake_servers: FakeServers, number: int) -> str:
        """Return the name of the fake server that has this number in the service."""
        address = self.service.pools.server_registry.name(number)
        return next(name for name in fake_servers.servers if fake_servers.address(name) == address)


@asynccontextmanager
async def serving(data: dict[str, Any], history: History | None = None) -> AsyncIterator[RunningService]:
    """Run a service with the configuration, or with the version that `history` has saved."""
    saved = history.load() if history else None
    checked = check_text(json.dumps(saved.data if saved else data))
    service = Service(checked, asyncio.get_running_loop(), history, saved)
    running = RunningService(service)
    # Without a cooldown, idle connections are reused at once.
    cooldown_ms, ConnectionPool.COOLDOWN_MS = (
        ConnectionPool.COOLDOWN_MS,
        0.0,
    )
    try:
        await service.start()
        yield running
    finally:
        await service.close()
        ConnectionPool.COOLDOWN_MS = cooldown_ms


def run(scenario: Any) -> None:
    """Run a test's coroutine, and fail it after `TEST_LIMIT_S`."""

    async def bounded() -> None:
        async with asyncio.timeout(TEST_LIMIT_S):
            await scenario

    asyncio.run(bounded())
