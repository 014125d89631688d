"""Configuration changes under constant load: 1,000 random commits and rollbacks from a seed.

    python -m benchmarks.commits [--commits N] [--seed S] [--pause SECONDS] [--flat N]

Checks that no request is handled under a mixture of two versions, that each request has one final response,
and that no non-idempotent effect happens twice. Prints the time from the activation of a version to the last
request routed by its predecessor, and the p99 latency of requests with and without commits in one run, as a
ratio. With --flat, prints the memory used over many commits without load instead.
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

from benchmarks.services import record_activation_times, silence_log
from sandhatch.config.version import State
from sandhatch.runtime.process import resident_bytes
from testkit.load_generator import LoadGenerator
from tests.service.harness import FakeServers, RunningService, serving
from tests.service.version_churn import (
    NON_IDEMPOTENT,
    check_no_mixture,
    choose_request,
    churn,
    configuration_variants,
)

BASELINE_S = 5.0  # time under load before the first commit, for the baseline latency
CLIENTS = 16
CLIENT_PAUSE_S = 0.01
SERVERS = ("a1", "a2", "b1", "b2", "o1", "o2", "o3")
MIB = 2**20


def p99(values: list[float]) -> float:
    """Returns the 99th percentile of the values, or their maximum if there are at most a hundred."""
    return statistics.quantiles(values, n=100)[98] if len(values) > 100 else max(values)


def max_lateness_ms(running: RunningService, activated_ms: dict[int, float]) -> float:
    """Returns the longest time from the end of a configuration version to the last request routed by it.

    A version ends when its successor is activated. The time is 0 if no version was used after its end. If a
    version was activated more than once, only its last activation is considered.

    Args:
        running: Service with its request records.
        activated_ms: Activation time of each version, keyed by version number.
    """
    order = sorted((time_ms, number) for number, time_ms in activated_ms.items())
    max_ms = 0.0
    for (_, number), (end_ms, _) in pairwise(order):
        received_ms = [record.received_at_ms for record in running.records if record.version == number]
        if received_ms:
            max_ms = max(max_ms, max(received_ms) - end_ms)
    return max(0.0, max_ms)


async def commit_under_load(commits: int, seed: int, pause_s: float) -> str:
    """Commits random configuration versions under load; returns the line of figures to print."""
    fake_servers = await FakeServers().start(*SERVERS)
    config_variants = configuration_variants(fake_servers)
    async with serving(config_variants[0]) as running:
        silence_log(running.service)
        activated_ms: dict[int, float] = {}
        record_activation_times(running.service, activated_ms)
        load = LoadGenerator(
            running.port, fake_servers.request_log, choose_request, clients=CLIENTS, pause_s=CLIENT_PAUSE_S
        )
        await asyncio.sleep(BASELINE_S)
        baseline_end = len(running.records)
        started_s = time.perf_counter()
        config_by_version = await churn(running, config_variants, commits, seed, pause_s)
        elapsed_s = time.perf_counter() - started_s
        commits_end = len(running.records)
        await load.stop()
        await running.wait_until(lambda: len(running.records) == len(fake_servers.request_log.entries))
        check_records(running, fake_servers, config_by_version)
        versions = len({record.version for record in running.records})
        p99_text = format_p99(running, baseline_end, commits_end)
        max_late_ms = max_lateness_ms(running, activated_ms)
        statuses = dict(fake_servers.request_log.statuses())
    fake_servers.close()
    return (
        f"{commits} commits in {elapsed_s:.1f} s under {commits_end - baseline_end} requests of {versions} "
        f"versions: no mixture, responses {statuses}; last request routed by an "
        f"older version {max_late_ms:.2f} ms after its end; {p99_text}"
    )


def check_records(
    running: RunningService, fake_servers: FakeServers, config_by_version: dict[int, dict[str, Any]]
) -> None:
    """Raises AssertionError if a request saw a mixture of versions or broke a rule of the platform."""
    check_no_mixture(running, config_by_version)
    faults = fake_servers.request_log.faults(NON_IDEMPOTENT)
    assert not faults, faults[:5]


def format_p99(running: RunningService, baseline_end: int, commits_end: int) -> str:
    """Formats the p99 latencies of requests with and without commits, and their ratio.

    Args:
        running: Service with its request records.
        baseline_end: Number of records before the first commit.
        commits_end: Number of records up to the end of the commits.
    """
    waits_ms = [record.responded_at_ms - record.received_at_ms for record in running.records]
    without_ms = p99(waits_ms[:baseline_end])
    with_ms = p99(waits_ms[baseline_end:commits_end])
    return f"p99 {with_ms:.1f} ms with commits, {without_ms:.1f} ms without, ratio {with_ms / without_ms:.2f}"


async def measure_memory(commits: int) -> str:
    """Returns a line with the resident memory after a tenth and after all of the commits, without load."""
    fake_servers = await FakeServers().start("a1", "a2", "o1")
    configurations = [
        fake_servers.config(fake_servers.pool(name), fake_servers.pool("o1")) for name in ("a1", "a2")
    ]
    async with serving(configurations[0]) as running:
        service = running.service
        silence_log(service)
        early_mib = 0.0
        texts = [json.dumps(configurations[1]).encode(), json.dumps(configurations[0]).encode()]
        for number in range(commits):
            version = service.commit(service.propose(texts[number % 2], None).number)
            await service.wait_until_decided(version, until_terminal=True)
            assert version.state is State.CONFIRMED, version.why
            if number == commits // 10:
                early_mib = resident_bytes() / MIB
            if number % 1000 == 999:
                print(f"{number + 1} commits: {resident_bytes() / MIB:.1f} MiB", file=sys.stderr, flush=True)
        late_mib = resident_bytes() / MIB
    fake_servers.close()
    return f"memory over {commits} commits: {early_mib:.1f} MiB after a tenth, {late_mib:.1f} MiB after all"


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
