"""The control socket of a service or a planner: a Unix-domain socket that only its owner (and root) may use.

It is bounded as the callers' side is: in connections, in bytes held by all peers together, and in the time
that a call may take to come whole. It never decides what a call may do; `calls` and the transactions do.
"""

from __future__ import annotations

import asyncio
import os
import pwd
import socket
import stat
import struct
from typing import Any, Protocol

from sandhatch.control.framing import CallError, LineReader, encode, fault
from sandhatch.runtime.logger import Logger

MOST_PEERS = 512
MOST_HELD = 96 * 1024 * 1024  # bytes of calls that have not come whole, over all peers
CALL_S = 10.0  # for a call to come whole, from its first byte on; and for its answer to be read
IDLE_S = 300.0  # between calls


class ControlError(Exception):
    """The socket can't be had."""


def _free(path: str) -> None:
    """Remove a socket that a dead process left; ControlError if a live one or another file has the path."""
    try:
        mode = os.stat(path).st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ControlError(f"{path}: there is another file")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(1.0)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            os.unlink(path)
            return
        except OSError as problem:
            raise ControlError(f"{path}: {problem.strerror or problem}") from None
    raise ControlError(f"{path}: another process listens there")


def peer_user(sock: socket.socket) -> int:
    """The user at the other end, by the system's word."""
    size = struct.calcsize("3i")
    _, uid, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size))
    return int(uid)


def user_name(uid: int) -> str:
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


class Runner(Protocol):
    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        """The answer to a call, whatever it is."""


class ControlServer:
    def __init__(self, calls: Runner, logger: Logger, path: str, call_s: float = CALL_S) -> None:
        self._calls = calls
        self._logger = logger
        self._path = path
        self._call_s = call_s
        self._held = 0
        self._peers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        _free(self._path)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        mask = os.umask(0o177)  # from its first moment nobody else may connect
        try:
            sock.bind(self._path)
        except OSError as problem:
            sock.close()
            raise ControlError(f"{self._path}: {problem.strerror}") from None
        finally:
            os.umask(mask)
        self._server = await asyncio.start_unix_server(self._talk, sock=sock, backlog=MOST_PEERS)

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._peers):
            task.cancel()
        if os.path.exists(self._path):
            os.unlink(self._path)

    async def _talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._peers.add(task)
        uid = peer_user(writer.get_extra_info("socket"))
        try:
            if uid not in (0, os.geteuid()):
                self._logger.line(f"control: user {uid} was turned away")
            elif len(self._peers) > MOST_PEERS:
                await self._answer(writer, fault("busy", f"{MOST_PEERS} peers are connected already"))
            else:
                await self._serve(reader, writer, user_name(uid))
        except (OSError, asyncio.CancelledError):
            pass  # a peer that has left, or stalled; a time-out is an OSError
        finally:
            self._peers.discard(task)
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, author: str) -> None:
        lines = LineReader()
        try:
            while True:
                calls = await self._next(reader, lines)
                if calls is None:
                    return
                for call in calls:
                    await self._answer(writer, await self._run(call, author))
        except CallError as problem:
            await self._answer(writer, fault("invalid", str(problem)))
        finally:
            self._held -= lines.held

    async def _next(self, reader: asyncio.StreamReader, lines: LineReader) -> list[dict[str, Any]] | None:
        """The calls that come next; None at the peer's end. A call that is begun must come whole in time."""
        async with asyncio.timeout(IDLE_S):
            data = await reader.read(65536)
        async with asyncio.timeout(self._call_s):
            while data:
                before = lines.held
                self._held -= before
                try:
                    calls = lines.feed(data)
                finally:
                    self._held += lines.held
                if self._held > MOST_HELD:
                    raise CallError("too much is being sent by all peers together; try again")
                if calls and not lines.held:
                    return calls
                data = await reader.read(65536)
        return None

    async def _run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        try:
            return await self._calls.run(call, author)
        except Exception as problem:
            # Guards the service: a call that fails in a way nobody thought of must not end it.
            self._logger.line(f"control: {call.get('op')!r:.40}: {type(problem).__name__}: {problem}")
            return fault("internal", f"{type(problem).__name__}: {problem}")

    async def _answer(self, writer: asyncio.StreamWriter, answer: dict[str, Any]) -> None:
        writer.write(encode(answer))
        async with asyncio.timeout(self._call_s):
            await writer.drain()
