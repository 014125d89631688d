"""Selection of the open connection to evict when a new client needs a descriptor.

The listener closes the selected connection. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from sandhatch.downstream.client_connection import ClientConnection

# Maximum number of connections examined in each group, which bounds the cost of one accept.
MAX_SCANNED_PER_GROUP = 32


def find_evictable(*groups: Iterable[ClientConnection]) -> ClientConnection | None:
    """Find a connection that can be closed without losing a complete request or a response.

    Protects active clients against clients that connect and stay silent. An idle connection with unread bytes
    is not evicted, since closing it would abort a request; neither is one whose last response has not been
    sent completely.

    Args:
        groups: Connections in the order of eviction, all connections of a group before the next group.

    Returns:
        The connection to evict, or None if none of those examined can be evicted.
    """
    for group in groups:
        for connection in islice(group, MAX_SCANNED_PER_GROUP):
            if not connection.has_unsent_bytes and (
                connection.is_ending or connection.is_idle_without_unread_input()
            ):
                return connection
    return None
