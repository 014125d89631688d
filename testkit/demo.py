"""`sandhatch demo`: three tiers of fake servers and the balancer on the loopback, with load and with changes.

It uses the example configuration as it is, except for its ports, which the system chooses, and ends by itself
after some twenty seconds. A web-front server calls config-core through the balancer, and that calls
price-store. Source: `deploy/own-example.yaml`.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from collections.abc import Mapping
from copy import deepcopy
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import yaml

from testkit.load_generator import LoadGenerator, RequestChoice
from testkit.ports import free_port, wait_until_listening
from testkit.request_log import RequestLog
from testkit.servers import Behaviour, FakeConnection, FakeServer
from testkit.wire import ReceivedRequest, ok, read_http_response, status

ROOT = Path(__file__).parent.parent
EXAMPLE = ROOT / "deploy" / "own-example.yaml"
NON_IDEMPOTENT = frozenset(("place-order", "save-quote", "send-drawing"))
# How many of a hundred requests are of each class.
CLASS_WEIGHTS = {"view-config": 38, "save-quote": 30, "send-drawing": 18, "place-order": 14}
MIN_SERVICE_TIME_S = 0.02
MAX_SERVICE_TIME_S = 0.04
STEADY_S = 4.0
AFTER_COMMIT_S = 3.0
AFTER_ROLLBACK_S = 2.0


@dataclass(frozen=True, slots=True)
class Downstream:
    """The call that a pool's servers make to the tier below, through the balancer."""

    target: str
    tier: str  # of the caller


CALLS_BELOW = {
    "web-front": Downstream("/core/part", "web-front"),
    "config-core": Downstream("/store/price", "config-core"),
}


def choose_request(rng: Random) -> RequestChoice:
    """Draws a request to the web front."""
    request_class = rng.choices(list(CLASS_WEIGHTS), list(CLASS_WEIGHTS.values()))[0]
    return RequestChoice(request_class, "/configurator")


