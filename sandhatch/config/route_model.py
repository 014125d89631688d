"""Routes: their keys, defaults and bounds.

A field's name is its key in the file; `route_compilation` compiles the models for the route table.
References to pools, classes and listeners are checked in `references`. Source:
docs/operators/configuration.md.
"""

from __future__ import annotations

from typing import Annotated, Literal, Self

from pydantic import Field, StringConstraints, model_validator

from sandhatch.config.value_types import HeaderName, Model, Name, PathText, Pattern, require_exactly_one

MAX_BODY_CHARACTERS = 64 * 1024
MAX_HEADERS = 16
MAX_SPLIT_POOLS = 64

HostText = Annotated[str, StringConstraints(min_length=1, max_length=255)]
Method = Literal["GET", "POST", "PUT", "PATCH", "DELETE"]


class PathMatch(Model):
    """A condition on the path without its query. Exactly one key is given.

    Attributes:
        exact: Complete path.
        prefix: Complete segments that the path starts with: /a matches /a and /a/b, not /ab.
        regex: Regular expression that matches the complete path.
    """

    exact: PathText | None = None
    prefix: PathText | None = None
    regex: Pattern | None = None

    @model_validator(mode="after")
    def _check_one_key(self) -> Self:
        require_exactly_one(self, "exact", "prefix", "regex")
        return self


class HeaderMatch(Model):
    """A condition on a header. Exactly one key is given besides `name`.

    Attributes:
        name: Name of the header, case-insensitive.
        exact: Complete value.
        prefix: Start of the value.
        regex: Regular expression that matches the complete value.
        present: Whether the header must be present or absent.
    """

    name: HeaderName
    exact: str | None = None
    prefix: str | None = None
    regex: Pattern | None = None
    present: bool | None = None

    @model_validator(mode="after")
    def _check_one_key(self) -> Self:
        require_exactly_one(self, "exact", "prefix", "regex", "present")
        return self


class Match(Model):
    """The conditions of a route, all of which must hold. A list holds if one of its items matches.

    Attributes:
        listeners: Names of listeners that the request may arrive on.
        hosts: Host names without port, case-insensitive; *.example.org stands for any name below it.
        path: Condition on the path without its query.
        methods: Request methods.
        headers: Conditions on headers, all of which must hold.
        classes: Names of request classes.
    """

    listeners: Annotated[list[Name], Field(min_length=1)] | None = None
    hosts: Annotated[list[HostText], Field(min_length=1)] | None = None
    path: PathMatch | None = None
    methods: Annotated[list[Method], Field(min_length=1)] | None = None
    headers: Annotated[list[HeaderMatch], Field(max_length=MAX_HEADERS)] = Field(default_factory=list)
    classes: Annotated[list[Name], Field(min_length=1)] | None = None


class SplitPart(Model):
    """One pool of a split; `weight` is relative to the weights of the other pools."""

    pool: Name
    weight: Annotated[int, Field(ge=0, le=1_000_000)]


class Weighted(Model):
    """A weighted split over pools.

    Attributes:
        pools: Pools with their weights, not all of which are 0.
        by: Header whose value assigns a client to one pool; without the header, the pool of each request is
            drawn at random.
    """

    pools: Annotated[list[SplitPart], Field(min_length=1, max_length=MAX_SPLIT_POOLS)]
    by: HeaderName | None = None

    @model_validator(mode="after")
    def _check_weights(self) -> Self:
        if not sum(part.weight for part in self.pools):
            raise ValueError("pools: expected at least one weight above 0, got only weights of 0")
        return self


class FixedResponse(Model):
    """A response that the balancer sends itself, without a server."""

    status: Annotated[int, Field(ge=200, le=599)]
    body: Annotated[str, StringConstraints(max_length=MAX_BODY_CHARACTERS)] = ""
    content_type: Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]+(; ?[\x21-\x7e]+)*$")] = (
        "text/plain"
    )


class TargetModel(Model):
    """The target of a route. Exactly one key is given."""

    pool: Name | None = None
    weighted: Weighted | None = None
    answer: FixedResponse | None = None

    @model_validator(mode="after")
    def _check_one_key(self) -> Self:
        require_exactly_one(self, "pool", "weighted", "answer")
        return self


class RouteModel(Model):
    """One route: requests that match it go to its target, unless an earlier route matches."""

    name: Name
    match: Match = Match()
    to: TargetModel
