"""A planner's configuration: its keys, units, defaults and bounds.

A field's name is its key in the file, so it keeps its spelling. The forwarder's side of planning is
`planning_model`. Source: docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, ValidationError, model_validator

from sandhatch.config.document import Document, read
from sandhatch.config.errors import CheckError
from sandhatch.config.problems import format_value, model_problems, sorted_problems
from sandhatch.config.value_types import AddressText, KeyText, Model, Name, require_exactly_one

LEAST_LEASES_PER_LOAN = 1.25  # a part must be leased to the planner for longer than a grant out of it


class PlannerConfig(Model):
    """One planner.

    Attributes:
        format: That of the file.
        name: Of the planner, in its log and at the forwarders.
        listen: An IPv4 address and port.
        shared_key_file: The key of all planners and forwarders, in place of Ed25519.
        private_key_file: Its own Ed25519 key.
        forwarders: Their public keys, by name; only with `private_key_file`.
        lease_ms: How long a grant is valid.
        lend_ms: How long a forwarder leases its parts to the planner after the last advice that it used;
            also how long a planner learns after its start.
        look_ms: The time between two computations of the weights.
        enough: The part of a pool's forwarders that must have reported before weights are advised.
        most_holders: The most forwarders with a part in one server's warm-up.
        most_forwarders: The most connections.
        bytes_per_s: What each forwarder may send.
    """

    format: Literal[1]
    name: Name
    listen: AddressText
    shared_key_file: str | None = None
    private_key_file: str | None = None
    forwarders: Annotated[dict[Name, KeyText], Field(max_length=100_000)] = Field(default_factory=dict)
    lease_ms: Annotated[float, Field(ge=100, le=60_000)] = 2_000.0
    lend_ms: Annotated[float, Field(ge=150, le=600_000)] = 3_000.0
    look_ms: Annotated[float, Field(ge=50, le=60_000)] = 250.0
    enough: Annotated[float, Field(ge=0, le=1)] = 0.5
    most_holders: Annotated[int, Field(ge=1, le=10_000)] = 64
    most_forwarders: Annotated[int, Field(ge=1, le=100_000)] = 10_000
    bytes_per_s: Annotated[float, Field(ge=4_096, le=1e8)] = 262_144.0

    @model_validator(mode="after")
    def _check_keys_and_leases(self) -> Self:
        require_exactly_one(self, "shared_key_file", "private_key_file")
        if self.private_key_file is not None and not self.forwarders:
            raise ValueError("forwarders: expected their public keys, since there is a private_key_file")
        if self.private_key_file is None and self.forwarders:
            raise ValueError("forwarders: expected no public keys, since there is no private_key_file")
        least_ms = LEAST_LEASES_PER_LOAN * self.lease_ms
        if self.lend_ms < least_ms:
            raise ValueError(
                f"lend_ms: expected at least {least_ms:g}, {LEAST_LEASES_PER_LOAN} times lease_ms, got"
                f" {self.lend_ms:g}: a share must be leased for longer than a grant out of it is valid"
            )
        return self


def check_planner(document: Document) -> PlannerConfig:
    """Check a document; CheckError holds every problem."""
    if not isinstance(document.data, dict):
        raise CheckError(
            [document.problem((), f"expected a mapping of keys, got {format_value(document.data)}")]
        )
    try:
        return PlannerConfig.model_validate(document.data)
    except ValidationError as failure:
        raise CheckError(sorted_problems(model_problems(document, failure), document)) from None


def check_planner_file(path: str) -> PlannerConfig:
    """Check a planner's configuration file; CheckError also where it can't be read."""
    return check_planner(read(path))
