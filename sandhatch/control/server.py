"""The control socket of a service or a planner: a Unix-domain socket that only its owner and root may use.

There are limits on the number of connections, on the bytes buffered for all peers together, and on the time
to receive a call. Which calls are permitted is decided by `calls` and `config.transactions`.
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
from sandhatch.control.framing import LineReader, encode, fault_response
from sandhatch.runtime.logger import Logger

MAX_PEERS = 512
MAX_BUFFERED_BYTES = 96 * 1024 * 1024  # limit on the bytes of incomplete calls, over all peers
CALL_TIMEOUT_S = 10.0  # limit on receiving a call from its first byte on, and on sending its response
IDLE_TIMEOUT_S = 300.0  # limit on a connection's idle time between calls
PROBE_TIMEOUT_S = 1.0  # limit on connecting to a process that may own the socket's path
READ_BYTES = 65536
PRIVATE_SOCKET_UMASK = 0o177  # permits only the owner to connect


class CallRunner(Protocol):
    """The operations of a service or of a planner."""

    async def run(self, call: dict[str, Any], author: str) -> dict[str, Any]:
        """Return the response to a call, whether it succeeds or is rejected."""


class ControlServer:
    """Listens on the socket and serves each peer's calls in order."""

    def __init__(
        self, calls: CallRunner, logger: Logger, path: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Create a server that does not listen before `start`.

        Args:
            calls: Operations that serve the calls.
            logger: Log of rejected users and failed calls.
            path: Path of the socket.
            call_timeout_s: Time limit in seconds for receiving a call, and for sending its response.
        """
        self._calls = calls
        self._logger = logger
        self._path = path
        self._call_timeout_s = call_timeout_s
        self._buffered_bytes = 0
        self._peers: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            ControlError: The socket can't be created, or its path belongs to another process or file.
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
        uid = peer_uid(writer.get_extra_info("socket"))
        try:
            if uid not in (0, os.geteuid()):
                self._logger.write_line(
                    f"control: rejected a connection by user id {uid}: only the owner and root are permitted"
                )
            elif len(self._peers) > MAX_PEERS:
                await self._respond(
                    writer,
                    fault_response(
                        FaultReason.BUSY, f"too many connections: the limit of {MAX_PEERS} peers is reached"
                    ),
                )
            else:
                await self._serve_calls(reader, writer, user_name(uid))
        except (OSError, asyncio.CancelledError):
            pass  # the peer has disconnected or timed out (TimeoutError is an OSError), or the server stops
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
            await self._respond(writer, fault_response(FaultReason.INVALID, str(problem)))
        finally:
            self._buffered_bytes -= lines.buffered_bytes

    async def _read_calls(
        self, reader: asyncio.StreamReader, lines: LineReader
    ) -> list[dict[str, Any]] | None:
        """Return the next calls; None once the peer has disconnected.

        Raises:
            CallError: The received bytes are not a call, or a limit on buffered bytes is exceeded.
            TimeoutError: The peer was idle for too long, or a call was not received completely in time.
        """
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            data = await reader.read(READ_BYTES)
        async with asyncio.timeout(self._call_timeout_s):
            while data:
                received_calls = self._feed(lines, data)
                if self._buffered_bytes > MAX_BUFFERED_BYTES:
                    raise CallError(
                        "the incomplete calls of all peers together exceed the buffer limit; try again"
                    )
                if received_calls and not lines.buffered_bytes:
                    return received_calls
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
            # An unexpected error in one call must not stop the service.
            self._logger.write_line(
                f"control: call {call.get('op')!r:.40} failed: {type(problem).__name__}: {problem}"
            )
            return fault_response(FaultReason.INTERNAL, f"{type(problem).__name__}: {problem}")

    async def _respond(self, writer: asyncio.StreamWriter, response: dict[str, Any]) -> None:
        writer.write(encode(response))
        async with asyncio.timeout(self._call_timeout_s):
            await writer.drain()


def peer_uid(peer_socket: socket.socket) -> int:
    """Return the user id of the peer's process, from the kernel (SO_PEERCRED, see unix(7))."""
    credentials = struct.Struct("3i")  # pid, uid, gid
    data = peer_socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, credentials.size)
    _, uid, _ = credentials.unpack(data)
    return int(uid)


def user_name(uid: int) -> str:
    """Return the user's name; the user id as text if it has no name."""
    try:
        return pwd.getpwuid(uid).pw_name
    except KeyError:
        return str(uid)


def _remove_abandoned_socket(path: str) -> None:
    """Remove the socket of a process that has ended.

    Raises:
        ControlError: The path belongs to a running process's socket or to a file that is no socket.
    """
    try:
        mode = Path(path).stat().st_mode
    except FileNotFoundError:
        return
    if not stat.S_ISSOCK(mode):
        raise ControlError(f"{path}: another file, not a socket, has this path")
    with socket.socket(socket.AF_UNIX) as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        try:
            probe.connect(path)
        except (ConnectionRefusedError, FileNotFoundError):
            Path(path).unlink()
            return
        except OSError as problem:
            raise ControlError(f"{path}: {problem.strerror or problem}") from None
    raise ControlError(f"{path}: another process listens at this path")


def _bind_private(path: str) -> socket.socket:
    """Bind a socket at the path; from the socket's creation on, only its owner can connect."""
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
