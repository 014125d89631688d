"""Request classes and tenants: their keys, units, defaults and bounds.

Field names are the keys of the file and must not be renamed; `limits` and `pool_settings` map them to the
names used in the code. Source: docs/operators/configuration.md and docs/operators/bodies.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from sandhatch.config.value_types import Milliseconds, Model
from sandhatch.streaming.limits import BodyLimits, StreamLimits
from sandhatch.streaming.progress import ProgressLimits

MAX_READ_BYTES = 32 * 1024  # maximum number of bytes that one read adds to a buffered body


class BodyDirection(Model):
    """Settings for the bodies of requests or of responses.

    Attributes:
        most_bytes: Maximum length of a body.
        hold_bytes: Length up to which a body is buffered completely before it is forwarded; the rest of a
            longer body is forwarded as it arrives.
        replay_bytes: Number of sent bytes that stay buffered for another attempt.
        ceiling_bytes: Maximum memory that one body may use.
        writer_stall_ms: Maximum time for which the sender of a body may send nothing.
        writer_floor_bytes_per_s: Minimum rate at which the sender must send.
        reader_stall_ms: Maximum time for which the receiver of a body may accept nothing.
        reader_floor_bytes_per_s: Minimum rate at which the receiver must accept.
        window_ms: Time over which rates are measured.
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
        # Bytes that are buffered and not yet sent count twice while another attempt receives them, and one
        # read adds to them.
        min_ceiling_bytes = 2 * max(self.hold_bytes, self.replay_bytes) + MAX_READ_BYTES
        if self.ceiling_bytes < min_ceiling_bytes:
            raise ValueError(
                f"ceiling_bytes: expected at least {min_ceiling_bytes}, got {self.ceiling_bytes}:"
                " it must hold 32 KiB and twice the larger of hold_bytes and replay_bytes"
            )
        return self

    def limits(self) -> BodyLimits:
        """Return these settings in the form that the streaming code uses."""
        return BodyLimits(
            self.most_bytes,
            self.hold_bytes,
            self.replay_bytes,
            self.ceiling_bytes,
            ProgressLimits(self.writer_stall_ms, self.writer_floor_bytes_per_s, self.window_ms),
            ProgressLimits(self.reader_stall_ms, self.reader_floor_bytes_per_s, self.window_ms),
        )


class Bodies(Model):
    """Settings for forwarding the long bodies of a class.

    Attributes:
        request: Settings for request bodies.
        answer: Settings for response bodies.
        total_ms: Deadline of a request with a long body.
        room_wait_ms: Maximum time that a body waits for memory.
        answer_hold_ms: Time for which a response is buffered before its forwarding starts although it is
            incomplete.
    """

    request: BodyDirection = BodyDirection()
    answer: BodyDirection = BodyDirection()
    total_ms: Milliseconds = 3_600_000.0
    room_wait_ms: Milliseconds = 2_000.0
    answer_hold_ms: Annotated[float, Field(ge=0, le=60_000)] = 100.0

    def limits(self) -> StreamLimits:
        """Return these settings in the form that the streaming code uses."""
        return StreamLimits(
            self.request.limits(),
            self.answer.limits(),
            self.total_ms,
            self.room_wait_ms,
            self.answer_hold_ms,
        )


class RequestClassModel(Model):
    """A class of requests.

    Attributes:
        effect: Idempotence of the requests: `safe` is idempotent, `keyed` idempotent with a key, `unsafe`
            not idempotent.
        aim_ms: Latency objective.
        deadline_ms: Time after which a response is of no use.
        worth: Priority weight of a request that is served within the latency objective.
        memory_ms: Time for which servers recognise a repeated idempotency key.
        bodies: Settings for forwarding long bodies.
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
        quota_per_s: Quota in requests per second, over all balancer instances together.
        fraction: The tenant's fraction of the service's traffic; the balancer does not use this value.
    """

    quota_per_s: Annotated[float, Field(ge=0, le=1e9)]
    fraction: Annotated[float, Field(ge=0, le=1)] = 0.0
