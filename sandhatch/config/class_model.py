"""Request classes and tenants: their keys, units, defaults and bounds.

A field's name is its key in the file, so it keeps its spelling; `terms` and `pool_settings` translate the
fields into the names of the code. Source: docs/operators/configuration.md and docs/operators/bodies.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from sandhatch.config.value_types import Milliseconds, Model
from sandhatch.streaming.progress import ProgressLimits
from sandhatch.streaming.terms import BodyTerms, StreamTerms

READ_BYTES = 32 * 1024  # what one read may add to a body that is being held


class BodyDirection(Model):
    """The bodies of requests, or those of responses.

    Attributes:
        most_bytes: The longest body that is accepted.
        hold_bytes: A body up to this length is read completely before it is forwarded; a longer one is
            forwarded as it arrives from there on.
        replay_bytes: How much of what was sent is kept for another attempt.
        ceiling_bytes: The most memory that one body may use.
        writer_stall_ms: The longest time for which the sender may send nothing.
        writer_floor_bytes_per_s: The slowest rate at which the sender may send.
        reader_stall_ms: The longest time for which the receiver may accept nothing.
        reader_floor_bytes_per_s: The slowest rate at which the receiver may accept.
        window_ms: The time over which rates are measured.
    """

    most_bytes: Annotated[int, Field(ge=0, le=2**50)] = 2**30
    hold_bytes: Annotated[int, Field(ge=1024, le=2**20)] = 64 * 1024
    replay_bytes: Annotated[int, Field(ge=0, le=2**24)] = 64 * 1024
    ceiling_bytes: Annotated[int, Field(ge=160 * 1024, le=2**26)] = 256 * 1024
    writer_stall_ms: Milliseconds = 10_000.0
    writer_floor_bytes_per_s: Annotated[float, Field(ge=0, le=1e9)] = 512.0
    reader_stall_ms: Milliseconds = 10_000.0
    reader_floor_bytes_per_s: Annotated[float, Field(ge=0, le=1e9)] = 512.0
    window_ms: Milliseconds = 10_000.0

    @model_validator(mode="after")
    def _check_ceiling(self) -> Self:
        # Bytes kept and not sent yet count twice while another attempt gets them, and a read comes on top.
        least = 2 * max(self.hold_bytes, self.replay_bytes) + READ_BYTES
        if self.ceiling_bytes < least:
            raise ValueError(
                f"ceiling_bytes: expected at least {least}, got {self.ceiling_bytes}: it must hold 32 KiB"
                " and twice the larger of hold_bytes and replay_bytes"
            )
        return self

    def terms(self) -> BodyTerms:
        """Return the same for the code that forwards bodies."""
        return BodyTerms(
            self.most_bytes,
            self.hold_bytes,
            self.replay_bytes,
            self.ceiling_bytes,
            ProgressLimits(self.writer_stall_ms, self.writer_floor_bytes_per_s, self.window_ms),
            ProgressLimits(self.reader_stall_ms, self.reader_floor_bytes_per_s, self.window_ms),
        )


class Bodies(Model):
    """How the long bodies of a class are forwarded.

    Attributes:
        request: The bodies of its requests.
        answer: The bodies of its responses.
        total_ms: The deadline of a request with a long body.
        room_wait_ms: How long a body waits for memory.
        answer_hold_ms: How long a response is held before it is forwarded incomplete.
    """

    request: BodyDirection = BodyDirection()
    answer: BodyDirection = BodyDirection()
    total_ms: Milliseconds = 3_600_000.0
    room_wait_ms: Milliseconds = 2_000.0
    answer_hold_ms: Annotated[float, Field(ge=0, le=60_000)] = 100.0

    def terms(self) -> StreamTerms:
        """Return the same for the code that forwards bodies."""
        return StreamTerms(
            self.request.terms(),
            self.answer.terms(),
            self.total_ms,
            self.room_wait_ms,
            self.answer_hold_ms,
        )


class RequestClassModel(Model):
    """A class of requests.

    Attributes:
        effect: What a repeated request does: `safe` is idempotent, `keyed` idempotent with a key, `unsafe`
            not idempotent.
        aim_ms: The latency objective.
        deadline_ms: The time after which a response is of no use.
        worth: The priority weight of a response within the objective.
        memory_ms: How long servers recognise a repeated key.
        bodies: How long bodies are forwarded.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Field(ge=0, le=1e6)] = 1.0
    memory_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 0.0
    bodies: Bodies = Bodies()

    @model_validator(mode="after")
    def _check_times(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            raise ValueError(
                f"aim_ms: expected at most deadline_ms, {self.deadline_ms:g}, got {self.aim_ms:g}"
            )
        if self.bodies.total_ms < self.deadline_ms:
            raise ValueError(
                f"bodies.total_ms: expected at least deadline_ms, {self.deadline_ms:g}, got"
                f" {self.bodies.total_ms:g}: a long body may take longer than a short one, not less"
            )
        return self


class TenantModel(Model):
    """A tenant.

    Attributes:
        quota_per_s: The requests a second that it may always send.
        fraction: The part of the capacity that is reserved for it.
    """

    quota_per_s: Annotated[float, Field(ge=0, le=1e9)]
    fraction: Annotated[float, Field(ge=0, le=1)] = 0.0
