"""Non-blocking polls of one descriptor.

Nothing here reads, writes or waits. Source: poll(2).
"""

from __future__ import annotations

import select


def has_pending_event(descriptor: int, events: int = select.POLLIN) -> bool:
    """Whether any event is pending: by default unread bytes, end of stream, or a connection to accept."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def make_disconnect_poll(descriptor: int) -> select.poll:
    """Create a poll that detects the peer's shutdown of its sending side, even behind unread bytes.

    The poll is valid only while the descriptor is open: a closed descriptor's number may be reused.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return poll
