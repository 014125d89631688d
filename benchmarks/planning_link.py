"""Cost of the link to planners: a forwarder with and one without it, in alternating rounds on one core.

    python -m benchmarks.planning_link [--rounds N] [--seconds S] [--connections C] [--planners P]

Prints requests per second, processor time, the link's traffic, and the processor time used without requests.
Servers and planners run on the other cores. The forwarder that is not being measured is suspended by SIGSTOP,
so that it takes no processor time from the measured one.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import signal
import statistics
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.processes import Cores, cpu_s, spawn, split_cores, stop_all
from benchmarks.request_rate import alternate_order, format_costs, format_rates, median_ratio, request_rate
from sandhatch.control.client import Client
from testkit.ports import free_port, wait_until_listening

SERVERS = 8
STABILIZE_S = 1.0  # seconds between resuming a suspended forwarder and the start of its measurement
IDLE_S = 4.0
LEASED_TIMEOUT_S = 60.0
ALONE = "alone"  # name of the forwarder without planners
CONNECTED = "connected"  # name of the forwarder with planners


@dataclass(frozen=True, slots=True)
class MeasuredForwarder:
    """A forwarder process and the port it listens on."""

    port: int
    process: asyncio.subprocess.Process


@dataclass(slots=True)
class Samples:
    """Measurements by forwarder, one value per round."""

    rates: dict[str, list[float]] = field(default_factory=lambda: {ALONE: [], CONNECTED: []})
    costs_us: dict[str, list[float]] = field(default_factory=lambda: {ALONE: [], CONNECTED: []})
    link_bytes_per_s: list[float] = field(default_factory=list)  # traffic from the forwarder to one planner


def forwarder_config(port: int, servers: list[int], planning: dict[str, Any] | None) -> dict[str, Any]:
    """Returns the configuration of a forwarder; without `planning`, it has no planners."""
    addresses = {f"s{number}": {"address": f"127.0.0.1:{server}"} for number, server in enumerate(servers)}
    return {
        "format": 1,
        "listeners": {"front": {"address": f"127.0.0.1:{port}"}},
        "classes": {"look": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 8000}},
        "pools": {"web": {"servers": addresses, "copies": 4, "tier": 1, "ramp_per_s": 1000}},
        "default": {"pool": "web"},
        "planning": planning or {"place": 0},
    }


def planner_config(name: str, port: int, key: Path) -> dict[str, Any]:
    """Returns the configuration of a planner."""
    return {"format": 1, "name": name, "listen": f"127.0.0.1:{port}", "shared_key_file": str(key)}


class Processes:
    """The processes of a run; their files are in one directory."""

    def __init__(self, directory: Path, cores: Cores) -> None:
        """Starts no process yet."""
        self._directory = directory
        self._cores = cores
        self._key = directory / "key"
        self._servers = [free_port() for _ in range(SERVERS)]
        self._processes: list[asyncio.subprocess.Process] = []
        self.forwarders: dict[str, MeasuredForwarder] = {}

    async def start(self, planners: int) -> None:
        """Starts all processes, and waits until the connected forwarder has leased its ramp shares."""
        self._key.touch(0o600)
        self._key.write_text("5a" * 32)
        for port in self._servers:
            server = ("-m", "benchmarks.through", "--role", "server", "--port", str(port))
            self._processes.append(await spawn(*server, cores=self._cores.rest))
        addresses = {name: await self._start_planner(name) for name in planner_names(planners)}
        planning = {"place": 0, "shared_key_file": str(self._key), "planners": addresses}
        await self._start_forwarder(ALONE, None)
        await self._start_forwarder(CONNECTED, planning)
        for port in (*self._servers, *(forwarder.port for forwarder in self.forwarders.values())):
            await wait_until_listening(port)
        await self._wait_until_leased()

    async def stop(self) -> None:
        """Terminates all processes and waits for them."""
        await stop_all(self._processes)

    def resume_only(self, name: str) -> None:
        """Resumes one forwarder and suspends the others."""
        for other, forwarder in self.forwarders.items():
            forwarder.process.send_signal(signal.SIGCONT if other == name else signal.SIGSTOP)

    def planner_received_bytes(self) -> int:
        """Returns the number of bytes that the first planner has received so far."""
        with Client(str(self._control("p0"))) as client:
            return int(client.call("status")["bytes_in"])

    async def _start_planner(self, name: str) -> dict[str, str]:
        port = free_port()
        path = self._write(name, planner_config(name, port, self._key))
        run = ("-m", "sandhatch", "planner", "run", path, "--control", str(self._control(name)))
        self._processes.append(await spawn(*run, cores=self._cores.rest))
        return {"address": f"127.0.0.1:{port}"}

    async def _start_forwarder(self, name: str, planning: dict[str, Any] | None) -> None:
        port = free_port()
        path = self._write(name, forwarder_config(port, self._servers, planning))
        serve = ("-m", "sandhatch", "serve", path, "--control", str(self._control(name)))
        process = await spawn(*serve, cores=self._cores.measured)
        self._processes.append(process)
        self.forwarders[name] = MeasuredForwarder(port, process)

    async def _wait_until_leased(self) -> None:
        async with asyncio.timeout(LEASED_TIMEOUT_S):
            while True:
                with Client(str(self._control(CONNECTED))) as client:
                    if client.call("status")["planning"]["lends_to"] is not None:
                        return
                await asyncio.sleep(0.1)

    def _control(self, name: str) -> Path:
        return self._directory / f"{name}.sock"

    def _write(self, name: str, data: Mapping[str, Any]) -> str:
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(data))
        return str(path)


def planner_names(count: int) -> list[str]:
    """Returns the names of `count` planners."""
    return [f"p{number}" for number in range(count)]


async def measure_load(processes: Processes, args: argparse.Namespace) -> Samples:
    """Measures both forwarders under load alternately, and prints the rates of each round."""
    samples = Samples()
    for turn in range(args.rounds):
        for name in alternate_order([ALONE, CONNECTED], turn):
            processes.resume_only(name)
            await asyncio.sleep(STABILIZE_S)
            forwarder = processes.forwarders[name]
            cpu_before_s = cpu_s(forwarder.process.pid)
            bytes_before = processes.planner_received_bytes()
            rate = await request_rate(forwarder.port, args.connections, args.seconds)
            if name == CONNECTED:
                sent_bytes = processes.planner_received_bytes() - bytes_before
                samples.link_bytes_per_s.append(sent_bytes / args.seconds)
            cpu_spent_s = cpu_s(forwarder.process.pid) - cpu_before_s
            samples.rates[name].append(rate)
            samples.costs_us[name].append(cpu_spent_s / (rate * args.seconds) * 1e6)
        print(f"round {turn + 1}: {format_rates(samples.rates)}", flush=True)
    return samples


async def measure_idle(processes: Processes) -> dict[str, float]:
    """Returns the fraction of a core that each forwarder uses without requests."""
    shares = {}
    for name, forwarder in processes.forwarders.items():
        forwarder.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(STABILIZE_S)
        before_s = cpu_s(forwarder.process.pid)
        await asyncio.sleep(IDLE_S)
        shares[name] = (cpu_s(forwarder.process.pid) - before_s) / IDLE_S
    return shares


async def run(args: argparse.Namespace, directory: Path) -> None:
    """Runs the benchmark and prints its figures."""
    processes = Processes(directory, split_cores())
    try:
        await processes.start(args.planners)
        samples = await measure_load(processes, args)
        idle = await measure_idle(processes)
    finally:
        await processes.stop()
    ratio = median_ratio(samples.rates[CONNECTED], samples.rates[ALONE])
    print(f"processor time per request, in microseconds: {format_costs(samples.costs_us)}")
    print(f"idle, fraction of a core: alone {idle[ALONE]:.4f}, connected {idle[CONNECTED]:.4f}")
    print(
        f"link: {args.planners} planners, {ratio:.3f} of the requests per second without it;"
        f" {statistics.median(samples.link_bytes_per_s):.0f} bytes per second to each planner under load"
    )


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--planners", type=int, default=2)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(run(args, Path(directory)))


if __name__ == "__main__":
    main()
