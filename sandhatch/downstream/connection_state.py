"""The states of a client connection, and how long each may last.

A state is derived from what the connection holds and is never stored. Source of the limits:
PROTOCOL-sandhatch.md; of the lingering close, RFC 9112 section 9.6.
"""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """What a client connection is waiting for; the first state that applies, in this order.

    ================== ================================================= =====================================
    state              holds                                             when its time is over
    ================== ================================================= =====================================
    CLOSING            its last answer was written; what still comes is  aborted after `LINGER_MS`
                       read and discarded (lingering close)
    RESPONSE_UNREAD    an answer that the client does not read           aborted after `REQUEST_MS`
    SERVING            a request that is in flight, or queued            aborted if the client disconnected
    WAITING_FOR_MEMORY the head of a long body                           503 after the terms' `memory_wait_ms`
    RECEIVING_BODY     the first part of a body                          408 by its writer's progress limits
    READING            a part of a request                               408 after `FIRST_REQUEST_MS`, or for
                                                                         a later request `REQUEST_MS`
    FRESH              nothing, and nothing was received before          closed after `FIRST_REQUEST_MS`
    IDLE               nothing; earlier requests were answered           closed after `IDLE_MS`
    ================== ================================================= =====================================

    The rest of a body that is streamed to a server belongs to SERVING: its flow has limits of its own.
    """

    CLOSING = "closing"
    RESPONSE_UNREAD = "answer unread"
    SERVING = "serving"
    WAITING_FOR_MEMORY = "waiting for memory"
    RECEIVING_BODY = "receiving body"
    READING = "reading"
    FRESH = "fresh"
    IDLE = "idle"
