"""The limits under which bodies are streamed, as the configuration of a request's class sets them.

Values only. Source: `docs/operators/bodies.md`, which names the keys, their defaults and bounds.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.streaming.progress import ProgressLimits


@dataclass(slots=True, frozen=True)
class BodyTerms:
    """Limits of the body in one direction.

    Attributes:
        max_bytes: Largest body that is accepted.
        hold_bytes: Bytes that are buffered before streaming begins; a smaller body is buffered completely.
        replay_bytes: Size of the replay buffer: what was sent is kept for a retry up to this size.
        ceiling_bytes: Most memory that the body may ever take.
        writer: Progress of the side that sends the body.
        reader: Progress of the side that receives it.
    """

    max_bytes: int
    hold_bytes: int
    replay_bytes: int
    ceiling_bytes: int
    writer: ProgressLimits
    reader: ProgressLimits


@dataclass(slots=True, frozen=True)
class StreamTerms:
    """Limits of a request in both directions.

    Attributes:
        request: Of the request's body.
        response: Of the answer's body.
        total_ms: Time of the complete exchange, from its begin.
        memory_wait_ms: How long a new request waits for memory before it is rejected; the key `room_wait_ms`.
        response_hold_ms: Time after which an answer that has begun is streamed, however little of it has
            come.
    """

    request: BodyTerms
    response: BodyTerms
    total_ms: float
    memory_wait_ms: float
    response_hold_ms: float
