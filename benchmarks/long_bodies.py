"""Long bodies through the balancer: memory, ceilings, checksums, and throughput against a bare relay.

    python -m benchmarks.long_bodies [--bodies N] [--mb SIZE] [--at-once N] [--rounds N] [--large-mb SIZE]

First part: one body of SIZE MB at a time through a bare uvloop relay and through the balancer on the same
core, in turn; the ratio of their throughputs.

Second part: N bodies of SIZE MB, half up and half down, between clients and servers of mixed speeds that are
drawn from a seed. Clients and servers are processes of their own, the balancer is bound to one core. Its
resident memory is read twice a second from the system; what each request booked is the balancer's own
account, in which each change is entered. Every response is counted, every body's checksum compared.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import tempfile
from collections import Counter
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from time import perf_counter
from typing import Any

import uvloop

from benchmarks.long_bodies_memory import MIB, MemoryWatch, read_status
from benchmarks.long_bodies_peers import SPEED_WEIGHTS, listen, run_clients, serve_uploads, upload_once
from benchmarks.processes import Cores, spawn, split_cores, stop_all
from benchmarks.request_rate import in_turns, median_ratio
from testkit.ports import free_port, wait_until_listening

GIB = 1024 * MIB
WORKERS = 3  # processes of clients, and of servers
BODY_CEILING_BYTES = 256 * 1024  # that one body may book
LARGE_MEMORY_MB = 64.0
RELAY = "relay"
BALANCER = "balancer"
THIS = ("-m", "benchmarks.long_bodies", "--role")
# Both ends are processes that share seven cores: that they are slow is not to count as a fault of theirs.
PROGRESS_LIMITS = {"stall_ms": 120_000, "floor_bytes_per_s": 0}


def configuration(port: int, servers: list[int], memory_mb: float) -> dict[str, Any]:
    """The balancer's configuration, with limits that no body meets."""
    addresses = {f"s{number}": {"address": f"127.0.0.1:{server}"} for number, server in enumerate(servers)}
    limits = {
        f"{side}_{key}": value for side in ("writer", "reader") for key, value in PROGRESS_LIMITS.items()
    }
    bodies = {"request": limits, "answer": limits, "room_wait_ms": 600_000}
    times = {"aim_ms": 3_000_000, "deadline_ms": 3_600_000}
    pool = {"servers": addresses, "tier": 1, "max_connections": 4096, "connect_timeout_ms": 20_000}
    return {
        "format": 1,
        "limits": {"memory_mb": memory_mb, "sockets": 8192},
        "listeners": {"front": {"address": f"127.0.0.1:{port}", "half_close": True}},
        "classes": {"draw": {"effect": "unsafe", "bodies": bodies} | times},
        "default_class": "draw",
        "watch": {"enabled": False},
        "pools": {"d": pool},
        "default": {"pool": "d"},
    }


class Processes:
    """The processes of one part, with their files in a directory."""

    def __init__(self, directory: str, cores: Cores) -> None:
        """Creates a part that has started nothing."""
        self._directory = Path(directory)
        self._cores = cores
        self._processes: list[asyncio.subprocess.Process] = []
        self.control = str(self._directory / "c.sock")  # the balancer's

    async def start_peer(self, role: str, *options: str, is_measured: bool = False) -> int:
        """Starts a server or a relay; returns its port."""
        port = free_port()
        cores = self._cores.measured if is_measured else self._cores.rest
        self._processes.append(await spawn(*THIS, role, "--port", str(port), *options, cores=cores))
        await wait_until_listening(port)
        return port

    async def start_balancer(
        self, port: int, servers: list[int], memory_mb: float
    ) -> asyncio.subprocess.Process:
        """Starts the balancer of these servers."""
        path = self._directory / "own.json"
        path.write_text(json.dumps(configuration(port, servers, memory_mb)))
        serve = ("-m", "sandhatch", "serve", str(path), "--control", self.control)
        process = await spawn(*serve, cores=self._cores.measured)
        self._processes.append(process)
        await wait_until_listening(port)
        return process

    async def start_clients(self, *options: str) -> asyncio.subprocess.Process:
        """Starts a process of clients, which prints a line for each exchange."""
        process = await spawn(
            *THIS, "caller", *options, cores=self._cores.rest, stdout=asyncio.subprocess.PIPE, stderr=None
        )
        self._processes.append(process)
        return process

    async def stop(self) -> None:
        """Ends all processes."""
        await stop_all(self._processes)


# ------------------------------------------------ many bodies at once


