"""The project's own configuration as a whole: what its keys are, their units, defaults and bounds.

A field's name is its key in the file. Every model rejects keys that it does not know. What one key says of
another, such as a route of its pool, is checked in `references`. Source: docs/operators/configuration.md.
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
        address: An IPv4 address and port; port 0 picks a free one.
        half_close: Whether a client that has closed its sending side after a complete request still gets its
            response; else it counts as disconnected.
    """

    address: AddressText
    half_close: bool = False


class Limits(Model):
    """The limits of the process.

    Attributes:
        memory_mb: The memory budget.
        sockets: Descriptors for clients and servers together.
        drain_ms: The time after SIGTERM for requests to end; the longest deadline of the classes where that
            is longer.
    """

    memory_mb: Annotated[float, Field(ge=16, le=1e6)] = 64.0
    sockets: Annotated[int, Field(ge=64, le=1_000_000)] = 1024
    drain_ms: Annotated[float, Field(ge=0, le=3_600_000)] = 30_000.0


class Watch(Model):
    """How the goodput is compared after a commit, to roll it back automatically; see `goodput_watch`.

    Attributes:
        window_ms: How long after the commit.
        before_ms: How long before it.
        block_ms: The length of a block, in which requests are counted.
        significance: The probability, over the whole window, of rolling back a change that made nothing
            worse.
        least_fall: The least fall of goodput that counts, as a part of the priority weight received.
        enabled: Whether it is done at all.
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
        format: That of the file.
        name: Of the process, in its log.
        seed: Of all random draws.
        limits: Of the process.
        watch: After a commit.
        planning: As one of several forwarders; None without planners.
        listeners: By name.
        classes: Of requests, by name.
        default_class: The class of a request that names none.
        tenants: By name.
        pools: By name.
        routes: The first that matches counts.
        default: What requests go to that no route matches.
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
