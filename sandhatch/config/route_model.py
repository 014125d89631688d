"""Routes: their keys, defaults and bounds.

A field's name is its key in the file; `route_compilation` translates routes into those of the route table.
Names of other keys are checked in `references`. Source: docs/operators/configuration.md.
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
    """A condition on the path, which is matched without its query. Exactly one key.

    Attributes:
        exact: The path.
        prefix: Complete segments that it starts with: /a matches /a and /a/b, not /ab.
        regex: A regular expression for the complete path.
    """

    exact: PathText | None = None
    prefix: PathText | None = None
    regex: Pattern | None = None

    @model_validator(mode="after")
    def _check_one_key(self) -> Self:
        require_exactly_one(self, "exact", "prefix", "regex")
        return self


class HeaderMatch(Model):
    """A condition on a header. Exactly one key besides `name`.

    Attributes:
        name: In any case.
        exact: The value.
        prefix: What the value starts with.
        regex: A regular expression for the complete value.
        present: Whether the header must be there, or must not.
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
    """The conditions of a route: all that are given must hold; of a list, one must.

    Attributes:
        listeners: The listener that the request came in on.
        hosts: Without port, in any case; *.example.org stands for any name below it.
        path: The path, without its query.
        methods: The method.
        headers: All of them must hold.
        classes: The request's class.
    """

    listeners: Annotated[list[Name], Field(min_length=1)] | None = None
    hosts: Annotated[list[HostText], Field(min_length=1)] | None = None
    path: PathMatch | None = None
    methods: Annotated[list[Method], Field(min_length=1)] | None = None
    headers: Annotated[list[HeaderMatch], Field(max_length=MAX_HEADERS)] = Field(default_factory=list)
    classes: Annotated[list[Name], Field(min_length=1)] | None = None


class SplitPart(Model):
    """One pool of a split; `weight` is relative to those of the others."""

    pool: Name
    weight: Annotated[int, Field(ge=0, le=1_000_000)]


class Weighted(Model):
    """A split over pools.

    Attributes:
        pools: With their weights, not all 0.
        by: The header whose value keeps a client with one pool; without it each request is drawn.
    """

    pools: Annotated[list[SplitPart], Field(min_length=1, max_length=MAX_SPLIT_POOLS)]
    by: HeaderName | None = None

    @model_validator(mode="after")
    def _check_weights(self) -> Self:
        if not sum(part.weight for part in self.pools):
            raise ValueError("pools: expected at least one weight above 0, got only weights of 0")
        return self


class FixedResponse(Model):
    """A response that is given without a server."""

    status: Annotated[int, Field(ge=200, le=599)]
    body: Annotated[str, StringConstraints(max_length=MAX_BODY_CHARACTERS)] = ""
    content_type: Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]+(; ?[\x21-\x7e]+)*$")] = (
        "text/plain"
    )


class TargetModel(Model):
    """What a route leads to. Exactly one key."""

    pool: Name | None = None
    weighted: Weighted | None = None
    answer: FixedResponse | None = None

    @model_validator(mode="after")
    def _check_one_key(self) -> Self:
        require_exactly_one(self, "pool", "weighted", "answer")
        return self


class RouteModel(Model):
    """One route: requests that match go to its target, unless an earlier route matches."""

    name: Name
    match: Match = Match()
    to: TargetModel
