"""`sandhatch demo`: three tiers of stand-in servers and the balancer on loopback, traffic, and changes under
it.

The example configuration is used as it stands, but for its ports, which the system chooses. A web-front
server calls config-core through the balancer, and that calls price-store. It ends by itself after some
twenty seconds.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from copy import deepcopy
from pathlib import Path
from random import Random
from typing import Any

import yaml

from testkit.books import Books
from testkit.load import Load
from testkit.ports import free_port
from testkit.servers import FakeUpstream, Talk
from testkit.wire import Incoming, ok, read_answer

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "own-example.yaml"
BELOW = {"web-front": ("/core/part", "web-front"), "config-core": ("/store/price", "config-core")}
NON_IDEMPOTENT = frozenset(("place-order", "save-quote", "send-drawing"))
CLASSES = {"view-config": 38, "save-quote": 30, "send-drawing": 18, "place-order": 14}  # their shares


def choose(rng: Random) -> tuple[str, str]:
    return rng.choices(list(CLASSES), list(CLASSES.values()))[0], "/configurator"


class Tiers:
    """The servers of the example's pools, and what they do."""

    def __init__(self) -> None:
        self.servers: dict[str, FakeUpstream] = {}
        self.seen: Counter[str] = Counter()
        self.broken: set[str] = set()
        self.port = 0  # of the balancer
        self._rng = Random(7)

    async def start(self, pool: str, name: str) -> str:
        self.servers[name] = await FakeUpstream(self._behaviour(pool, name)).start()
        return f"127.0.0.1:{self.servers[name].port}"

    def _behaviour(self, pool: str, name: str) -> Any:
        async def serve(request: Incoming, talk: Talk) -> None:
            self.seen[name] += 1
            if name in self.broken:
                await talk.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
                return
            await asyncio.sleep(self._rng.uniform(0.02, 0.04))
            below = BELOW.get(pool)
            if below is not None and not await self._call(request, *below):
                await talk.send(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
                return
            await talk.send(ok(name.encode()))

        return serve

    async def _call(self, request: Incoming, target: str, tier: str) -> bool:
        """A call to the tier below, through the balancer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            trace = f"{request.headers['x-trace-id']}.{tier}"
            lines = (
                f"{request.method} {target} HTTP/1.1",
                "Host: below",
                f"X-Trace-Id: {trace}",
                f"X-Tier: {tier}",
                f"X-Qos: {request.headers['x-qos']}",
                f"X-Expires-In-Ms: {request.headers.get('x-expires-in-ms', '1000')}",
                "Content-Length: 0",
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            return (await read_answer(reader)).status == 200
        except (OSError, AssertionError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    def close(self) -> None:
        for server in self.servers.values():
            server.close()


async def command(directory: str, verb: str, *arguments: str) -> int:
    """A verb of the command line, shown with what it prints."""
    print(f"\n$ sandhatch {verb} {' '.join(Path(a).name if '/' in a else a for a in arguments)}", flush=True)
    control = ["--control", f"{directory}/sandhatch.sock"]
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "sandhatch", verb, *control, *arguments, cwd=ROOT
    )
    return await process.wait()


def summary(books: Books, since: int) -> str:
    entries = list(books.entries.values())[since:]
    counts = Counter(entry.answers[0].status for entry in entries if entry.answers)
    return f"   {len(entries)} requests, answers {dict(sorted(counts.items()))}"


async def ready(port: int) -> None:
    for _ in range(500):
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        return
    raise SystemExit("the balancer did not start")


async def play(directory: str) -> int:
    tiers = Tiers()
    data: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())
    for pool, spec in data["pools"].items():
        for name, server in spec["servers"].items():
            server["address"] = await tiers.start(pool, name)
    tiers.port = free_port()
    data["listeners"]["front"]["address"] = f"127.0.0.1:{tiers.port}"
    first = Path(directory) / "first.yaml"
    first.write_text(yaml.safe_dump(data, sort_keys=False))
    balancer = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sandhatch",
        "serve",
        str(first),
        "--control",
        f"{directory}/sandhatch.sock",
        cwd=ROOT,
        stderr=asyncio.subprocess.DEVNULL,
    )
    books = Books()
    try:
        await ready(tiers.port)
        print(f"three tiers of stand-ins, the balancer at 127.0.0.1:{tiers.port}, 6 callers", flush=True)
        load = Load(tiers.port, books, choose, clients=6, pause_s=0.04, unsafe=NON_IDEMPOTENT)
        await asyncio.sleep(4.0)
        await command(directory, "status")
        print(summary(books, 0))
        await good_change(directory, data, tiers, books)
        await bad_change(directory, data, tiers, books)
        await load.stop()
    finally:
        balancer.terminate()
        await balancer.wait()
        tiers.close()
    faults = [line for line in books.faults(NON_IDEMPOTENT) if "answers" in line]
    print(f"\nin all{summary(books, 0)}; requests without exactly one answer: {len(faults)}")
    return 1 if faults else 0


async def good_change(directory: str, data: dict[str, Any], tiers: Tiers, books: Books) -> None:
    print("\n-- a server more in web-front, and web-1 drained", flush=True)
    servers = data["pools"]["web-front"]["servers"]
    servers["web-4"] = {"address": await tiers.start("web-front", "web-4")}
    servers["web-1"]["state"] = "draining"
    second = Path(directory) / "second.yaml"
    second.write_text(yaml.safe_dump(data, sort_keys=False))
    await command(directory, "propose", str(second), "--comment", "web-4 for web-1")
    await command(directory, "diff", "--proposal", "1")
    await command(directory, "commit", "1", "--confirm-within", "30")
    since, before = len(books.entries), tiers.seen["web-1"]
    await asyncio.sleep(3.0)
    await command(directory, "confirm")
    print(summary(books, since))
    print(f"   web-1 got {tiers.seen['web-1'] - before} requests since, web-4 {tiers.seen['web-4']}")


async def bad_change(directory: str, data: dict[str, Any], tiers: Tiers, books: Books) -> None:
    print("\n-- a change that breaks price-store: it is to be taken back by itself", flush=True)
    bad = deepcopy(data)
    tiers.broken.add("store-9")
    bad["pools"]["price-store"]["servers"] = {
        "store-9": {"address": await tiers.start("price-store", "store-9")}
    }
    bad["pools"]["price-store"]["new_servers"] = "warm"
    third = Path(directory) / "third.yaml"
    third.write_text(yaml.safe_dump(bad, sort_keys=False))
    await command(directory, "propose", str(third), "--comment", "another store")
    since = len(books.entries)
    await command(directory, "commit", "2", "--wait")
    print(summary(books, since))
    since = len(books.entries)
    await asyncio.sleep(2.0)
    print("   after the rollback:\n" + summary(books, since))
    await command(directory, "history")


def main() -> int:
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(play(directory))


if __name__ == "__main__":
    sys.exit(main())
