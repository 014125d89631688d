"""Blocking client of a control socket, for the command line and scripts."""

from __future__ import annotations

import socket
from typing import Any

from sandhatch.control.errors import CallError, UnreachableError
from sandhatch.control.framing import LineReader, encode

READ_BYTES = 65536


class Client:
    """A connection to a control socket, used as a context manager. Calls are served in order."""

    def __init__(self, path: str, timeout_s: float = 30.0) -> None:
        """Connect to a control socket.

        Args:
            path: Path of the control socket.
            timeout_s: Time limit for connecting and for each response, in seconds.

        Raises:
            UnreachableError: No process accepts connections at the path.
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
        """Return the client itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the connection."""
        self._socket.close()

    def call(self, op: str, **arguments: Any) -> dict[str, Any]:
        """Make a call and return its response; arguments that are None are left out.

        Raises:
            UnreachableError: No response was received, or the response can't be decoded.
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
                raise UnreachableError(f"{self._path}: connection closed without a response")
            responses = lines.feed(data)
            if responses:
                return responses[0]
