"""Lookup cost of the route table with 10 to 10,000 routes, for exact, prefix and host matches.

    python -m benchmarks.routes

Prints microseconds per lookup, and the ratio of the largest table to the smallest.
"""

from __future__ import annotations

from random import Random
from time import perf_counter

from sandhatch.routing.route import Query, Route
from sandhatch.routing.table import RouteTable

KINDS = ("exact", "prefix", "host")
SIZES = (10, 100, 1_000, 10_000)
QUERIES = 1_000
LOOKUPS = 20_000
ROUNDS = 5


def make_routes(kind: str, size: int) -> list[Route]:
    """Returns `size` routes of one kind."""
    if kind == "exact":
        return [Route(f"r{number}", "p", exact=b"/tier/%d/page" % number) for number in range(size)]
    if kind == "prefix":
        return [Route(f"r{number}", "p", prefix=b"/tier/%d" % number) for number in range(size)]
    return [
        Route(f"r{number}", "p", prefix=b"/tier", hosts=frozenset([b"h%d.example" % number]))
        for number in range(size)
    ]


def make_queries(kind: str, size: int, rng: Random) -> list[Query]:
    """Returns queries, each of which matches a route drawn at random."""
    numbers = [rng.randrange(size) for _ in range(QUERIES)]
    return [
        Query(
            "front",
            b"h%d.example" % number if kind == "host" else b"shop.example",
            b"/tier/%d/page" % number,
            b"GET",
            (),
            "look",
        )
        for number in numbers
    ]


def lookup_cost_us(kind: str, size: int) -> float:
    """Returns the minimum lookup cost of several rounds, in microseconds per lookup."""
    table = RouteTable(make_routes(kind, size), "d")
    queries = make_queries(kind, size, Random(size))
    min_elapsed_s = float("inf")
    for _ in range(ROUNDS):
        started_s = perf_counter()
        for _ in range(LOOKUPS // len(queries)):
            for query in queries:
                assert table.match(query) is not None
        min_elapsed_s = min(min_elapsed_s, perf_counter() - started_s)
    return min_elapsed_s / LOOKUPS * 1e6


def main() -> None:
    """Runs the benchmark."""
    max_ratio = 0.0
    for kind in KINDS:
        costs = [lookup_cost_us(kind, size) for size in SIZES]
        max_ratio = max(max_ratio, costs[-1] / costs[0])
        row = "  ".join(f"{size}: {cost:.2f} us" for size, cost in zip(SIZES, costs, strict=True))
        print(f"{kind:7} {row}  ratio {costs[-1] / costs[0]:.2f}", flush=True)
    print(f"routes: a lookup among 10,000 routes costs at most {max_ratio:.2f} times one among 10")


if __name__ == "__main__":
    main()