@dataclass(slots=True)
class Progress:
    """The exchanges that have ended so far."""

    bodies: int  # in all
    memory: MemoryWatch
    results: Counter[str] = field(default_factory=Counter)
    passed_bytes: int = 0

    async def collect(self, clients: asyncio.subprocess.Process) -> None:
        """Counts the lines of a process of clients, and prints each tenth of all."""
        assert clients.stdout is not None
        async for line in clients.stdout:
            result, _, passed = line.decode().rstrip().rpartition(" ")
            self.results[result] += 1
            self.passed_bytes += int(passed)
            ended = self.results.total()
            if ended % max(1, self.bodies // 10) == 0:
                resident_mib = self.memory.samples[-1].resident_mib
                results = dict(self.results)
                print(f"{ended} of {self.bodies}: {results}, {resident_mib:.1f} MiB resident", flush=True)


def client_options(args: argparse.Namespace, port: int) -> list[list[str]]:
    """The options of each process of clients, which share the bodies."""
    share = args.bodies // WORKERS
    options = []
    for worker in range(WORKERS):
        is_last = worker == WORKERS - 1
        count = args.bodies - share * (WORKERS - 1) if is_last else share
        values = {
            "--port": port,
            "--first": worker * share,
            "--count": count,
            "--at-once": max(1, args.at_once // WORKERS),
            "--mb": args.mb,
        }
        options.append([text for key, value in values.items() for text in (key, str(value))])
    return options


async def measure_many(args: argparse.Namespace, processes: Processes) -> str:
    """Passes many bodies at once; returns a line of figures."""
    servers = [await processes.start_peer("server") for _ in range(WORKERS)]
    port = free_port()
    balancer = await processes.start_balancer(port, servers, args.memory_mb)
    memory = MemoryWatch()
    watching = asyncio.create_task(memory.run(balancer.pid, processes.control))
    progress = Progress(args.bodies, memory)
    begin_s = perf_counter()
    clients = [await processes.start_clients(*options) for options in client_options(args, port)]
    await asyncio.gather(*(progress.collect(process) for process in clients))
    end_s = perf_counter()
    watching.cancel()
    print_account(read_status(processes.control))
    passed_bytes = progress.passed_bytes
    spent_s = end_s - begin_s
    return (
        f"{args.bodies} bodies of {args.mb} MiB, {passed_bytes / GIB:.1f} GiB in {spent_s:.0f} s"
        f" ({passed_bytes / MIB / spent_s:.0f} MiB/s), {args.at_once} at once: {dict(progress.results)};"
        f" after warm-up {memory.summary(begin_s, end_s)}"
    )


def print_account(status: Mapping[str, Any]) -> None:
    """Prints the speeds, and what the balancer's account says of the bodies."""
    speeds = ", ".join(
        f"{speed:g} MB/s {weight}" if speed else f"full {weight}" for speed, weight in SPEED_WEIGHTS.items()
    )
    account = status["bodies"]
    print(f"speeds drawn for each side, by weight: {speeds}")
    print(
        f"account: {account['opened']} flows, {account['most_open']} at once, one held at most"
        f" {account['peak_bytes']} of {BODY_CEILING_BYTES} bytes, over its ceiling {account['over']} times;"
        f" left open {account['open']}, memory still booked {status['memory']['held_bytes']}"
    )


# ------------------------------------------------ one large body against a relay


async def measure_large(args: argparse.Namespace, processes: Processes) -> str:
    """Passes one body at a time through relay and balancer in turn; returns a line with their ratio."""
    server = await processes.start_peer("drink")
    # One that is being measured must not meet the other's processes: they share the core, and take turns.
    ports = {RELAY: await processes.start_peer("relay", "--to", str(server), is_measured=True)}
    ports[BALANCER] = free_port()
    await processes.start_balancer(ports[BALANCER], [server], LARGE_MEMORY_MB)
    loop = asyncio.get_running_loop()
    spent_s: dict[str, list[float]] = {name: [] for name in ports}
    for turn in range(args.rounds):
        for name in in_turns(list(ports), turn):
            spent = await loop.run_in_executor(None, upload_once, ports[name], args.large_mb * MIB)
            spent_s[name].append(spent)
        row = "  ".join(f"{name} {args.large_mb / values[-1]:.0f} MiB/s" for name, values in spent_s.items())
        print(f"round {turn + 1}: {row}", flush=True)
    ratio = median_ratio(spent_s[RELAY], spent_s[BALANCER])
    return f"one body of {args.large_mb} MiB, of a bare relay's throughput on the same core: {ratio:.3f}"


# ------------------------------------------------ the command


async def run(args: argparse.Namespace) -> None:
    """Runs both parts, each unless it has no rounds or bodies."""
    cores = split_cores()
    lines = []
    for measure, count in ((measure_large, args.rounds), (measure_many, args.bodies)):
        if not count:
            continue
        with tempfile.TemporaryDirectory() as directory:
            processes = Processes(directory, cores)
            try:
                lines.append(await measure(args, processes))
            finally:
                await processes.stop()
    print("long_bodies: " + "; ".join(lines))


def parse_arguments() -> argparse.Namespace:
    """The command line's options; `--role` and those behind it are for the benchmark's own processes."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--bodies", type=int, default=1000)
    parser.add_argument("--mb", type=int, default=200)
    parser.add_argument("--at-once", type=int, default=300)
    parser.add_argument("--memory-mb", type=float, default=256.0)
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--large-mb", type=int, default=1024)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--role", choices=("server", "relay", "caller", "drink"))
    for name in ("port", "to", "first", "count"):
        parser.add_argument(f"--{name}", type=int, default=0)
    return parser.parse_args()


def main() -> None:
    """Runs the benchmark or, with `--role`, one of its processes."""
    args = parse_arguments()
    match args.role:
        case "caller":
            size = args.mb * MIB
            uvloop.run(run_clients(args.port, args.first, args.count, args.at_once, size, args.seed))
        case "drink":
            serve_uploads(args.port)
        case "server" | "relay":
            with suppress(KeyboardInterrupt):
                uvloop.run(listen(args.port, args.to))
        case _:
            asyncio.run(run(args))


if __name__ == "__main__":
    main()
