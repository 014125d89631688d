"""Common part of both ends of a planning connection: the asyncio protocol around a `Session`.

Limits the duration of the handshake, the peer's frames and bytes per second, and the bytes that the peer
leaves unread. Messages are interpreted by the subclass of each end. Source: the bounds of
docs/planning-link.md.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import ClassVar, cast

from sandhatch.planning.errors import SessionError
from sandhatch.planning.receive_limit import ReceiveLimit
from sandhatch.planning.session import Event, Session
from sandhatch.runtime.clock import Clock

HANDSHAKE_TIMEOUT_MS = 5_000.0
MAX_UNSENT_BYTES = 1 << 20  # size of the write buffer above which a peer that does not read is disconnected
PEER_FRAMES_PER_S = 20.0
PEER_BURST_S = 5.0


class PeerConnection(asyncio.Protocol, ABC):
    """One end of a connection between a forwarder and a planner.

    Attributes:
        session: The session on this connection.
    """

    PEER_ROLE: ClassVar[str]  # role of the peer, for error messages

    def __init__(self, session: Session, clock: Clock, bytes_per_s: float) -> None:
        """Prepare a connection; asyncio opens it.

        Args:
            session: The connection's session, before the handshake.
            clock: The process's clock.
            bytes_per_s: Maximum rate of bytes from the peer.
        """
        self.session = session
        self._clock = clock
        self._receive_limit = ReceiveLimit(PEER_FRAMES_PER_S, bytes_per_s, PEER_BURST_S, clock.now_ms())
        self._transport: asyncio.Transport | None = None
        self._deadline = clock.call_after(HANDSHAKE_TIMEOUT_MS, self._handshake_timed_out)

    @abstractmethod
    def close(self, reason: str) -> None:
        """Write the session's pending output, and end the connection for this reason."""

    @abstractmethod
    def _handle(self, event: Event, now_ms: float) -> None:
        """Handle an event of the session.

        Raises:
            SessionError: The peer's role does not permit this message.
        """

    @abstractmethod
    def _session_failed(self, error: SessionError) -> None:
        """Handle a peer that violated the protocol or is not authenticated."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Handle the events that the received bytes complete."""
        now_ms = self._clock.now_ms()
        try:
            for event, frame_bytes in self.session.feed(data):
                if not self._receive_limit.take(frame_bytes, now_ms):
                    raise SessionError(f"more messages than a {self.PEER_ROLE} may send")
                self._handle(event, now_ms)
                if self._transport is None:
                    return
        except SessionError as error:
            self._session_failed(error)
        self.flush()

    def flush(self) -> None:
        """Write the session's pending output."""
        if self._transport is not None and self.session.has_output:
            self._transport.write(self.session.take_output())

    @property
    def _is_send_buffer_full(self) -> bool:
        return self._transport is not None and self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    def _handshake_timed_out(self) -> None:
        if not self.session.established:
            self.close("no handshake in time")
