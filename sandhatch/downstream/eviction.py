"""Which open connection gives way when a new client needs its descriptor.

Decides only; the listener closes what is found. Source: PROTOCOL-sandhatch.md.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from sandhatch.downstream.client_connection import ClientConnection

# Connections looked at in each group: bounds the cost of one accept.
SCAN_LIMIT = 32


def find_evictable(*groups: Iterable[ClientConnection]) -> ClientConnection | None:
    """Finds a connection whose close loses nothing.

    Protects active clients against those that connect and stay silent. A connection with unread bytes is
    spared, since closing it would abort a request; so is one whose last answer has not been sent in full.

    Args:
        groups: Connections in the order in which they give way, the first group before the second.
    """
    for group in groups:
        for connection in islice(group, SCAN_LIMIT):
            if not connection.undelivered and (connection.ending or connection.is_quiet()):
                return connection
    return None
