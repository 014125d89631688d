"""The control socket's framing: one JSON object a line each way, read incrementally and bounded. No I/O.

A call is `{"op": NAME, ...}`; an answer `{"ok": true, ...}` or `{"ok": false, "why": WORD, "text": TEXT,
"keys": [...], "problems": [...]}`.
"""

from __future__ import annotations

import json
from typing import Any

from sandhatch.control.errors import CallError, FaultReason

MAX_LINE_BYTES = 40 * 1024 * 1024  # the largest configuration, written as a JSON string


class LineReader:
    """Bytes in, objects out.

    Attributes:
        buffered_bytes: Bytes that are buffered for a line that is not complete.
    """

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        """Start without bytes."""
        self._max_line_bytes = max_line_bytes
        self._parts: list[bytes] = []
        self.buffered_bytes = 0

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that these bytes complete.

        Raises:
            CallError: A line is too long or not a JSON object.
        """
        objects: list[dict[str, Any]] = []
        while True:
            part, newline, data = data.partition(b"\n")
            self._parts.append(part)
            self.buffered_bytes += len(part)
            if self.buffered_bytes > self._max_line_bytes:
                self.clear()
                raise CallError(f"a call of more than {self._max_line_bytes} bytes")
            if not newline:
                return objects
            line = b"".join(self._parts)
            self.clear()
            objects.append(decode(line))

    def clear(self) -> None:
        """Drop what is buffered."""
        self._parts = []
        self.buffered_bytes = 0


def decode(line: bytes) -> dict[str, Any]:
    """The object that a line holds.

    Raises:
        CallError: It holds none.
    """
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise CallError(f"not JSON: {line[:40]!r}") from None
    if not isinstance(message, dict):
        raise CallError(f"not an object: {line[:40]!r}")
    return message


def encode(message: dict[str, Any]) -> bytes:
    """A call or an answer as a line."""
    return json.dumps(message, separators=(",", ":"), default=str).encode() + b"\n"


def fault(reason: FaultReason, text: str) -> dict[str, Any]:
    """The answer to a call that is rejected without conflicting keys or problems to list."""
    return {"ok": False, "why": reason.value, "text": text, "keys": [], "problems": []}
