"""Pools and their servers: their keys, units, defaults and bounds.

Field names are the keys of the file and must not be renamed; `pool_settings` maps them to the names used in
the code. Source: docs/operators/configuration.md and docs/operators/planning.md.
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
        state: `ready`, or `draining` for a server that receives no new attempts.
        weight: Share of the attempts, relative to the weights of the other servers.
    """

    address: AddressText
    state: Literal["ready", "draining"] = "ready"
    weight: Annotated[float, Field(ge=0, le=1e6)] = 1.0


class DiscoverySource(Model):
    """The platform's discovery service as the source of a pool's endpoint list.

    Attributes:
        discovery: An IPv4 address and port.
        ask: Whether the discovery service sends endpoint lists only when polled.
    """

    discovery: AddressText
    ask: bool = False


class Pool(Model):
    """Servers that do the same work, and how requests are sent to them. Either `servers` or `source`.

    Attributes:
        servers: Configured servers by name.
        source: Source of the endpoint list.
        max_attempts: Maximum number of attempts for one request.
        may_cancel: Whether an attempt may be cancelled by closing its connection.
        second_copies: Whether requests may be hedged.
        max_connections: Maximum number of connections to all servers of the pool.
        connect_timeout_ms: Time limit for opening a connection.
        idle_ms: Time for which an unused connection stays in the connection pool.
        drain_grace_ms: Time from the notification that a server is draining or removed to the last attempt
            that may still be sent to it.
        cold_share: Initial fraction of its capacity that a server added by a change receives.
        cold_ms: Time for which a server added by a change is warming up.
        new_servers: Whether servers that a change adds warm up (`cold`) or not (`warm`).
        copies: Number of balancer instances that send to these servers.
        ramp_per_s: Attempts per second that all instances together may send to a server at the end of its
            warm-up; 0 lets each instance go by its own traffic.
        ramp_burst: Attempts that may be sent at once beyond `ramp_per_s`; 0 for one per instance.
        planned: Whether the pool is reported to planners, if there are any.
        tier: Position in the chain of calls. Only the first tier, 0, rejects requests before work has been
            spent on them upstream of it.
        require_reachable: Whether a change that adds this pool is rejected while no connection can be opened
            to any of its servers.
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
