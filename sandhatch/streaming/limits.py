"""Limits for streaming bodies, as set by the configuration of a request's class.

Values only. Source: `docs/operators/bodies.md`, which documents the keys, their defaults and their ranges.
"""

from __future__ import annotations

from dataclasses import dataclass

from sandhatch.streaming.progress import ProgressLimits


@dataclass(slots=True, frozen=True)
class BodyLimits:
    """Limits of the body in one direction.

    Attributes:
        max_bytes: Maximum size of the body.
        hold_bytes: Number of bytes that are buffered before streaming begins; a body of at most this size is
            buffered completely.
        replay_bytes: Size of the replay buffer, which retains the sent bytes for a retry up to this size.
        ceiling_bytes: Maximum memory that the body may use at any time.
        writer: Progress limits of the side that sends the body.
        reader: Progress limits of the side that receives the body.
    """

    max_bytes: int
    hold_bytes: int
    replay_bytes: int
    ceiling_bytes: int
    writer: ProgressLimits
    reader: ProgressLimits


@dataclass(slots=True, frozen=True)
class StreamLimits:
    """Limits of a request in both directions.

    Attributes:
        request: Limits of the request body.
        response: Limits of the response body.
        total_ms: Maximum duration of the complete exchange, from its start.
        memory_wait_ms: Maximum time that a new request waits for memory before it is rejected; the
            configuration key is `room_wait_ms`.
        response_hold_ms: Time after which a response that has begun is streamed even if less than its
            `hold_bytes` have been received; the configuration key is `answer_hold_ms`.
    """

    request: BodyLimits
    response: BodyLimits
    total_ms: float
    memory_wait_ms: float
    response_hold_ms: float
