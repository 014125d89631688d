"""Planning settings of a forwarder: their keys, units, defaults and bounds.

A field's name is its key in the file. The planner's own configuration is in `planner`. Source:
docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Self

from pydantic import Field, model_validator

from sandhatch.config.value_types import AddressText, KeyText, Model, Name, require_exactly_one

MAX_PLANNERS = 16


class PlannerPeer(Model):
    """A planner's address, and its public key if Ed25519 keys are used."""

    address: AddressText
    public_key: KeyText | None = None


class Planning(Model):
    """Settings of this process as one of several forwarders.

    Attributes:
        name: Name of this forwarder at the planners; `forwarder-PLACE` if none is given.
        place: Index of this forwarder, from 0 on; unique among the forwarders.
        planners: Planners to connect to, in the order in which this forwarder's shares are leased to them.
        shared_key_file: File with the key that all planners and forwarders share, in place of Ed25519 keys.
        private_key_file: File with this forwarder's Ed25519 key.
        report_ms: Interval between two reports.
        bytes_per_s: Maximum rate at which data is sent to each planner.
        most_lease_ms: Longest lease that is accepted.
        hold_ms: Time for which a planner higher in the list must be healthy before it is used again.
        shun_ms: Time for which a planner with repeated faults is not connected to; doubled each further time.
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
        """Name of this forwarder at the planners."""
        return self.name or f"forwarder-{self.place}"
