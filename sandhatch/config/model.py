"""Sandhatch's own, versioned configuration as a whole: its keys with their units, defaults and bounds.

A field's name is its key in the file. Every model rejects unknown keys. References between keys, such as
from a route to its pool, are checked in `references`. Source: docs/operators/configuration.md.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from sandhatch.config.class_model import RequestClassModel, TenantModel
from sandhatch.config.planning_model import Planning
from sandhatch.config.pool_model import Pool
from sandhatch.config.route_model import FixedResponse, RouteModel, TargetModel
from sandhatch.config.value_types import AddressText, Model, Name

MAX_LISTENERS = 64
MAX_CLASSES = 250
MAX_TENANTS = 1_000
MAX_POOLS = 1_000
MAX_ROUTES = 100_000


class ListenerModel(Model):
    """A listening socket.

    Attributes:
        address: An IPv4 address and port; port 0 selects a free port.
        half_close: Whether a client that closes its sending side after a complete request still receives
            the response; if not, it counts as disconnected.
    """

    address: AddressText
    half_close: bool = False


class Limits(Model):
    """Resource limits of the process.

    Attributes:
        memory_mb: Memory budget.
        sockets: Maximum number of descriptors for clients and servers together.
        drain_ms: Time that requests have to end after SIGTERM, unless the longest deadline of a class is
            longer: then that deadline.
    """

    memory_mb: Annotated[float, Field(ge=16, le=1e6)] = 64.0
    sockets: Annotated[int, Field(ge=64, le=1_000_000)] = 1024
    drain_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 30_000.0


class Watch(Model):
    """Settings of the goodput comparison that rolls back a commit automatically; see `goodput_watch`.

    Attributes:
        window_ms: Time after the commit for which the goodput is watched.
        before_ms: Time before the commit that the goodput is compared with.
        block_ms: Length of a block, the interval over which requests are counted.
        significance: Probability, over the whole window, of rolling back a change that made nothing worse.
        least_fall: Smallest drop of the goodput that counts, as a fraction of the priority weight received.
        enabled: Whether commits are watched.
    """

    window_ms: Annotated[float, Field(ge=1_000, le=3_600_000)] = 30_000.0
    before_ms: Annotated[float, Field(ge=1_000, le=3_600_000)] = 60_000.0
    block_ms: Annotated[float, Field(ge=50, le=60_000)] = 500.0
    significance: Annotated[float, Field(gt=0, le=0.2)] = 0.001
    least_fall: Annotated[float, Field(gt=0, le=1)] = 0.05
    enabled: bool = True


class Configuration(Model):
    """One complete configuration.

    Attributes:
        format: Version of the file format.
        name: Name of the process in its log.
        seed: Seed of all random draws.
        limits: Resource limits of the process.
        watch: Goodput watch after a commit.
        planning: Settings of this process as one of several forwarders; None without planners.
        listeners: Listening sockets by name.
        classes: Request classes by name.
        default_class: Class of a request that names no class.
        tenants: Tenants by name.
        pools: Pools by name.
        routes: Routes in order; the first that matches applies.
        default: Target of requests that no route matches.
    """

    format: Literal[1]
    name: Name = "sandhatch"
    seed: Annotated[int, Field(ge=0, lt=2**63)] = 0
    limits: Limits = Limits()
    watch: Watch = Watch()
    planning: Planning | None = None
    listeners: Annotated[dict[Name, ListenerModel], Field(min_length=1, max_length=MAX_LISTENERS)]
    classes: Annotated[dict[Name, RequestClassModel], Field(min_length=1, max_length=MAX_CLASSES)]
    default_class: Name | None = None
    tenants: Annotated[dict[Name, TenantModel], Field(max_length=MAX_TENANTS)] = Field(default_factory=dict)
    pools: Annotated[dict[Name, Pool], Field(max_length=MAX_POOLS)]
    routes: Annotated[list[RouteModel], Field(max_length=MAX_ROUTES)] = Field(default_factory=list)
    default: TargetModel = TargetModel(answer=FixedResponse(status=404))
