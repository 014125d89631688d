"""A planner's configuration: its keys, units, defaults and bounds.

Field names are the keys of the file and must not be renamed. The planning settings of forwarders are in
`planning_model`. Source: docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, ValidationError, model_validator

from sandhatch.config.document import Document, read
from sandhatch.config.errors import CheckError
from sandhatch.config.problems import format_value, model_problems, sorted_problems
from sandhatch.config.value_types import AddressText, KeyText, Model, Name, require_exactly_one

MIN_LEND_TO_LEASE_RATIO = (
    1.25  # a share must be leased to the planner for longer than a grant from it is valid
)


class PlannerConfig(Model):
    """Configuration of one planner.

    Attributes:
        format: Version of the file format.
        name: Name of the planner in its log and at the forwarders.
        listen: IPv4 address and port.
        shared_key_file: File with the key that all planners and forwarders share, in place of Ed25519 keys.
        private_key_file: File with this planner's Ed25519 key.
        forwarders: Public keys of the forwarders by name; only with `private_key_file`.
        lease_ms: Time for which a grant is valid.
        lend_ms: Time for which a forwarder leases its shares to the planner, from the last advice that the
            forwarder used; also the length of a planner's learning phase after its start.
        look_ms: Interval between two computations of the weights.
        enough: Fraction of a pool's forwarders that must have reported before weights are advised.
        most_holders: Maximum number of forwarders with a share in one server's warm-up.
        most_forwarders: Maximum number of connections from forwarders.
        bytes_per_s: Maximum rate at which each forwarder may send.
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
        min_lend_ms = MIN_LEND_TO_LEASE_RATIO * self.lease_ms
        if self.lend_ms < min_lend_ms:
            raise ValueError(
                f"lend_ms: expected at least {min_lend_ms:g}, {MIN_LEND_TO_LEASE_RATIO} times lease_ms, got"
                f" {self.lend_ms:g}: a share must be leased for longer than a grant out of it is valid"
            )
        return self


def check_planner(document: Document) -> PlannerConfig:
    """Check a document; raises CheckError with every problem."""
    if not isinstance(document.data, dict):
        raise CheckError(
            [document.problem((), f"expected a mapping of keys, got {format_value(document.data)}")]
        )
    try:
        return PlannerConfig.model_validate(document.data)
    except ValidationError as failure:
        raise CheckError(sorted_problems(model_problems(document, failure), document)) from None


def check_planner_file(path: str) -> PlannerConfig:
    """Check a planner's configuration file; raises CheckError also if the file can't be read."""
    return check_planner(read(path))
