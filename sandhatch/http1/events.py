"""What a parser returns for the bytes of one read, in their order.

Plain values without behaviour. Source: RFC 9112 section 6.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.http1.message import Message
from sandhatch.streaming.headers import Headers
from sandhatch.streaming.interfaces import Piece


@dataclass(slots=True, frozen=True)
class End:
    """The end of a body that was streamed.

    Attributes:
        trailers: Fields behind a chunked body, without those that must not stand there.
    """

    trailers: Headers


# A complete message; or a piece of the streamed body; or that body's end.
Event = Message | Piece | End
