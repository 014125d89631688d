"""The control socket's framing: one JSON object per line, parsed incrementally with a size limit. No I/O.

A call is `{"op": NAME, ...}`; a response is `{"ok": true, ...}` or `{"ok": false, "why": WORD, "text": TEXT,
"keys": [...], "problems": [...]}`.
"""

from __future__ import annotations

import json
from typing import Any

from sandhatch.control.errors import CallError, FaultReason
from sandhatch.runtime.byte_buffer import ByteBuffer

MAX_LINE_BYTES = 40 * 1024 * 1024  # fits the largest configuration, encoded as a JSON string


class LineReader:
    """Incremental parser of lines that hold one JSON object each."""

    def __init__(self, max_line_bytes: int = MAX_LINE_BYTES) -> None:
        """Start with an empty buffer."""
        self._max_line_bytes = max_line_bytes
        self._line = ByteBuffer()

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered of an incomplete line."""
        return len(self._line)

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """Add received bytes and return the objects that they complete.

        Raises:
            CallError: A line is too long or not a JSON object.
        """
        objects: list[dict[str, Any]] = []
        while True:
            part, newline, data = data.partition(b"\n")
            self._line.append(part)
            if self.buffered_bytes > self._max_line_bytes:
                self.clear()
                raise CallError(f"line too long: more than {self._max_line_bytes} bytes")
            if not newline:
                return objects
            objects.append(decode(self._line.take()))

    def clear(self) -> None:
        """Discard the buffered bytes."""
        self._line.clear()


def decode(line: bytes) -> dict[str, Any]:
    """Return the object that a line holds.

    Raises:
        CallError: The line holds no JSON object.
    """
    try:
        message = json.loads(line)
    except (ValueError, RecursionError):
        raise CallError(f"line is not JSON: {line[:40]!r}") from None
    if not isinstance(message, dict):
        raise CallError(f"line is not a JSON object: {line[:40]!r}")
    return message


def encode(message: dict[str, Any]) -> bytes:
    """Encode a call or a response as a line."""
    return json.dumps(message, separators=(",", ":"), default=str).encode() + b"\n"


def fault_response(reason: FaultReason, text: str) -> dict[str, Any]:
    """Return the response to a failed call with no conflicting configuration keys or problems to list."""
    return {"ok": False, "why": reason.value, "text": text, "keys": [], "problems": []}
