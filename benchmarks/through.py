"""The balancer's requests per second compared with a bare relay on one core, in alternating rounds.

    python -m benchmarks.through [--rounds N] [--seconds S] [--connections C] [--before DIR]

All measured processes get the same bytes from the same clients. Relay, balancers and servers are separate
processes; measured processes are bound to one core, all others to the rest. Measured are the platform's
program, the same balancer started by `serve` with its own configuration format, and with `--before` the
platform's program of another checkout. Prints ratios.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from benchmarks.checkouts import PACKAGE, ROOT, package_of
from benchmarks.processes import Cores, cpu_s, spawn, split_cores, stop_all
from benchmarks.relay import serve_until_terminated
from benchmarks.request_rate import (
    PairedRatio,
    alternate_order,
    format_costs,
    format_rates,
    median_ratio,
    request_rate,
)
from testkit.platform import config_data, entry
from testkit.ports import free_port, wait_until_listening

SERVERS = 8
SOCKETS = 1024
STABILIZE_S = 1.0
MODULE_ARGUMENTS = ("-m", "benchmarks.through")
PLATFORM = "platform"  # name of the target that runs the platform's program of this checkout
BEFORE = "before"  # name of the target that runs the platform's program of the other checkout


@dataclass(frozen=True, slots=True)
class Target:
    """A measured process and the port it listens on."""

    port: int
    process: asyncio.subprocess.Process


@dataclass(slots=True)
class Samples:
    """Measurements by target, one value per round."""

    rates: dict[str, list[float]] = field(default_factory=dict)  # requests per second, by target name
    # Processor time per request, by target name.
    costs_us: dict[str, list[float]] = field(default_factory=dict)

    def add(self, name: str, rate: float, cost_us: float) -> None:
        """Adds a target's values of one round."""
        self.rates.setdefault(name, []).append(rate)
        self.costs_us.setdefault(name, []).append(cost_us)


class Targets:
    """The processes of a run; their configuration files are in one directory."""

    def __init__(self, directory: str, cores: Cores) -> None:
        """Starts no process yet."""
        self._directory = Path(directory)
        self._cores = cores
        self._servers = [free_port() for _ in range(SERVERS)]
        self._processes: list[asyncio.subprocess.Process] = []
        self.by_name: dict[str, Target] = {}

    async def start(self, before: str) -> None:
        """Starts the servers and all targets, and waits until they listen.

        Args:
            before: Checkout of an earlier version that is measured too; empty for none.
        """
        for port in self._servers:
            server = ("--role", "server", "--port", str(port))
            self._processes.append(await spawn(*MODULE_ARGUMENTS, *server, cores=self._cores.rest))
        await self._start_relay()
        await self._start_platform(PLATFORM, ROOT)
        await self._start_service()
        if before:
            await self._start_platform(BEFORE, Path(before))
        for port in (*self._servers, *(target.port for target in self.by_name.values())):
            await wait_until_listening(port)
        await asyncio.sleep(STABILIZE_S)

    async def stop(self) -> None:
        """Terminates all processes and waits for them."""
        await stop_all(self._processes)

    async def _start_relay(self) -> None:
        port = free_port()
        relay = ("--role", "relay", "--port", str(port), "--to", str(self._servers[0]))
        self._add("relay", port, await spawn(*MODULE_ARGUMENTS, *relay, cores=self._cores.measured))

    async def _start_platform(self, name: str, checkout: Path) -> None:
        """Starts the platform's program of a checkout, in the same way for all checkouts."""
        port = free_port()
        entries = [entry(f"s{number}", server) for number, server in enumerate(self._servers)]
        configuration = config_data(entries, 1, listen=f"127.0.0.1:{port}")
        configuration["limits"]["sockets"] = SOCKETS
        env = {"GW_CONFIG": self._write(f"{name}.json", configuration), "PYTHONPATH": str(checkout)}
        program = ("-P", "-m", package_of(checkout))
        process = await spawn(*program, cores=self._cores.measured, env=env, cwd=str(checkout))
        self._add(name, port, process)

    async def _start_service(self) -> None:
        """Starts the balancer by the `serve` command, with the balancer's own configuration format."""
        port = free_port()
        servers = {
            f"s{number}": {"address": f"127.0.0.1:{server}"} for number, server in enumerate(self._servers)
        }
        data = {
            "format": 1,
            "listeners": {"front": {"address": f"127.0.0.1:{port}"}},
            "classes": {"look": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 8000}},
            "pools": {"web": {"servers": servers}},
            "default": {"pool": "web"},
        }
        path = self._write("own.json", data)
        control = str(self._directory / "c.sock")
        serve = ("-m", PACKAGE, "serve", path, "--control", control)
        self._add("own", port, await spawn(*serve, cores=self._cores.measured))

    def _write(self, name: str, data: dict[str, Any]) -> str:
        path = self._directory / name
        path.write_text(json.dumps(data))
        return str(path)

    def _add(self, name: str, port: int, process: asyncio.subprocess.Process) -> None:
        self._processes.append(process)
        self.by_name[name] = Target(port, process)


async def measure(rounds: int, seconds: float, connections: int, targets: Targets) -> Samples:
    """Measures all targets alternately, and prints the rates of each round."""
    samples = Samples()
    for turn in range(rounds):
        for name in alternate_order(list(targets.by_name), turn):
            target = targets.by_name[name]
            before_s = cpu_s(target.process.pid)
            rate = await request_rate(target.port, connections, seconds)
            cpu_spent_s = cpu_s(target.process.pid) - before_s
            samples.add(name, rate, cpu_spent_s / (rate * seconds) * 1e6)
        rates = {name: samples.rates[name] for name in targets.by_name}
        print(f"round {turn + 1}: {format_rates(rates)}", flush=True)
    return samples


async def run(args: argparse.Namespace, directory: str) -> None:
    """Runs the benchmark and prints its ratios."""
    targets = Targets(directory, split_cores())
    try:
        await targets.start(args.before)
        samples = await measure(args.rounds, args.seconds, args.connections, targets)
    finally:
        await targets.stop()
    ratios = ", ".join(
        f"{name} {median_ratio(samples.rates[name], samples.rates['relay']):.3f}"
        for name in targets.by_name
        if name != "relay"
    )
    costs_us = {name: samples.costs_us[name] for name in targets.by_name}
    print(f"processor time per request, in microseconds: {format_costs(costs_us)}")
    print(
        f"through: at {args.connections} connections, ratio to a bare relay's requests per second: {ratios}"
    )
    if BEFORE in targets.by_name:
        rate = PairedRatio.of(samples.rates[PLATFORM], samples.rates[BEFORE])
        cost = PairedRatio.of(samples.costs_us[PLATFORM], samples.costs_us[BEFORE])
        print(
            f"through: ratio to the version before: requests per second {rate},"
            f" processor time per request {cost}"
        )


def main() -> None:
    """Runs the benchmark or, with `--role`, one of its processes."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=30)
    parser.add_argument("--seconds", type=float, default=0.7)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument(
        "--before", default="", metavar="DIR", help="another checkout, measured in the same run"
    )
    parser.add_argument("--role", choices=("server", "relay"))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", type=int, default=0)
    args = parser.parse_args()
    if args.role:
        uvloop.run(serve_until_terminated(args.port, args.to))
        return
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(args, directory))


if __name__ == "__main__":
    main()
