"""Which route a request takes: every way to match, the file's order, splits, and routes that can't match."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import Any

import pytest

from sandhatch.routing.table import Answer, HeaderTest, Query, Route, RouteTable, Split, prefixes, unreachable


def ask(path: bytes, host: bytes = b"shop.example.org", **more: Any) -> Query:
    return Query(
        more.get("listener", "front"),
        host,
        path,
        more.get("method", b"GET"),
        more.get("headers", []),
        more.get("request_class", "look"),
    )


def name(table: RouteTable, query: Query) -> str:
    route = table.match(query)
    return route.name if route else "default"


def test_the_first_route_in_the_file_wins_whatever_its_kind() -> None:
    routes = [
        Route("regex", "a", regex=lambda path: path.endswith(b".png")),
        Route("exact", "a", exact=b"/logo.png"),
        Route("long", "a", prefix=b"/a/b"),
        Route("short", "a", prefix=b"/a"),
        Route("any-post", "a", methods=frozenset([b"POST"])),
    ]
    table = RouteTable(routes, "d")
    assert name(table, ask(b"/logo.png")) == "regex"
    assert name(table, ask(b"/a/b/c")) == "long"
    assert name(table, ask(b"/a")) == "short"
    assert name(table, ask(b"/ab")) == "default"
    assert name(table, ask(b"/ab", method=b"POST")) == "any-post"
    reverse = RouteTable(routes[::-1], "d")
    assert name(reverse, ask(b"/a/b/c")) == "short"
    assert name(reverse, ask(b"/logo.png")) == "exact"


@pytest.mark.parametrize(
    ("path", "found"),
    [
        (b"/", "root"),
        (b"/a", "a"),
        (b"/a/", "a"),
        (b"/a/x", "a"),
        (b"/a//b", "a"),
        (b"/b", "root"),
        (b"/" + b"/" * 5000, "root"),
    ],
)
def test_prefixes_match_whole_segments(path: bytes, found: str) -> None:
    table = RouteTable([Route("a", "p", prefix=b"/a/"), Route("root", "p", prefix=b"/")], "d")
    assert name(table, ask(path)) == found


def test_hosts_exact_and_wild() -> None:
    routes = [
        Route("shop", "p", hosts=frozenset([b"shop.example.org"]), prefix=b"/"),
        Route("wild", "p", hosts=frozenset([b"*.example.org"])),
        Route("any", "p", exact=b"/x"),
    ]
    table = RouteTable(routes, "d")
    assert name(table, ask(b"/x")) == "shop"
    assert name(table, ask(b"/x", b"a.b.example.org")) == "wild"
    assert name(table, ask(b"/x", b"example.org")) == "any"
    assert name(table, ask(b"/y", b"")) == "default"


def test_every_condition_must_hold() -> None:
    route = Route(
        "r",
        "p",
        exact=b"/x",
        methods=frozenset([b"POST"]),
        listeners=frozenset(["front"]),
        classes=frozenset(["order"]),
        headers=(HeaderTest(b"x-a", b"1".__eq__), HeaderTest(b"x-b", present=False)),
    )
    table = RouteTable([route], "d")
    good = {"method": b"POST", "request_class": "order", "headers": [(b"X-A", b"2"), (b"X-A", b"1")]}
    assert name(table, ask(b"/x", **good)) == "r"
    for change in (
        {"method": b"GET"},
        {"request_class": "look"},
        {"listener": "back"},
        {"headers": [(b"X-A", b"2")]},
        {"headers": [(b"X-A", b"1"), (b"x-b", b"")]},
    ):
        assert name(table, ask(b"/x", **(good | change))) == "default"


def test_a_split_by_header_is_stable_and_near_its_weights() -> None:
    split = Split.of([("a", 90), ("none", 0), ("b", 10)], b"X-Customer", b"r")
    draw = Random(1).random
    counts: Counter[str] = Counter()
    for n in range(4000):
        headers = [(b"x-customer", b"c%d" % n)]
        pool = split.choose(headers, lambda: 1 / 0)
        assert pool == split.choose(headers, lambda: 1 / 0)
        counts[pool] += 1
    assert set(counts) == {"a", "b"}
    assert 0.08 < counts["b"] / 4000 < 0.12
    drawn = Counter(split.choose([], draw) for _ in range(4000))
    assert 0.08 < drawn["b"] / 4000 < 0.12


def test_a_small_move_of_weight_moves_few_callers() -> None:
    before, after = (Split.of([("a", w), ("b", 100 - w)], b"c", b"r") for w in (90, 88))
    moved = sum(
        before.choose([(b"c", b"%d" % n)], lambda: 0.0) != after.choose([(b"c", b"%d" % n)], lambda: 0.0)
        for n in range(2000)
    )
    assert 0 < moved < 2000 * 0.04


def linear(routes: list[Route], query: Query) -> str:
    """What the table must find, the slow way."""
    for route in routes:
        if route.exact is not None and route.exact != query.path:
            continue
        if route.prefix is not None:
            base = route.prefix.rstrip(b"/")
            if query.path.rstrip(b"/") != base and not query.path.startswith(base + b"/"):
                continue
        if route.hosts and not any(
            query.host == host or (host.startswith(b"*.") and query.host.endswith(host[1:]))
            for host in route.hosts
        ):
            continue
        if route.holds(query):
            return route.name
    return "default"


def test_the_table_finds_what_a_walk_through_the_file_would() -> None:
    hosts = [b"a.x", b"b.x", b"a.b.x", b"*.x", b"*.b.x"]
    for seed in range(200):
        rng = Random(seed)
        words = [b"a", b"b", b"c"]

        def path(rng: Random = rng, words: list[bytes] = words) -> bytes:
            return b"/" + b"/".join(rng.choice(words) for _ in range(rng.randrange(4)))

        routes = []
        for n in range(rng.randrange(1, 25)):
            kind = rng.randrange(3)
            routes.append(
                Route(
                    f"r{n}",
                    "p",
                    exact=path() if kind == 0 else None,
                    prefix=path() if kind == 1 else None,
                    hosts=frozenset(rng.sample(hosts, rng.randrange(3))),
                    methods=frozenset([b"POST"]) if rng.random() < 0.3 else frozenset(),
                )
            )
        table = RouteTable(routes, "d")
        dead = {at for at, _ in unreachable(routes)}
        for _ in range(40):
            query = ask(path(), rng.choice(hosts[:3]), method=rng.choice([b"GET", b"POST"]))
            found = name(table, query)
            assert found == linear(routes, query), (seed, query)
            assert found == "default" or int(found[1:]) not in dead, (seed, found)


def test_routes_that_can_never_match_are_found() -> None:
    routes = [
        Route("a", "p", prefix=b"/a"),
        Route("dead", "p", exact=b"/a/b", methods=frozenset([b"GET"])),
        Route("posts", "p", methods=frozenset([b"POST", b"PUT"])),
        Route("dead-too", "p", exact=b"/x", methods=frozenset([b"PUT"])),
        Route("alive", "p", exact=b"/x"),
        Route("all", "p"),
        Route("dead-three", "p", hosts=frozenset([b"h"])),
    ]
    assert unreachable(routes) == [(1, 0), (3, 2), (6, 5)]


def test_prefixes_of_a_path() -> None:
    assert prefixes(b"/a/b") == [b"/a/b", b"/a", b"/"]
    assert prefixes(b"/") == [b"/"]


def test_a_fixed_answer_is_a_target() -> None:
    answer = Answer(404, b"", b"text/plain")
    assert RouteTable([], answer).default is answer
