"""The socket side of a client connection: writing, closing, and what the system knows of the client.

Knows nothing of requests and answers. Source: RFC 9112 section 9.6 for the ways to close; tcp(7).
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from sandhatch.downstream.interfaces import ConnectionOwner
from sandhatch.downstream.socket_poll import disconnect_poll
from sandhatch.http1.body_endpoint import BodyEndpoint

# SO_LINGER switched on with no time: the close discards what is unsent and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientTransport(BodyEndpoint):
    """To be inherited by a client connection, which sets `_transport` while the connection is up."""

    def __init__(self, listener: ConnectionOwner) -> None:
        """Make the socket side of a connection that `listener` has just accepted."""
        super().__init__()
        self.ending = False  # no further request is read
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._disconnect_poll: select.poll | None = None  # made when first needed

    @property
    def _descriptor(self) -> int:
        assert self._transport is not None
        return int(self._transport.get_extra_info("socket").fileno())

    @property
    def undelivered(self) -> bool:
        """Whether the system has not taken all of its answers yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def has_disconnected(self) -> bool:
        """Whether the client is known to have disconnected.

        The system knows before the bytes ahead of the end are read, and while reading is paused. A client
        that has only shut down its sending side may still wait for its answer, where the listener allows it.
        """
        if self._transport is None or self._listener.half_close:
            return False
        if self._transport.is_closing():
            return True  # and its descriptor's number may have been reused
        if self._disconnect_poll is None:
            self._disconnect_poll = disconnect_poll(self._descriptor)
        return bool(self._disconnect_poll.poll(0))

    def abort(self) -> None:
        """Close it at once, and discard what the system has not taken."""
        self.ending = True
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        """Close with a reset, which the client can't take for the end of a complete answer."""
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def _shut_down_sending(self) -> None:
        """Send the end after what was written, and read what the client still sends."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()
            self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
