"""Common base of all listening fakes: a loopback port, a task for each connection, and an orderly shutdown.

Reads and writes nothing on a connection itself. Source: none; written for this project.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import ClassVar, Self


class ListeningFake(ABC):
    """A fake that accepts connections on the loopback.

    Attributes:
        port: Port that the fake listens on; if 0, the first start sets it to a port that the system chooses.
        connections: Number of accepted connections.
    """

    BACKLOG: ClassVar[int] = 100
    # Errors that end a connection without being a fault of the fake.
    CONNECTION_ERRORS: ClassVar[tuple[type[Exception], ...]] = (ConnectionError, asyncio.IncompleteReadError)

    def __init__(self) -> None:
        """Creates a fake that does not listen yet."""
        self.port = 0
        self.connections = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @abstractmethod
    async def serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends; the caller of this method closes it."""

    async def start(self) -> Self:
        """Listens on `port`, or on a port that the system chooses if `port` is 0."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port, backlog=self.BACKLOG)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self

    def close(self) -> None:
        """Stops listening and ends all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve_connection(reader, writer)
        except asyncio.CancelledError:
            pass  # the connection's task was cancelled by `close`
        except self.CONNECTION_ERRORS:
            pass
        finally:
            self._tasks.discard(task)
            writer.close()
