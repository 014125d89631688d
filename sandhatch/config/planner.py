"""A planner's configuration: its keys, units, defaults and bounds. The page for operators is
docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, ValidationError, model_validator

from sandhatch.config.document import Document, read
from sandhatch.config.errors import CheckError
from sandhatch.config.problems import model_problems, sorted_problems
from sandhatch.config.value_types import AddressText, KeyText, Model, Name


class PlannerConfig(Model):
    """One planner. `format` is that of the file."""

    format: Literal[1]
    name: Name
    listen: AddressText
    shared_key_file: str | None = None
    private_key_file: str | None = None
    forwarders: Annotated[dict[Name, KeyText], Field(default_factory=dict, max_length=100_000)]  # public keys
    lease_ms: Annotated[float, Field(ge=100, le=60_000)] = 2_000.0
    lend_ms: Annotated[float, Field(ge=150, le=600_000)] = 3_000.0
    look_ms: Annotated[float, Field(ge=50, le=60_000)] = 250.0
    enough: Annotated[float, Field(ge=0, le=1)] = 0.5
    most_holders: Annotated[int, Field(ge=1, le=10_000)] = 64
    most_forwarders: Annotated[int, Field(ge=1, le=100_000)] = 10_000
    bytes_per_s: Annotated[float, Field(ge=4_096, le=1e8)] = 262_144.0  # of each forwarder

    @model_validator(mode="after")
    def _fits(self) -> Self:
        if (self.shared_key_file is None) == (self.private_key_file is None):
            raise ValueError("either shared_key_file or private_key_file is wanted, and not both")
        if bool(self.forwarders) != (self.private_key_file is not None):
            raise ValueError(
                "forwarders names the public keys that private_key_file goes with, and only then"
            )
        if self.lend_ms < 1.25 * self.lease_ms:
            raise ValueError(
                f"lend_ms {self.lend_ms:g} is below 1.25 times lease_ms, {1.25 * self.lease_ms:g}: a part"
                " must be lent for longer than a grant made of it lives"
            )
        return self


def check_planner(document: Document) -> PlannerConfig:
    """CheckError has every problem found."""
    if not isinstance(document.data, dict):
        raise CheckError([document.problem((), "the file holds no mapping of keys")])
    try:
        return PlannerConfig.model_validate(document.data)
    except ValidationError as failure:
        raise CheckError(sorted_problems(model_problems(document, failure), document)) from None


def check_planner_file(path: str) -> PlannerConfig:
    return check_planner(read(path))
