"""Errors in HTTP/1.1 messages, as an exception and as a value.

Both hold the status and the text of the response, never the received bytes. Source: RFC 9112, RFC 9110
section 15.
"""

from __future__ import annotations

from dataclasses import dataclass


class FramingError(Exception):
    """A message is malformed, exceeds a limit or is rejected.

    Attributes:
        status: HTTP status of the response if a client sent the message.
    """

    def __init__(self, status: int, text: str) -> None:
        """Create the error; `text` is the reason and may be sent to the client."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Fault:
    """Reason why a parser has stopped for good.

    It replaces the exception, whose traceback would keep the parser alive.

    Attributes:
        status: HTTP status of the response if a client sent the message.
        text: Description of the fault, for the client or the log.
    """

    status: int
    text: str
