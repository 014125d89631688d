"""What the watch after a commit does: bad changes taken back, with and without it, and good ones left alone.

    python -m benchmarks.rollback [--good N] [--services K]

Bad changes: a pool whose servers all fail, whose half fails, and whose servers answer past the aim. Printed:
time to the rollback, and the worth lost of what was asked for in the ten seconds after the commit, with the
watch and without it. Good changes: commits of harmless keys under load whose servers fail in bursts all
along; printed: how many were taken back. Services run side by side, each with its own servers and callers.
"""

from __future__ import annotations

import argparse
import asyncio
import time
from copy import deepcopy
from random import Random
from typing import Any

from sandhatch.config.version import State
from testkit.load import Load
from testkit.servers import Talk
from testkit.wire import Incoming, ok
from tests.service.harness import Farm, serving

WATCH = {"window_ms": 10_000, "before_ms": 6_000, "block_ms": 100, "significance": 0.001}
AFTER_S = 10.0


async def fails(request: Incoming, talk: Talk) -> None:
    await talk.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")


async def late(request: Incoming, talk: Talk) -> None:
    await asyncio.sleep(0.6)
    await talk.send(ok())


def classes(data: dict[str, Any]) -> dict[str, Any]:
    data["classes"] = {
        "look": {"effect": "safe", "aim_ms": 500, "deadline_ms": 2000},
        "order": {"effect": "unsafe", "aim_ms": 500, "deadline_ms": 2000, "worth": 5},
    }
    return data


async def bad(kind: str, watched: bool) -> tuple[float | None, float]:
    """Seconds to the rollback, and the part of the worth asked for in AFTER_S that was lost."""
    farm = await Farm().start("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4", "o1")
    behave = late if kind == "late" else fails
    for name in ("b1", "b2", "b3", "b4")[: 2 if kind == "half fails" else 4]:
        farm.behave[name] = behave
    spec = WATCH | {"enabled": watched}
    first = classes(farm.config(farm.pool("a1", "a2", "a3", "a4"), farm.pool("o1"), watch=spec))
    async with serving(first) as kept:
        kept.service.logger.line = lambda text: None  # type: ignore[method-assign]
        load = Load(
            kept.port,
            farm.books,
            lambda rng: ("order" if rng.random() < 0.5 else "look", "/cart"),
            clients=8,
            pause_s=0.02,
        )
        await asyncio.sleep(6.5)
        change = deepcopy(first)
        change["pools"]["web"] = farm.pool("b1", "b2", "b3", "b4")
        version = kept.service.commit(kept.propose(change))
        await kept.service.settled(version)
        begun, at = time.perf_counter(), len(farm.books.entries)
        taken: float | None = None
        while time.perf_counter() < begun + AFTER_S:
            if taken is None and version.state is State.TAKEN_BACK:
                taken = time.perf_counter() - begun
            await asyncio.sleep(0.01)
        entries = list(farm.books.entries.values())[at:]
        await load.stop()
    farm.close()
    asked = sum(5.0 if entry.request_class == "order" else 1.0 for entry in entries)
    served = sum(
        5.0 if entry.request_class == "order" else 1.0
        for entry in entries
        if entry.answers and entry.answers[0].status == 200 and entry.answered_s - entry.asked_s <= 0.5
    )
    return taken, 1.0 - served / asked


async def good(changes: int, seed: int) -> tuple[int, int]:
    """Changes made and taken back, while servers fail in bursts all along."""
    farm = await Farm().start("a1", "a2", "o1")
    rng = Random(seed)
    bursting = False

    async def bursts(request: Incoming, talk: Talk) -> None:
        if bursting and rng.random() < 0.6:
            await fails(request, talk)
        else:
            await talk.send(ok())

    farm.behave.update(dict.fromkeys(("a1", "a2"), bursts))
    spec = {"window_ms": 4_000, "before_ms": 6_000, "block_ms": 100, "significance": 0.001}
    data = classes(farm.config(farm.pool("a1", "a2"), farm.pool("o1"), watch=spec))

    async def weather() -> None:
        nonlocal bursting
        while True:
            await asyncio.sleep(rng.expovariate(1 / 1.2))
            bursting = True
            await asyncio.sleep(rng.uniform(0.05, 0.4))
            bursting = False

    back = 0
    async with serving(data) as kept:
        kept.service.logger.line = lambda text: None  # type: ignore[method-assign]
        noise = asyncio.create_task(weather())
        load = Load(kept.port, farm.books, lambda rng: ("order", "/cart"), clients=4, pause_s=0.02, seed=seed)
        await asyncio.sleep(6.5)
        for n in range(changes):
            change = deepcopy(data)
            change["pools"]["web"]["max_connections"] = 100 + n
            version = kept.service.commit(kept.propose(change))
            await kept.service.settled(version, over=True)
            back += version.state is State.TAKEN_BACK
            if version.why:
                print(f"taken back: {version.why}", flush=True)
        await load.stop()
        noise.cancel()
    farm.close()
    return changes, back


async def run(changes: int, services: int) -> None:
    told = []
    for kind in ("all fail", "half fails", "late"):
        (taken, lost), (_, without) = await bad(kind, True), await bad(kind, False)
        when = "never" if taken is None else f"after {taken:.1f} s"
        told.append(f"{kind}: back {when}, worth lost {lost:.3f} (without {without:.3f})")
        print(told[-1], flush=True)
    results = await asyncio.gather(*(good(changes // services, seed) for seed in range(services)))
    made, back = (sum(column) for column in zip(*results, strict=True))
    print(f"rollback: {'; '.join(told)}; {back} of {made} good changes under bursts taken back")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--good", type=int, default=200)
    parser.add_argument("--services", type=int, default=10)
    args = parser.parse_args()
    asyncio.run(run(args.good, args.services))


if __name__ == "__main__":
    main()
