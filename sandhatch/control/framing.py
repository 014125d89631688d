"""The control socket's framing: one JSON object a line each way, read piece by piece and bounded. No I/O.

A call is `{"op": NAME, ...}`; an answer `{"ok": true, ...}` or `{"ok": false, "why": WORD, "text": TEXT,
"keys": [...], "problems": [...]}`.
"""

from __future__ import annotations

import json
from typing import Any

MAX_LINE = 40 * 1024 * 1024  # a configuration of the most bytes, written as a JSON string


class CallError(ValueError):
    """What came is no call; nothing more is read from such a peer."""


class LineReader:
    """Bytes in, objects out."""

    def __init__(self, most: int = MAX_LINE) -> None:
        self._most = most
        self._parts: list[bytes] = []
        self.held = 0

    def feed(self, data: bytes) -> list[dict[str, Any]]:
        """The objects that these bytes complete; CallError if one is none, or too long."""
        found: list[dict[str, Any]] = []
        while True:
            line, newline, data = data.partition(b"\n")
            self._parts.append(line)
            self.held += len(line)
            if self.held > self._most:
                self.clear()
                raise CallError(f"a call of more than {self._most} bytes")
            if not newline:
                return found
            whole = b"".join(self._parts)
            self.clear()
            found.append(decode(whole))

    def clear(self) -> None:
        self._parts, self.held = [], 0


def decode(line: bytes) -> dict[str, Any]:
    try:
        call = json.loads(line)
    except (ValueError, RecursionError):
        raise CallError(f"not JSON: {line[:40]!r}") from None
    if not isinstance(call, dict):
        raise CallError(f"not an object: {line[:40]!r}")
    return call


def encode(message: dict[str, Any]) -> bytes:
    return json.dumps(message, separators=(",", ":"), default=str).encode() + b"\n"


def fault(why: str, text: str) -> dict[str, Any]:
    """A refusal of which there is no more to say."""
    return {"ok": False, "why": why, "text": text, "keys": [], "problems": []}
