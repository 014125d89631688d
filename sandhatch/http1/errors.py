"""What is wrong with bytes that should be HTTP/1.1, as an exception and as a value.

Carries the status and the text of the answer; never the bytes. Source: RFC 9112, RFC 9110 section 15.
"""

from __future__ import annotations

from dataclasses import dataclass


class FramingError(Exception):
    """A message must not be accepted.

    Attributes:
        status: HTTP status of the answer to a client that sent it.
    """

    def __init__(self, status: int, text: str) -> None:
        """Say why, in a text that the client may read."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Fault:
    """Why a parser reads no further message.

    Not the exception itself, whose traceback would keep the parser alive.

    Attributes:
        status: HTTP status of the answer to a client that sent the message.
        text: Why, for the client or the log.
    """

    status: int
    text: str
