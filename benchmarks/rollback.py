"""The watch after a commit: bad changes it rolls back, and good changes it wrongly rolls back.

    python -m benchmarks.rollback [--good N] [--services K]

Bad changes replace a pool's servers by servers that all fail, of which half fail, or that all respond later
than the latency objective. Printed are the time to the rollback and the goodput lost, weighted by priority,
in the ten seconds after the commit, with and without the watch. Good changes are commits of harmless keys
under load while servers fail in bursts; printed is the number of commits rolled back. Services run
concurrently, each with its own servers and clients.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from collections.abc import Sequence
from copy import deepcopy
from dataclasses import dataclass
from random import Random
from typing import Any

from benchmarks.services import silence_log
from sandhatch.config.version import State, Version
from testkit.behaviours import fails_with
from testkit.load_generator import LoadGenerator
from testkit.request_log import Entry
from testkit.servers import FakeConnection
from testkit.wire import ReceivedRequest, ok
from tests.service.harness import FakeServers, serving

# Settings of the watch after a commit (which rolls it back) for bad changes, and of a shorter watch for good
# ones.
WATCH = {"window_ms": 10_000, "before_ms": 6_000, "block_ms": 100, "significance": 0.001}
SHORT_WATCH = WATCH | {"window_ms": 4_000}
BASELINE_S = 6.5  # seconds under load before a commit; more than the watch's `before_ms`
OBSERVED_S = 10.0
OBJECTIVE_S = 0.5
LATE_RESPONSE_S = 0.6  # response time of late servers, longer than OBJECTIVE_S
PRIORITY_WEIGHTS = {"order": 5.0, "look": 1.0}
SERVERS_BEFORE = ("a1", "a2", "a3", "a4")
SERVERS_AFTER = ("b1", "b2", "b3", "b4")
ALL_FAIL = "all fail"
HALF_FAILS = "half fails"
LATE = "late"

fails = fails_with(500)


async def responds_late(request: ReceivedRequest, connection: FakeConnection) -> None:  # noqa: ARG001 - a `Behaviour`
    """Responds later than the latency objective."""
    await asyncio.sleep(LATE_RESPONSE_S)
    await connection.send(ok())


class BurstingFailures:
    """Behaviour of servers that fail in bursts."""

    def __init__(self, rng: Random) -> None:
        """Creates the behaviour outside a burst."""
        self._rng = rng
        self._bursting = False

    async def run(self) -> None:
        """Starts and ends bursts until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / 1.2))
            self._bursting = True
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            self._bursting = False

    async def behave(self, request: ReceivedRequest, connection: FakeConnection) -> None:
        """Fails with probability 0.6 during a burst, and succeeds otherwise."""
        if self._bursting and self._rng.random() < 0.6:
            await fails(request, connection)
        else:
            await connection.send(ok())


@dataclass(frozen=True, slots=True)
class BadChange:
    """Result of a configuration change that makes servers fail or respond late."""

    rolled_back_after_s: float | None  # None if the change was not rolled back
    goodput_lost: float  # lost part of the priority weight of the requests in OBSERVED_S


@dataclass(frozen=True, slots=True)
class GoodChanges:
    """Result of a series of harmless configuration changes."""

    committed: int
    rolled_back: int


def with_classes(data: dict[str, Any]) -> dict[str, Any]:
    """Sets the request classes of a configuration, in place."""
    data["classes"] = {
        "look": {"effect": "safe", "aim_ms": 500, "deadline_ms": 2000},
        "order": {"effect": "unsafe", "aim_ms": 500, "deadline_ms": 2000, "worth": 5},
    }
    return data