class Tiers:
    """The fake servers of the example's pools.

    `seen` counts the requests that each received; those whose names are in `broken` respond with status 500.
    They call each other through the balancer at `balancer_port`, which is set once it is known.
    """

    def __init__(self) -> None:
        """Creates tiers without servers."""
        self.balancer_port = 0
        self.seen: Counter[str] = Counter()
        self.broken: set[str] = set()
        self._servers: dict[str, FakeServer] = {}
        self._rng = Random(7)

    async def start(self, pool: str, name: str) -> str:
        """Starts a server of a pool; returns its address."""
        self._servers[name] = await FakeServer(self._behaviour(pool, name)).start()
        return f"127.0.0.1:{self._servers[name].port}"

    def close(self) -> None:
        """Ends all servers."""
        for server in self._servers.values():
            server.close()

    def _behaviour(self, pool: str, name: str) -> Behaviour:
        return partial(self._serve, name, CALLS_BELOW.get(pool))

    async def _serve(
        self, name: str, below: Downstream | None, request: ReceivedRequest, connection: FakeConnection
    ) -> None:
        """Serves a request at the server of this name, which calls the tier below if it has one."""
        self.seen[name] += 1
        if name in self.broken:
            await connection.send(status(500))
            return
        await asyncio.sleep(self._rng.uniform(MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S))
        has_succeeded = below is None or await self._call(request, below)
        await connection.send(ok(name.encode()) if has_succeeded else status(500))

    async def _call(self, request: ReceivedRequest, below: Downstream) -> bool:
        """Calls the tier below; whether it responded with status 200."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.balancer_port)
        try:
            trace = f"{request.headers['x-trace-id']}.{below.tier}"
            lines = (
                f"{request.method} {below.target} HTTP/1.1",
                "Host: below",
                f"X-Trace-Id: {trace}",
                f"X-Tier: {below.tier}",
                f"X-Qos: {request.headers['x-qos']}",
                f"X-Expires-In-Ms: {request.headers.get('x-expires-in-ms', '1000')}",
                "Content-Length: 0",
            )
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            return (await read_http_response(reader)).status == 200
        except (OSError, AssertionError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Demo:
    """One run of the demo, with its files in a directory of its own."""

    def __init__(self, directory: str) -> None:
        """Creates a run that has started nothing."""
        self._directory = Path(directory)
        self._control = f"{directory}/sandhatch.sock"
        self._port = 0  # the balancer's
        self._tiers = Tiers()
        self._request_log = RequestLog()
        self._configuration: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())

    async def run(self) -> int:
        """Plays the demo; returns the exit status, 1 if a request had not exactly one response."""
        await self._start_servers()
        balancer = await self._start_balancer()
        try:
            await wait_until_listening(self._port)
            print(
                f"three tiers of fake servers, the balancer at 127.0.0.1:{self._port}, 6 clients", flush=True
            )
            await self._play_changes()
        finally:
            balancer.terminate()
            await balancer.wait()
            self._tiers.close()
        faults = [line for line in self._request_log.faults(NON_IDEMPOTENT) if "answers" in line]
        print(f"\nin all{self._summary(0)}; requests without exactly one answer: {len(faults)}")
        return 1 if faults else 0

    async def _start_servers(self) -> None:
        for pool, spec in self._configuration["pools"].items():
            for name, server in spec["servers"].items():
                server["address"] = await self._tiers.start(pool, name)
        # Chosen last: a server that starts later could be given the same port.
        self._port = free_port()
        self._tiers.balancer_port = self._port

    async def _start_balancer(self) -> asyncio.subprocess.Process:
        self._configuration["listeners"]["front"]["address"] = f"127.0.0.1:{self._port}"
        path = self._write_configuration("first.yaml", self._configuration)
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sandhatch",
            "serve",
            path,
            "--control",
            self._control,
            cwd=ROOT,
            stderr=asyncio.subprocess.DEVNULL,
        )

    async def _play_changes(self) -> None:
        load = LoadGenerator(
            self._port,
            self._request_log,
            choose_request,
            clients=6,
            pause_s=0.04,
            non_idempotent=NON_IDEMPOTENT,
        )
        await asyncio.sleep(STEADY_S)
        await self._command("status")
        print(self._summary(0))
        await self._play_good_change()
        await self._play_bad_change()
        await load.stop()

    async def _play_good_change(self) -> None:
        print("\n-- a server more in web-front, and web-1 drained", flush=True)
        servers = self._configuration["pools"]["web-front"]["servers"]
        servers["web-4"] = {"address": await self._tiers.start("web-front", "web-4")}
        servers["web-1"]["state"] = "draining"
        path = self._write_configuration("second.yaml", self._configuration)
        await self._command("propose", path, "--comment", "web-4 for web-1")
        await self._command("diff", "--proposal", "1")
        await self._command("commit", "1", "--confirm-within", "30")
        since = len(self._request_log.entries)
        seen_before = self._tiers.seen["web-1"]
        await asyncio.sleep(AFTER_COMMIT_S)
        await self._command("confirm")
        print(self._summary(since))
        drained = self._tiers.seen["web-1"] - seen_before
        print(f"   web-1 got {drained} requests since, web-4 {self._tiers.seen['web-4']}")

    async def _play_bad_change(self) -> None:
        print("\n-- a change that breaks price-store: it is to be rolled back by itself", flush=True)
        self._tiers.broken.add("store-9")
        configuration = deepcopy(self._configuration)
        pool = configuration["pools"]["price-store"]
        pool["servers"] = {"store-9": {"address": await self._tiers.start("price-store", "store-9")}}
        pool["new_servers"] = "warm"
        path = self._write_configuration("third.yaml", configuration)
        await self._command("propose", path, "--comment", "another store")
        since = len(self._request_log.entries)
        await self._command("commit", "2", "--wait")
        print(self._summary(since))
        since = len(self._request_log.entries)
        await asyncio.sleep(AFTER_ROLLBACK_S)
        print("   after the rollback:\n" + self._summary(since))
        await self._command("history")

    def _write_configuration(self, name: str, configuration: Mapping[str, Any]) -> str:
        """Writes a configuration to a file; returns its path."""
        path = self._directory / name
        path.write_text(yaml.safe_dump(dict(configuration), sort_keys=False))
        return str(path)

    async def _command(self, verb: str, *arguments: str) -> int:
        """Runs a verb of the command line, shown with what it prints; returns its exit status."""
        shown = " ".join(Path(argument).name if "/" in argument else argument for argument in arguments)
        print(f"\n$ sandhatch {verb} {shown}", flush=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sandhatch", verb, "--control", self._control, *arguments, cwd=ROOT
        )
        return await process.wait()

    def _summary(self, since: int) -> str:
        """Requests and statuses from the entry with this number on."""
        entries = list(self._request_log.entries.values())[since:]
        statuses = Counter(entry.responses[0].status for entry in entries if entry.responses)
        return f"   {len(entries)} requests, answers {dict(sorted(statuses.items()))}"


def main() -> int:
    """Plays the demo; returns the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(Demo(directory).run())


if __name__ == "__main__":
    sys.exit(main())
