"""Changes of the configuration under constant load: 1,000 random commits and rollbacks from a seed.

    python -m benchmarks.commits [--commits N] [--seed S] [--pause SECONDS] [--flat N]

Shows that no request is handled under a mixture of two versions, that each has one final response, and that
no effect that is not idempotent happens twice; the time from an apply to the last request routed by the
version before; the p99 of requests with and without commits, in one run, as a ratio; and memory over many
commits without load (--flat).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import sys
import time
from itertools import pairwise
from typing import Any

from benchmarks.processes import resident_bytes
from benchmarks.services import note_activation_times, silence_log
from sandhatch.config.version import State
from testkit.load_generator import LoadGenerator
from tests.service.harness import FakeServers, RunningService, serving
from tests.service.version_churn import NON_IDEMPOTENT, check_no_mixture, choose, churn, variants

QUIET_S = 5.0  # under load, before the first commit
CLIENTS = 16
CLIENT_PAUSE_S = 0.01
SERVERS = ("a1", "a2", "b1", "b2", "o1", "o2", "o3")
MIB = 2**20


def p99(values: list[float]) -> float:
    """The 99th percentile; the largest of a hundred values or fewer."""
    return statistics.quantiles(values, n=100)[98] if len(values) > 100 else max(values)


def lateness_ms(running: RunningService, entered_ms: dict[int, float]) -> float:
    """The longest from a version's end to a request that still came to it.

    Versions that come back are left out.

    Args:
        running: the service with its records of requests.
        entered_ms: by number, when each version came into force.
    """
    order = sorted((time_ms, number) for number, time_ms in entered_ms.items())
    worst = 0.0
    for (_, number), (end_ms, _) in pairwise(order):
        came_ms = [record.received_at_ms for record in running.records if record.version == number]
        if came_ms:
            worst = max(worst, max(came_ms) - end_ms)
    return max(0.0, worst)


async def commit_under_load(commits: int, seed: int, pause_s: float) -> str:
    """Commits at random under load; returns a line of figures."""
    farm = await FakeServers().start(*SERVERS)
    choices = variants(farm)
    async with serving(choices[0]) as running:
        silence_log(running.service)
        entered_ms: dict[int, float] = {}
        note_activation_times(running.service, entered_ms)
        load = LoadGenerator(running.port, farm.books, choose, clients=CLIENTS, pause_s=CLIENT_PAUSE_S)
        await asyncio.sleep(QUIET_S)
        quiet = len(running.records)
        started_s = time.perf_counter()
        data_of = await churn(running, choices, commits, seed, pause_s)
        spent_s = time.perf_counter() - started_s
        busy = len(running.records)
        await load.stop()
        await running.until(lambda: len(running.records) == len(farm.books.entries))
        check_records(running, farm, data_of)
        versions = len({record.version for record in running.records})
        p99_text = format_p99(running, quiet, busy)
        late_ms = lateness_ms(running, entered_ms)
        statuses = dict(farm.books.statuses())
    farm.close()
    return (
        f"{commits} commits in {spent_s:.1f} s under {busy - quiet} requests of {versions} versions: "
        f"no mixture, answers {statuses}; last request routed by an "
        f"older version {late_ms:.2f} ms after its end; {p99_text}"
    )


def check_records(running: RunningService, farm: FakeServers, data_of: dict[int, dict[str, Any]]) -> None:
    """Fails if a request met a mixture of versions or broke a rule of the platform."""
    check_no_mixture(running, data_of)
    faults = farm.books.faults(NON_IDEMPOTENT)
    assert not faults, faults[:5]


def format_p99(running: RunningService, quiet: int, busy: int) -> str:
    """The p99 of records up to number `quiet`, and of those up to `busy`, with the ratio of both."""
    waits_ms = [record.responded_at_ms - record.received_at_ms for record in running.records]
    without_ms = p99(waits_ms[:quiet])
    with_ms = p99(waits_ms[quiet:busy])
    return f"p99 {with_ms:.1f} ms with commits, {without_ms:.1f} ms without, ratio {with_ms / without_ms:.2f}"


async def measure_memory(commits: int) -> str:
    """Resident memory after a tenth, and after all, of many commits without load."""
    farm = await FakeServers().start("a1", "a2", "o1")
    configurations = [farm.config(farm.pool(name), farm.pool("o1")) for name in ("a1", "a2")]
    async with serving(configurations[0]) as running:
        service = running.service
        silence_log(service)
        early_mib = 0.0
        texts = [json.dumps(configurations[1]).encode(), json.dumps(configurations[0]).encode()]
        for number in range(commits):
            version = service.commit(service.propose(texts[number % 2], None).number)
            await service.wait_until_decided(version, over=True)
            assert version.state is State.CONFIRMED, version.why
            if number == commits // 10:
                early_mib = resident_bytes() / MIB
            if number % 1000 == 999:
                print(f"{number + 1} commits: {resident_bytes() / MIB:.1f} MB", file=sys.stderr, flush=True)
        late_mib = resident_bytes() / MIB
    farm.close()
    return f"memory over {commits} commits: {early_mib:.1f} MB after a tenth, {late_mib:.1f} MB after all"


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--commits", type=int, default=1_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pause", type=float, default=0.0, metavar="SECONDS", help="between two commits")
    parser.add_argument("--flat", type=int, default=0)
    args = parser.parse_args()
    if args.flat:
        print("commits: " + asyncio.run(measure_memory(args.flat)))
    else:
        print("commits: " + asyncio.run(commit_under_load(args.commits, args.seed, args.pause)))


if __name__ == "__main__":
    main()
