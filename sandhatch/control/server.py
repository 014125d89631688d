"""The control socket of a service or a planner: a Unix-domain socket that only its owner (and root) may use.

It is bounded in connections, in bytes buffered for all peers together, and in the time that a call may take
to arrive. It never decides what a call may do; `calls` and the transactions do.
"""

from __future__ import annotations

import asyncio
import os
import pwd
import socket
import stat
import struct
from pathlib import Path
from typing import Any, Protocol

from sandhatch.control.errors import CallError, ControlError, FaultReason
from sandhatch.control.framing import LineReader, encode, fault
from sandhatch.runtime.logger import Logger

MAX_PEERS = 512
MAX_BUFFERED_BYTES = 96 * 1024 * 1024  # of incomplete calls, over all peers
CALL_TIMEOUT_S = 10.0  # for a call to arrive, from its first byte on; and for its answer to be read
IDLE_TIMEOUT_S = 300.0  # between calls
PROBE_TIMEOUT_S = 1.0  # for a process that has the socket's path to accept
READ_BYTES = 65536
PRIVATE_SOCKET_UMASK = 0o177  # only the owner may connect


class CallRunner(Protocol):
    """What answers the calls: the operations of a service or of a planner."""

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        """The answer to a call, also to one that is rejected."""


class ControlServer:
    """Listens on the socket and serves each peer's calls in turn."""

    def __init__(
        self, calls: CallRunner, logger: Logger, path: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Prepare to serve; `start` listens.

        Args:
            calls: Answers the calls.
            logger: For rejected users and failed calls.
            path: The socket's path.
            call_timeout_s: For a call to arrive completely, and for its answer to be read.
        """
        self._calls = calls
        self._logger = logger
        self._path = path
        self._call_timeout_s = call_timeout_s
        self._buffered_bytes = 0
        self._peers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen.

        Raises:
            ControlError: The socket can't be created, or another process or file has its path.
        """
        _remove_abandoned_socket(self._path)
        listening_socket = _bind_private(self._path)
        self._server = await asyncio.start_unix_server(
            self._serve_peer, sock=listening_socket, backlog=MAX_PEERS
        )

    async def stop(self) -> None:
        """Stop listening, close all connections and remove the socket."""
        if self._server is not None:
            self._server.close()
        for task in list(self._peers):
            task.cancel()
        _remove(self._path)

    async def _serve_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._peers.add(task)
        uid = peer_user(writer.get_extra_info("socket"))
        try:
            if uid not in (0, os.geteuid()):
                self._logger.line(f"control: user {uid} was rejected")
            elif len(self._peers) > MAX_PEERS:
                await self._respond(
                    writer, fault(FaultReason.BUSY, f"{MAX_PEERS} peers are connected already")
                )
            else:
                await self._serve_calls(reader, writer, user_name(uid))
        except (OSError, asyncio.CancelledError):
            pass  # the peer has disconnected or stalled (a time-out is an OSError), or the server stops
        finally:
            self._peers.discard(task)
            writer.close()

    async def _serve_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, author: str
    ) -> None:
        lines = LineReader()
        try:
            while True:
                calls = await self._read_calls(reader, lines)
                if calls is None:
                    return
                for call in calls:
                    await self._respond(writer, await self._run(call, author))
        except CallError as problem:
            await self._respond(writer, fault(FaultReason.INVALID, str(problem)))
        finally:
            self._buffered_bytes -= lines.buffered_bytes

    async def _read_calls(
        self, reader: asyncio.StreamReader, lines: LineReader
    ) -> list[dict[str, Any]] | None:
        """The next calls; None once the peer has disconnected.

        Raises:
            CallError: What arrives is not a call, or too much.
            TimeoutError: The peer is idle for too long, or a call does not arrive completely in time.
        """
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await reader.read(READ_BYTES)
        async with asyncio.timeout(self._call_timeout_s):
            while data:
                calls = self._feed(lines, data)
                if self._buffered_bytes > MAX_BUFFERED_BYTES:
                    raise CallError("too much is being sent by all peers together; try again")
                if calls and not lines.buffered_bytes:
                    return calls
                data = await reader.read(READ_BYTES)
        return None

    def _feed(self, lines: LineReader, data: bytes) -> list[dict[str, Any]]:
        self._buffered_bytes -= lines.buffered_bytes
        try:
            return lines.feed(data)
        finally:
            self._buffered_bytes += lines.buffered_bytes

    async def _run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        try:
            return await self._calls.run(call, author)
        except Exception as problem:
            # Guards the service: an unexpected error of one call must not end it.
            self._logger.line(f"control: {call.get('op')!r:.40}: {type(problem).__name__}: {problem}")
            return fault(FaultReason.INTERNAL, f"{type(problem).__name__}: {problem}")

    async def _respond(self, writer: asyncio.StreamWriter, response: dict[str, Any]) -> None:
        writer.write(encode(response))
        async with asyncio.timeout(self._call_timeout_s):
            await writer.drain()


def peer_user(peer_socket: socket.socket) -> int:
    """The user id of the process at the other end, from the system (SO_PEERCRED, see unix(7))."""
    credentials = struct.Struct("3i")  # pid, uid, gid
    data = peer_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size)
    _, uid, _ = credentials.unpack(data)
    return int(uid)


def user_name(uid: int) -> str:
    """The user's name; the number as text if there is none."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


def _remove_abandoned_socket(path: str) -> None:
    """Remove a socket that a dead process left; ControlError if a live one or another file has the path."""
    try:
        mode = Path(path).stat().st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ControlError(f"{path}: there is another file")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            Path(path).unlink()
            return
        except OSError as problem:
            raise ControlError(f"{path}: {problem.strerror or problem}") from None
    raise ControlError(f"{path}: another process listens there")


def _bind_private(path: str) -> socket.socket:
    """A socket at the path to which, from its first moment on, only its owner can connect."""
    listening_socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    previous_umask = os.umask(PRIVATE_SOCKET_UMASK)
    try:
        listening_socket.bind(path)
    except OSError as problem:
        listening_socket.close()
        raise ControlError(f"{path}: {problem.strerror}") from None
    finally:
        os.umask(previous_umask)
    return listening_socket


def _remove(path: str) -> None:
    if Path(path).exists():
        Path(path).unlink()
