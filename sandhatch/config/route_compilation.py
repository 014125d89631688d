"""Compilation of the routes of a checked model for the route table.

Names become bytes, and patterns become compiled regular expressions. No errors are reported, since the model
has been checked already. Source: `route_model` and `routing.route`.
"""

from __future__ import annotations

import re2

from sandhatch.config.route_model import HeaderMatch, RouteModel, TargetModel
from sandhatch.routing.route import HeaderCondition, Predicate, Route
from sandhatch.routing.targets import FixedResponse, Split, Target, WeightedPool


def compile_route(route: RouteModel) -> Route:
    """Compile one route."""
    match = route.match
    path = match.path
    return Route(
        name=route.name,
        target=compile_target(route.to, route.name.encode()),
        exact=path.exact.encode() if path and path.exact is not None else None,
        prefix=path.prefix.encode() if path and path.prefix is not None else None,
        regex=_compile_pattern(path.regex) if path and path.regex is not None else None,
        hosts=frozenset(host.lower().encode() for host in match.hosts or ()),
        methods=frozenset(method.encode() for method in match.methods or ()),
        listeners=frozenset(match.listeners or ()),
        classes=frozenset(match.classes or ()),
        headers=tuple(_compile_header(header) for header in match.headers),
    )


def compile_target(target: TargetModel, salt: bytes) -> Target:
    """Compile the target of a route.

    Args:
        target: Pool, split over pools or fixed response.
        salt: Key of a split's hashes, which makes them differ from those of other routes.
    """
    if target.pool is not None:
        return target.pool
    if target.weighted is not None:
        weighted_pools = [WeightedPool(part.pool, part.weight) for part in target.weighted.pools]
        return Split.of(weighted_pools, (target.weighted.by or "").encode(), salt)
    response = target.answer
    assert response is not None  # the model requires a pool, a split or a response
    return FixedResponse(response.status, response.body.encode(), response.content_type.encode())


def _compile_header(header: HeaderMatch) -> HeaderCondition:
    return HeaderCondition(
        header.name.lower().encode(), _compile_value_predicate(header), header.present is not False
    )


def _compile_value_predicate(header: HeaderMatch) -> Predicate | None:
    """Return the predicate for a header's value; None if only the header's presence matters."""
    if header.exact is not None:
        return header.exact.encode().__eq__
    if header.prefix is not None:
        prefix = header.prefix.encode()
        return lambda value: value.startswith(prefix)
    return _compile_pattern(header.regex) if header.regex is not None else None


def _compile_pattern(pattern: str) -> Predicate:
    """Return a predicate for values that the regular expression matches completely."""
    options = re2.Options()
    options.log_errors = False
    # Latin-1 accepts every byte; as UTF-8, invalid bytes would make a match fail with an error.
    options.encoding = re2.Options.Encoding.LATIN1
    compiled = re2.compile(pattern.encode(), options)
    return lambda value: compiled.fullmatch(value) is not None