async def make_bad_change(kind: str, watched: bool) -> BadChange:
    """Commits a change, under load, that moves a pool to servers that fail or are late."""
    fake_servers = await FakeServers().start(*SERVERS_BEFORE, *SERVERS_AFTER, "o1")
    behaviour = responds_late if kind == LATE else fails
    for name in SERVERS_AFTER[: 2 if kind == HALF_FAILS else 4]:
        fake_servers.behaviours[name] = behaviour
    watch = WATCH | {"enabled": watched}
    first = with_classes(
        fake_servers.config(fake_servers.pool(*SERVERS_BEFORE), fake_servers.pool("o1"), watch=watch)
    )
    async with serving(first) as running:
        silence_log(running.service)
        load = LoadGenerator(
            running.port,
            fake_servers.request_log,
            lambda rng: ("order" if rng.random() < 0.5 else "look", "/cart"),
            clients=8,
            pause_s=0.02,
        )
        await asyncio.sleep(BASELINE_S)
        change = deepcopy(first)
        change["pools"]["web"] = fake_servers.pool(*SERVERS_AFTER)
        version = running.service.commit(running.propose(change))
        await running.service.wait_until_decided(version)
        since = len(fake_servers.request_log.entries)
        rolled_back_after_s = await wait_for_rollback(version)
        entries = list(fake_servers.request_log.entries.values())[since:]
        await load.stop()
    fake_servers.close()
    return BadChange(rolled_back_after_s, goodput_lost(entries))


async def wait_for_rollback(version: Version) -> float | None:
    """Waits for OBSERVED_S; returns the seconds until the version was rolled back, or None if it was not."""
    started_s = time.perf_counter()
    rolled_back_after_s: float | None = None
    while time.perf_counter() < started_s + OBSERVED_S:
        if rolled_back_after_s is None and version.state is State.ROLLED_BACK:
            rolled_back_after_s = time.perf_counter() - started_s
        await asyncio.sleep(0.01)
    return rolled_back_after_s


def goodput_lost(entries: Sequence[Entry]) -> float:
    """Returns the part of the requests, weighted by priority, not served within the latency objective."""
    requested = sum(PRIORITY_WEIGHTS[entry.request_class] for entry in entries)
    served = sum(
        PRIORITY_WEIGHTS[entry.request_class]
        for entry in entries
        if entry.responses
        and entry.responses[0].status == 200
        and entry.responded_s - entry.sent_s <= OBJECTIVE_S
    )
    return 1.0 - served / requested


async def make_good_changes(changes: int, seed: int) -> GoodChanges:
    """Commits harmless changes one after another, while servers fail in bursts."""
    fake_servers = await FakeServers().start("a1", "a2", "o1")
    failures = BurstingFailures(Random(seed))
    fake_servers.behaviours.update(dict.fromkeys(("a1", "a2"), failures.behave))
    data = with_classes(
        fake_servers.config(fake_servers.pool("a1", "a2"), fake_servers.pool("o1"), watch=SHORT_WATCH)
    )
    rolled_back = 0
    async with serving(data) as running:
        silence_log(running.service)
        bursts = asyncio.create_task(failures.run())
        load = LoadGenerator(
            running.port,
            fake_servers.request_log,
            lambda rng: ("order", "/cart"),  # noqa: ARG005 - a `Choose`
            clients=4,
            pause_s=0.02,
            seed=seed,
        )
        await asyncio.sleep(BASELINE_S)
        for number in range(changes):
            change = deepcopy(data)
            change["pools"]["web"]["max_connections"] = 100 + number
            version = running.service.commit(running.propose(change))
            await running.service.wait_until_decided(version, until_terminal=True)
            rolled_back += version.state is State.ROLLED_BACK
            if version.why:
                print(f"good change rolled back: {version.why}", flush=True)
        await load.stop()
        bursts.cancel()
    fake_servers.close()
    return GoodChanges(changes, rolled_back)


async def run(changes: int, services: int) -> None:
    """Runs the benchmark and prints its figures."""
    lines = []
    for kind in (ALL_FAIL, HALF_FAILS, LATE):
        watched = await make_bad_change(kind, True)
        unwatched = await make_bad_change(kind, False)
        after_s = watched.rolled_back_after_s
        when = "never" if after_s is None else f"after {after_s:.1f} s"
        lines.append(
            f"{kind}: rolled back {when}, goodput lost {watched.goodput_lost:.3f}"
            f" (without the watch {unwatched.goodput_lost:.3f})"
        )
        print(lines[-1], flush=True)
    results = await asyncio.gather(
        *(make_good_changes(changes // services, seed) for seed in range(services))
    )
    committed = sum(result.committed for result in results)
    rolled_back = sum(result.rolled_back for result in results)
    print(f"rollback: {'; '.join(lines)}; {rolled_back} of {committed} good changes under bursts rolled back")


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--good", type=int, default=200)
    parser.add_argument("--services", type=int, default=10)
    args = parser.parse_args()
    asyncio.run(run(args.good, args.services))


if __name__ == "__main__":
    main()
