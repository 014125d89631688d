"""Changes of the configuration under constant load: 1,000 random commits and rollbacks from a seed.

    python -m benchmarks.commits [--commits N] [--seed S] [--pause SECONDS] [--flat N]

Shows that no request is handled under a mixture of two versions, one final answer each and no unsafe effect
twice; the time from an apply to the last request routed by the version before; the p99 of requests with and
without commits, in one run, as a ratio; and memory over many commits without load (--flat).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import statistics
import sys
import time
from itertools import pairwise

from sandhatch.config.version import State
from sandhatch.service.service import Service
from testkit.load import Load
from tests.service.harness import Farm, Kept, serving
from tests.service.version_churn import NON_IDEMPOTENT, check_no_mixture, choose, churn, variants

QUIET_S = 5.0


def p99(values: list[float]) -> float:
    return statistics.quantiles(values, n=100)[98] if len(values) > 100 else max(values)


def resident_mb() -> float:
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 2**20


def applied(service: Service, at: dict[int, float]) -> None:
    """Note when each version comes into force."""
    activate = service.changes.activate

    def noted(version: object, first: bool = False) -> None:
        activate(version, first)  # type: ignore[arg-type]
        at[service.front.current.number] = service.now_ms  # type: ignore[union-attr]

    service.changes.activate = noted  # type: ignore[assignment,method-assign]


async def under_load(commits: int, seed: int, pause_s: float) -> str:
    farm = await Farm().start("a1", "a2", "b1", "b2", "o1", "o2", "o3")
    choices = variants(farm)
    async with serving(choices[0]) as kept:
        service = kept.service
        service.logger.line = lambda text: None  # type: ignore[method-assign]
        entered: dict[int, float] = {}
        applied(service, entered)
        load = Load(kept.port, farm.books, choose, clients=16, pause_s=0.01)
        await asyncio.sleep(QUIET_S)
        quiet = len(kept.records)
        begun = time.perf_counter()
        data_of = await churn(kept, farm, choices, commits, seed, pause_s)
        took = time.perf_counter() - begun
        busy = len(kept.records)
        await load.stop()
        await kept.until(lambda: len(kept.records) == len(farm.books.entries))
        check_no_mixture(kept, farm, data_of)
        faults = farm.books.faults(NON_IDEMPOTENT)
        assert not faults, faults[:5]
        waits = [record.answered_ms - record.came_ms for record in kept.records]
        late = lateness(kept, entered)
        versions = len({record.version for record in kept.records})
        statuses = dict(farm.books.statuses())
    farm.close()
    return (
        f"{commits} commits in {took:.1f} s under {busy - quiet} requests of {versions} versions: "
        f"no mixture, answers {statuses}; last request routed by an "
        f"older version {late:.2f} ms after its end; "
        f"p99 {p99(waits[quiet:busy]):.1f} ms with commits, {p99(waits[:quiet]):.1f} ms without, "
        f"ratio {p99(waits[quiet:busy]) / p99(waits[:quiet]):.2f}"
    )


def lateness(kept: Kept, entered: dict[int, float]) -> float:
    """The longest from a version's end to a request that still came to it. Versions that come back are left
    out.
    """
    order = sorted((at, number) for number, at in entered.items())
    worst = 0.0
    for (_, number), (end, _) in pairwise(order):
        came = [record.came_ms for record in kept.records if record.version == number]
        if came:
            worst = max(worst, max(came) - end)
    return max(0.0, worst)


async def flat(commits: int) -> str:
    """Resident memory after a tenth, and after all, of many commits without load."""
    farm = await Farm().start("a1", "a2", "o1")
    one, two = (farm.config(farm.pool(name), farm.pool("o1")) for name in ("a1", "a2"))
    async with serving(one) as kept:
        service = kept.service
        service.logger.line = lambda text: None  # type: ignore[method-assign]
        early = 0.0
        texts = [json.dumps(two).encode(), json.dumps(one).encode()]
        for n in range(commits):
            version = service.commit(service.propose(texts[n % 2], None).number)
            await service.settled(version, over=True)
            assert version.state is State.CONFIRMED, version.why
            if n == commits // 10:
                early = resident_mb()
            if n % 1000 == 999:
                print(f"{n + 1} commits: {resident_mb():.1f} MB", file=sys.stderr, flush=True)
        late = resident_mb()
    farm.close()
    return f"memory over {commits} commits: {early:.1f} MB after a tenth, {late:.1f} MB after all"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--commits", type=int, default=1_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=0.0, metavar="SECONDS", help="between two commits")
    parser.add_argument("--flat", type=int, default=0)
    args = parser.parse_args()
    if args.flat:
        print("commits: " + asyncio.run(flat(args.flat)))
    else:
        print("commits: " + asyncio.run(under_load(args.commits, args.seed, args.pause)))


if __name__ == "__main__":
    main()
