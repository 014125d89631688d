"""The socket layer of a client connection: writing, closing, and detection of disconnects.

Requests and responses are handled in the layers above. Source: RFC 9112 section 9.6 for the ways to close;
tcp(7).
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct

from sandhatch.downstream.interfaces import ConnectionResources
from sandhatch.downstream.socket_poll import make_disconnect_poll
from sandhatch.http1.body_endpoint import BodyEndpoint

# SO_LINGER enabled with a time of 0: the close discards unsent bytes and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientTransport(BodyEndpoint):
    """Base class of `ClientConnection`; the subclass sets `_transport` while the connection is open."""

    def __init__(self, listener: ConnectionResources) -> None:
        """Create the socket layer of a connection that `listener` has just accepted."""
        super().__init__()
        self.is_ending = False  # True once no further request is read from the connection
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._disconnect_poll: select.poll | None = None  # created by the first check for a disconnect

    @property
    def _descriptor(self) -> int:
        assert self._transport is not None
        return int(self._transport.get_extra_info("socket").fileno())

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the operating system has not accepted all written bytes yet."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def has_disconnected(self) -> bool:
        """Whether the client is known to have disconnected.

        The operating system reports a disconnect even while bytes before it are unread or reading is paused.
        Always false where the listener allows half-closed connections: a client that has only shut down its
        sending side may still wait for its response.
        """
        if self._transport is None or self._listener.half_close:
            return False
        if self._transport.is_closing():
            return True  # its descriptor's number may have been reused, so it can't be polled
        if self._disconnect_poll is None:
            self._disconnect_poll = make_disconnect_poll(self._descriptor)
        return bool(self._disconnect_poll.poll(0))

    def abort(self) -> None:
        """Close immediately, and discard bytes that the operating system has not accepted."""
        self.is_ending = True
        if self._transport is not None:
            self._transport.abort()

    def _reset(self) -> None:
        """Close with a reset, which the client can't mistake for the end of a complete response."""
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.abort()

    def _shut_down_sending(self) -> None:
        """Shut down the sending side after all written bytes, and resume reading."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write_eof()
            self._transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
