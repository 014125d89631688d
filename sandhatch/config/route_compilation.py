"""The routes of a checked model, compiled into those of the route table.

Names become bytes, patterns become compiled regular expressions. Never finds errors: the model is checked
before. Source: `route_model` and `routing.route`.
"""

from __future__ import annotations

import re2

from sandhatch.config.route_model import HeaderMatch, RouteModel, TargetModel
from sandhatch.routing.route import HeaderTest, Route, Test
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
        target: A pool, a split over pools or a fixed answer.
        salt: Makes the hashes of a split differ from those of other routes.
    """
    if target.pool is not None:
        return target.pool
    if target.weighted is not None:
        weighted_pools = [WeightedPool(part.pool, part.weight) for part in target.weighted.pools]
        return Split.of(weighted_pools, (target.weighted.by or "").encode(), salt)
    response = target.answer
    assert response is not None  # the model demands exactly one of the three
    return FixedResponse(response.status, response.body.encode(), response.content_type.encode())


def _compile_header(header: HeaderMatch) -> HeaderTest:
    return HeaderTest(header.name.lower().encode(), _compile_value_test(header), header.present is not False)


def _compile_value_test(header: HeaderMatch) -> Test | None:
    """Return the test of a header's value; None if it only has to be there, or absent."""
    if header.exact is not None:
        return header.exact.encode().__eq__
    if header.prefix is not None:
        prefix = header.prefix.encode()
        return lambda value: value.startswith(prefix)
    return _compile_pattern(header.regex) if header.regex is not None else None


def _compile_pattern(pattern: str) -> Test:
    """Return a test for values that the regular expression matches from the first byte to the last."""
    options = re2.Options()
    options.log_errors = False
    # Bytes that are no UTF-8 must not make a match fail with an error.
    options.encoding = re2.Options.Encoding.LATIN1
    compiled = re2.compile(pattern.encode(), options)
    return lambda value: compiled.fullmatch(value) is not None
