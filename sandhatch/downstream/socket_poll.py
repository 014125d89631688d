"""Questions to the operating system about one descriptor, answered at once.

Never reads, writes or waits. Source: poll(2).
"""

from __future__ import annotations

import select


def waits(descriptor: int, events: int = select.POLLIN) -> bool:
    """Whether any of the events is pending: by default unread bytes, an end, or a connection to accept."""
    poll = select.poll()
    poll.register(descriptor, events)
    return bool(poll.poll(0))


def disconnect_poll(descriptor: int) -> select.poll:
    """Makes a poll for the peer's end of its sending side, found even while bytes before it are unread.

    To be kept for as long as the descriptor is open, and no longer: its number may be reused.
    """
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return poll
