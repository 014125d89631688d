"""Events that a parser returns for the bytes of one read, in the order of the bytes.

Plain values without behaviour. Source: RFC 9112 section 6.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.http1.message import Message
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece


@dataclass(slots=True, frozen=True)
class BodyEnd:
    """The end of a body that was streamed.

    Attributes:
        trailers: Trailer fields of a chunked body, without the forbidden ones.
    """

    trailers: Headers


# An event is a message that is complete, or a piece of a streamed body, or the end of a streamed body.
Event = Message | Piece | BodyEnd
