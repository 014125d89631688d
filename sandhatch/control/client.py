"""Calls on a control socket, from the command line."""

from __future__ import annotations

import socket
from typing import Any

from sandhatch.control.framing import CallError, LineReader, encode


class UnreachableError(Exception):
    """There is no service at the path, or it does not answer."""


class Client:
    """One connection; calls are answered in turn."""

    def __init__(self, path: str, timeout_s: float = 30.0) -> None:
        self._sock = socket.socket(socket.AF_UNIX)
        self._sock.settimeout(timeout_s)
        self._path = path
        try:
            self._sock.connect(path)
        except OSError as problem:
            self._sock.close()
            raise UnreachableError(f"{path}: {problem.strerror or problem}") from None

    def __enter__(self) -> Client:
        return self

    def __exit__(self, *_: object) -> None:
        self._sock.close()

    def call(self, op: str, **arguments: Any) -> dict[str, Any]:
        """The answer; arguments that are None are left out."""
        message = {"op": op} | {key: value for key, value in arguments.items() if value is not None}
        lines = LineReader()
        try:
            self._sock.sendall(encode(message))
            while True:
                data = self._sock.recv(65536)
                if not data:
                    raise UnreachableError(f"{self._path}: closed without an answer")
                answers = lines.feed(data)
                if answers:
                    return answers[0]
        except (OSError, CallError) as problem:
            raise UnreachableError(f"{self._path}: {problem}") from None
