"""Blocking client of a control socket, for the command line and scripts."""

from __future__ import annotations

import socket
from typing import Any

from sandhatch.control.errors import CallError, UnreachableError
from sandhatch.control.framing import LineReader, encode

READ_BYTES = 65536


class Client:
    """One connection; calls are answered in turn. Use it as a context manager."""

    def __init__(self, path: str, timeout_s: float = 30.0) -> None:
        """Connect.

        Args:
            path: The control socket's path.
            timeout_s: For the connection and for each answer.

        Raises:
            UnreachableError: Nothing listens at the path.
        """
        self._socket = socket.socket(socket.AF_UNIX)
        self._socket.settimeout(timeout_s)
        self._path = path
        try:
            self._socket.connect(path)
        except OSError as problem:
            self._socket.close()
            raise UnreachableError(f"{path}: {problem.strerror or problem}") from None

    def __enter__(self) -> Client:
        """The client itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self._socket.close()

    def call(self, op: str, **arguments: Any) -> dict[str, Any]:
        """Make a call and wait for its answer; arguments that are None are left out.

        Raises:
            UnreachableError: There is no answer, or it can't be read.
        """
        message = {"op": op} | {key: value for key, value in arguments.items() if value is not None}
        try:
            self._socket.sendall(encode(message))
            return self._receive()
        except (OSError, CallError) as problem:
            raise UnreachableError(f"{self._path}: {problem}") from None

    def _receive(self) -> dict[str, Any]:
        lines = LineReader()
        while True:
            data = self._socket.recv(READ_BYTES)
            if not data:
                raise UnreachableError(f"{self._path}: closed without an answer")
            responses = lines.feed(data)
            if responses:
                return responses[0]
