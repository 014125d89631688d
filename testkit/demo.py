"""`sandhatch demo`: three tiers of fake servers and the balancer on the loopback, under load and changes.

Uses the example configuration unchanged, except for the ports, which the system chooses, and ends by itself
after some twenty seconds. A web-front server calls config-core through the balancer, which in turn calls
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
# Percentage of the demo's requests that have each request class.
CLASS_WEIGHTS = {"view-config": 38, "save-quote": 30, "send-drawing": 18, "place-order": 14}
MIN_SERVICE_TIME_S = 0.02
MAX_SERVICE_TIME_S = 0.04
STEADY_S = 4.0
AFTER_COMMIT_S = 3.0
AFTER_ROLLBACK_S = 2.0


@dataclass(frozen=True, slots=True)
class DependencyCall:
    """The call that a pool's servers make through the balancer to the tier that they depend on."""

    target: str
    tier: str  # tier of the calling server


DEPENDENCY_CALLS = {
    "web-front": DependencyCall("/core/part", "web-front"),
    "config-core": DependencyCall("/store/price", "config-core"),
}


def choose_request(rng: Random) -> RequestChoice:
    """Chooses a random request to the web front."""
    request_class = rng.choices(list(CLASS_WEIGHTS), list(CLASS_WEIGHTS.values()))[0]
    return RequestChoice(request_class, "/configurator")


class Tiers:
    """The fake servers of the example's pools.

    Attributes:
        balancer_port: Port of the balancer, through which the servers call each other; 0 until it is known.
        received: Number of requests that each server received, by its name.
        failing: Names of servers that respond to each request with status 500.
    """

    def __init__(self) -> None:
        """Creates tiers without servers."""
        self.balancer_port = 0
        self.received: Counter[str] = Counter()
        self.failing: set[str] = set()
        self._servers: dict[str, FakeServer] = {}
        self._rng = Random(7)

    async def start(self, pool: str, name: str) -> str:
        """Starts a server of the pool; returns its address."""
        self._servers[name] = await FakeServer(self._behaviour(pool, name)).start()
        return f"127.0.0.1:{self._servers[name].port}"

    def close(self) -> None:
        """Stops all servers."""
        for server in self._servers.values():
            server.close()

    def _behaviour(self, pool: str, name: str) -> Behaviour:
        return partial(self._serve, name, DEPENDENCY_CALLS.get(pool))

    async def _serve(
        self,
        name: str,
        dependency: DependencyCall | None,
        request: ReceivedRequest,
        connection: FakeConnection,
    ) -> None:
        """Serves a request as the named server, calling the tier that it depends on, if any."""
        self.received[name] += 1
        if name in self.failing:
            await connection.send(status(500))
            return
        await asyncio.sleep(self._rng.uniform(MIN_SERVICE_TIME_S, MAX_SERVICE_TIME_S))
        succeeded = dependency is None or await self._call(request, dependency)
        await connection.send(ok(name.encode()) if succeeded else status(500))

    async def _call(self, request: ReceivedRequest, dependency: DependencyCall) -> bool:
        """Makes the dependency call; returns whether the response had status 200."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.balancer_port)
        try:
            trace = f"{request.headers['x-trace-id']}.{dependency.tier}"
            lines = (
                f"{request.method} {dependency.target} HTTP/1.1",
                "Host: below",
                f"X-Trace-Id: {trace}",
                f"X-Tier: {dependency.tier}",
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
    """One run of the demo, with its files in the given directory."""

    def __init__(self, directory: str) -> None:
        """Creates a run of the demo; no server or balancer is started yet."""
        self._directory = Path(directory)
        self._control = f"{directory}/sandhatch.sock"
        self._port = 0  # port of the balancer
        self._tiers = Tiers()
        self._request_log = RequestLog()
        self._configuration: dict[str, Any] = yaml.safe_load(EXAMPLE.read_text())

    async def run(self) -> int:
        """Runs the demo; returns the exit status, 1 if any request did not get exactly one response."""
        await self._start_servers()
        balancer = await self._start_balancer()
        try:
            await wait_until_listening(self._port)
            print(
                f"three tiers of fake servers, the balancer at 127.0.0.1:{self._port}, 6 clients", flush=True
            )
            await self._run_scenario()
        finally:
            balancer.terminate()
            await balancer.wait()
            self._tiers.close()
        faults = [line for line in self._request_log.faults(NON_IDEMPOTENT) if "responses" in line]
        print(f"\nin all{self._summary(0)}; requests without exactly one response: {len(faults)}")
        return 1 if faults else 0

    async def _start_servers(self) -> None:
        for pool, spec in self._configuration["pools"].items():
            for name, server in spec["servers"].items():
                server["address"] = await self._tiers.start(pool, name)
        # The balancer's port is chosen after all servers have started: a server that starts later could be
        # given the same port.
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

    async def _run_scenario(self) -> None:
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
        await self._commit_valid_change()
        await self._commit_failing_change()
        await load.stop()

    async def _commit_valid_change(self) -> None:
        print("\n-- change 1: add web-4 to web-front and drain web-1", flush=True)
        servers = self._configuration["pools"]["web-front"]["servers"]
        servers["web-4"] = {"address": await self._tiers.start("web-front", "web-4")}
        servers["web-1"]["state"] = "draining"
        path = self._write_configuration("second.yaml", self._configuration)
        await self._command("propose", path, "--comment", "web-4 for web-1")
        await self._command("diff", "--proposal", "1")
        await self._command("commit", "1", "--confirm-within", "30")
        since = len(self._request_log.entries)
        received_before = self._tiers.received["web-1"]
        await asyncio.sleep(AFTER_COMMIT_S)
        await self._command("confirm")
        print(self._summary(since))
        received_while_draining = self._tiers.received["web-1"] - received_before
        print(
            f"   since the commit, web-1 received {received_while_draining} requests, "
            f"web-4 {self._tiers.received['web-4']}"
        )

    async def _commit_failing_change(self) -> None:
        print("\n-- change 2 breaks price-store: an automatic rollback is expected", flush=True)
        self._tiers.failing.add("store-9")
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
        """Writes a configuration to a file; returns the file's path."""
        path = self._directory / name
        path.write_text(yaml.safe_dump(dict(configuration), sort_keys=False))
        return str(path)

    async def _command(self, verb: str, *arguments: str) -> int:
        """Prints and runs a verb of the command line; returns its exit status."""
        shown = " ".join(Path(argument).name if "/" in argument else argument for argument in arguments)
        print(f"\n$ sandhatch {verb} {shown}", flush=True)
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "sandhatch", verb, "--control", self._control, *arguments, cwd=ROOT
        )
        return await process.wait()

    def _summary(self, since: int) -> str:
        """Summarizes the requests logged from index `since` on, with the statuses of their responses."""
        entries = list(self._request_log.entries.values())[since:]
        statuses = Counter(entry.responses[0].status for entry in entries if entry.responses)
        return f"   {len(entries)} requests, responses by status {dict(sorted(statuses.items()))}"


def main() -> int:
    """Runs the demo; returns the exit status."""
    with tempfile.TemporaryDirectory() as directory:
        return asyncio.run(Demo(directory).run())


if __name__ == "__main__":
    sys.exit(main())
