"""Look-up cost of the route table from 10 to 10,000 routes, for exact and prefix matches, with and without
hosts.

python -m benchmarks.routes
"""

from __future__ import annotations

from random import Random
from time import perf_counter

from sandhatch.routing.route import Query, Route
from sandhatch.routing.table import RouteTable

SIZES = (10, 100, 1_000, 10_000)
LOOKUPS = 20_000
ROUNDS = 5


def routes_of(kind: str, size: int) -> list[Route]:
    if kind == "exact":
        return [Route(f"r{n}", "p", exact=b"/tier/%d/page" % n) for n in range(size)]
    if kind == "prefix":
        return [Route(f"r{n}", "p", prefix=b"/tier/%d" % n) for n in range(size)]
    return [Route(f"r{n}", "p", prefix=b"/tier", hosts=frozenset([b"h%d.example" % n])) for n in range(size)]


def queries_of(kind: str, size: int, rng: Random) -> list[Query]:
    picks = [rng.randrange(size) for _ in range(1_000)]
    return [
        Query(
            "front",
            b"h%d.example" % n if kind == "host" else b"shop.example",
            b"/tier/%d/page" % n,
            b"GET",
            (),
            "look",
        )
        for n in picks
    ]


def cost_us(kind: str, size: int) -> float:
    """The least of several rounds, in microseconds a look-up."""
    table = RouteTable(routes_of(kind, size), "d")
    queries = queries_of(kind, size, Random(size))
    best = float("inf")
    for _ in range(ROUNDS):
        begun = perf_counter()
        for _ in range(LOOKUPS // len(queries)):
            for query in queries:
                assert table.match(query) is not None
        best = min(best, perf_counter() - begun)
    return best / LOOKUPS * 1e6


def main() -> None:
    worst = 0.0
    for kind in ("exact", "prefix", "host"):
        costs = [cost_us(kind, size) for size in SIZES]
        worst = max(worst, costs[-1] / costs[0])
        row = "  ".join(f"{size}: {cost:.2f} us" for size, cost in zip(SIZES, costs, strict=True))
        print(f"{kind:7} {row}  ratio {costs[-1] / costs[0]:.2f}", flush=True)
    print(f"routes: a look-up among 10,000 costs at most {worst:.2f} times one among 10")


if __name__ == "__main__":
    main()
