"""Pools and their servers: their keys, units, defaults and bounds.

A field's name is its key in the file, so it keeps its spelling; `pool_settings` translates the fields into
the names of the code. Source: docs/operators/configuration.md and docs/operators/planning.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, model_validator

from sandhatch.config.value_types import AddressText, Milliseconds, Model, Name, require_exactly_one

MAX_SERVERS = 10_000


class Server(Model):
    """One server of a pool.

    Attributes:
        address: An IPv4 address and port.
        state: `draining`: it gets no new attempts.
        weight: Its part of the attempts, relative to those of the other servers.
    """

    address: AddressText
    state: Literal["ready", "draining"] = "ready"
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0


class DiscoverySource(Model):
    """The platform's discovery as the source of a pool's endpoint list.

    Attributes:
        discovery: An IPv4 address and port.
        ask: Whether lists come only when polled.
    """

    discovery: AddressText
    ask: bool = False


class Pool(Model):
    """Servers that do the same work, and how requests are sent to them. Either `servers` or `source`.

    Attributes:
        servers: By name.
        source: Where the endpoint list comes from.
        max_attempts: For one request.
        may_cancel: Whether an attempt may be cancelled by closing its connection.
        second_copies: Whether requests may be hedged.
        max_connections: To all its servers.
        connect_timeout_ms: For opening a connection.
        idle_ms: How long an unused connection is pooled.
        drain_grace_ms: From the notice that a server is draining or removed to the last attempt that may
            still be sent to it.
        cold_share: The part of its capacity with which a server starts that a change adds.
        cold_ms: How long such a server is warming up.
        new_servers: Whether servers that a change adds warm up.
        copies: The number of balancer instances that send to these servers.
        ramp_per_s: What all instances together may send to a server that is warming up: attempts a second
            once it is warm. 0: each instance goes by its own traffic.
        ramp_burst: Attempts at once beyond that; 0: one an instance.
        planned: Whether it is reported to planners, where there are any.
        tier: Its place in the chain of calls. Only the first, 0, rejects requests before work is spent on
            them above it.
        require_reachable: Whether a change that adds this pool is rejected while none of its servers can be
            connected to.
    """

    servers: Annotated[dict[Name, Server], Field(max_length=MAX_SERVERS)] | None = None
    source: DiscoverySource | None = None
    max_attempts: Annotated[int, Field(ge=1, le=16)] = 2
    may_cancel: bool = True
    second_copies: bool = False
    max_connections: Annotated[int, Field(ge=1, le=100_000)] = 256
    connect_timeout_ms: Milliseconds = 250.0
    idle_ms: Milliseconds = 30_000.0
    drain_grace_ms: Annotated[float, Field(ge=0, le=2_000)] = 2_000.0
    cold_share: Annotated[float, Field(gt=0, le=1)] = 0.1
    cold_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 30_000.0
    new_servers: Literal["cold", "warm"] = "cold"
    copies: Annotated[int, Field(ge=1, le=10_000)] = 1
    ramp_per_s: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    ramp_burst: Annotated[float, Field(ge=0, le=1e6)] = 0.0
    planned: bool = True
    tier: Annotated[int, Field(ge=0, le=15)] = 0
    require_reachable: bool = True

    @model_validator(mode="after")
    def _check_origin_and_burst(self) -> Self:
        require_exactly_one(self, "servers", "source")
        if 0.0 < self.ramp_burst < 1.0:
            raise ValueError(
                f"ramp_burst: expected 0 or at least 1, got {self.ramp_burst:g}:"
                " a smaller burst lets no request through"
            )
        return self
