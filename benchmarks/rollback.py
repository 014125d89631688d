"""What the watch after a commit does: bad changes rolled back, with and without it, and good ones left alone.

    python -m benchmarks.rollback [--good N] [--services K]

Bad changes: a pool whose servers all fail, whose half fails, and whose servers respond past the latency
objective. Printed: time to the rollback, and the goodput lost (as "worth", the setting's word) in the ten
seconds after the commit, with the watch and without it. Good changes: commits of harmless keys under load
whose servers fail in bursts all along; printed: how many were rolled back. Services run side by side, each
with its own servers and clients.
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

# Keys of the configuration: the watch of a bad change, and the shorter one of a good change.
WATCH = {"window_ms": 10_000, "before_ms": 6_000, "block_ms": 100, "significance": 0.001}
SHORT_WATCH = WATCH | {"window_ms": 4_000}
BEFORE_S = 6.5  # under load, longer than the watch looks back
AFTER_S = 10.0
OBJECTIVE_S = 0.5
LATE_S = 0.6  # past the objective
PRIORITY_WEIGHTS = {"order": 5.0, "look": 1.0}
SERVERS_BEFORE = ("a1", "a2", "a3", "a4")
SERVERS_AFTER = ("b1", "b2", "b3", "b4")
ALL_FAIL = "all fail"
HALF_FAILS = "half fails"
LATE = "late"

fails = fails_with(500)


async def responds_late(request: ReceivedRequest, connection: FakeConnection) -> None:  # noqa: ARG001 - a `Behaviour`
    """Responds past the latency objective."""
    await asyncio.sleep(LATE_S)
    await connection.send(ok())


class BurstingFailures:
    """A behaviour of servers that fail in bursts."""

    def __init__(self, rng: Random) -> None:
        """Creates servers that don't fail yet."""
        self._rng = rng
        self._bursting = False

    async def run(self) -> None:
        """Begins and ends bursts, until it is cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / 1.2))
            self._bursting = True
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            self._bursting = False

    async def behave(self, request: ReceivedRequest, connection: FakeConnection) -> None:
        """Fails during a burst more often than not."""
        if self._bursting and self._rng.random() < 0.6:
            await fails(request, connection)
        else:
            await connection.send(ok())


@dataclass(frozen=True, slots=True)
class BadChange:
    """What came of a bad change."""

    rolled_back_after_s: float | None  # None: never
    goodput_lost: float  # share of the priority weight requested in AFTER_S


@dataclass(frozen=True, slots=True)
class GoodChanges:
    """What came of good changes."""

    committed: int
    rolled_back: int


def with_classes(data: dict[str, Any]) -> dict[str, Any]:
    """Sets the classes of a configuration."""
    data["classes"] = {
        "look": {"effect": "safe", "aim_ms": 500, "deadline_ms": 2000},
        "order": {"effect": "unsafe", "aim_ms": 500, "deadline_ms": 2000, "worth": 5},
    }
    return data


async def make_bad_change(kind: str, watched: bool) -> BadChange:
    """Moves a pool under load to servers that fail or are late."""
    farm = await FakeServers().start(*SERVERS_BEFORE, *SERVERS_AFTER, "o1")
    behaviour = responds_late if kind == LATE else fails
    for name in SERVERS_AFTER[: 2 if kind == HALF_FAILS else 4]:
        farm.behave[name] = behaviour
    watch = WATCH | {"enabled": watched}
    first = with_classes(farm.config(farm.pool(*SERVERS_BEFORE), farm.pool("o1"), watch=watch))
    async with serving(first) as running:
        silence_log(running.service)
        load = LoadGenerator(
            running.port,
            farm.books,
            lambda rng: ("order" if rng.random() < 0.5 else "look", "/cart"),
            clients=8,
            pause_s=0.02,
        )
        await asyncio.sleep(BEFORE_S)
        change = deepcopy(first)
        change["pools"]["web"] = farm.pool(*SERVERS_AFTER)
        version = running.service.commit(running.propose(change))
        await running.service.wait_until_decided(version)
        since = len(farm.books.entries)
        rolled_back_after_s = await wait_for_rollback(version)
        entries = list(farm.books.entries.values())[since:]
        await load.stop()
    farm.close()
    return BadChange(rolled_back_after_s, goodput_lost(entries))


async def wait_for_rollback(version: Version) -> float | None:
    """Waits for AFTER_S; returns seconds until the version was rolled back, None if it was not."""
    started_s = time.perf_counter()
    rolled_back_after_s: float | None = None
    while time.perf_counter() < started_s + AFTER_S:
        if rolled_back_after_s is None and version.state is State.ROLLED_BACK:
            rolled_back_after_s = time.perf_counter() - started_s
        await asyncio.sleep(0.01)
    return rolled_back_after_s


def goodput_lost(entries: Sequence[Entry]) -> float:
    """The share of the requested priority weight that was not served within the latency objective."""
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
    """Commits harmless changes one after another, while servers fail in bursts all along."""
    farm = await FakeServers().start("a1", "a2", "o1")
    failures = BurstingFailures(Random(seed))
    farm.behave.update(dict.fromkeys(("a1", "a2"), failures.behave))
    data = with_classes(farm.config(farm.pool("a1", "a2"), farm.pool("o1"), watch=SHORT_WATCH))
    rolled_back = 0
    async with serving(data) as running:
        silence_log(running.service)
        bursts = asyncio.create_task(failures.run())
        load = LoadGenerator(
            running.port,
            farm.books,
            lambda rng: ("order", "/cart"),  # noqa: ARG005 - a `Choose`
            clients=4,
            pause_s=0.02,
            seed=seed,
        )
        await asyncio.sleep(BEFORE_S)
        for number in range(changes):
            change = deepcopy(data)
            change["pools"]["web"]["max_connections"] = 100 + number
            version = running.service.commit(running.propose(change))
            await running.service.wait_until_decided(version, over=True)
            rolled_back += version.state is State.ROLLED_BACK
            if version.why:
                print(f"taken back: {version.why}", flush=True)
        await load.stop()
        bursts.cancel()
    farm.close()
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
            f"{kind}: back {when}, worth lost {watched.goodput_lost:.3f}"
            f" (without {unwatched.goodput_lost:.3f})"
        )
        print(lines[-1], flush=True)
    results = await asyncio.gather(
        *(make_good_changes(changes // services, seed) for seed in range(services))
    )
    committed = sum(result.committed for result in results)
    rolled_back = sum(result.rolled_back for result in results)
    print(f"rollback: {'; '.join(lines)}; {rolled_back} of {committed} good changes under bursts taken back")


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
