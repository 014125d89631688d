"""The forwarder's side of planning: its keys, units, defaults and bounds.

A field's name is its key in the file. The planner's own configuration is `planner`. Source:
docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Self

from pydantic import Field, model_validator

from sandhatch.config.value_types import AddressText, KeyText, Model, Name, require_exactly_one

MAX_PLANNERS = 16


class PlannerPeer(Model):
    """A planner, and its public key where keys are Ed25519."""

    address: AddressText
    public_key: KeyText | None = None


class Planning(Model):
    """This process as one of several forwarders.

    Attributes:
        name: At the planners; `forwarder-PLACE` if none is given.
        place: Which of the forwarders it is, from 0 on; no two may have the same.
        planners: Those that it connects to, in the order in which its parts are leased to them.
        shared_key_file: The key of all planners and forwarders, in place of Ed25519.
        private_key_file: Its own Ed25519 key.
        report_ms: The time between two reports.
        bytes_per_s: What it sends to each planner, at most.
        most_lease_ms: The longest lease that it accepts.
        hold_ms: How long a planner higher in the list must be well before it is used again.
        shun_ms: How long a planner is avoided that has given wrong advice.
    """

    name: Name | None = None
    place: Annotated[int, Field(ge=0, le=9_999)] = 0
    planners: Annotated[dict[Name, PlannerPeer], Field(max_length=MAX_PLANNERS)] = Field(default_factory=dict)
    shared_key_file: str | None = None
    private_key_file: str | None = None
    report_ms: Annotated[float, Field(ge=50, le=10_000)] = 250.0
    bytes_per_s: Annotated[float, Field(ge=4_096, le=1e8)] = 65_536.0
    most_lease_ms: Annotated[float, Field(ge=100, le=600_000)] = 10_000.0
    hold_ms: Annotated[float, Field(ge=0, le=600_000)] = 5_000.0
    shun_ms: Annotated[float, Field(ge=100, le=600_000)] = 10_000.0

    @model_validator(mode="after")
    def _check_keys(self) -> Self:
        if not self.planners:
            return self
        require_exactly_one(self, "shared_key_file", "private_key_file")
        for name, peer in self.planners.items():
            if peer.public_key is None and self.private_key_file is not None:
                raise ValueError(
                    f"planners.{name}.public_key: expected a key, since there is a private_key_file"
                )
            if peer.public_key is not None and self.private_key_file is None:
                raise ValueError(
                    f"planners.{name}.public_key: expected none, since there is no private_key_file"
                )
        return self

    @property
    def forwarder(self) -> str:
        """Its name at the planners."""
        return self.name or f"forwarder-{self.place}"
