"""Long bodies through the balancer: memory, per-body limits, checksums, and throughput against a bare relay.

    python -m benchmarks.long_bodies [--bodies N] [--mb SIZE] [--at-once N] [--rounds N] [--large-mb SIZE]

First part: one body of SIZE MB at a time passes alternately through a bare uvloop relay and through the
balancer on the same core; the ratio of their throughputs is printed.

Second part: N bodies of SIZE MB, half of them uploads and half downloads, pass between clients and servers
whose speeds are drawn from a seed. Clients and servers run in separate processes; the balancer is bound to
one core. The balancer's resident memory is read from the system twice a second; the memory reserved by each
request comes from the balancer's own accounting, which records every change. Every response is counted and
every body's checksum is verified.
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

from benchmarks.long_bodies_memory import MIB, MemorySampler, read_status
from benchmarks.long_bodies_peers import SPEED_WEIGHTS, listen, run_clients, serve_uploads, upload_once
from benchmarks.processes import Cores, spawn, split_cores, stop_all
from benchmarks.request_rate import alternate_order, median_ratio
from testkit.ports import free_port, wait_until_listening

GIB = 1024 * MIB
WORKERS = 3  # number of client processes, and of server processes
MAX_BODY_RESERVED_BYTES = 256 * 1024  # memory that one body may reserve
LARGE_BODY_MEMORY_MB = 64.0
RELAY = "relay"
BALANCER = "balancer"
MODULE_ARGUMENTS = ("-m", "benchmarks.long_bodies", "--role")
# Long limits: client and server processes share the unmeasured cores, so a peer that waits for a core must
# not be treated as stalled.
PROGRESS_LIMITS = {"stall_ms": 120_000, "floor_bytes_per_s": 0}


def balancer_config(port: int, servers: list[int], memory_mb: float) -> dict[str, Any]:
    """Returns the balancer's configuration, with time limits that no body reaches."""
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
    """Processes started for one of the two measurements; their files are in one directory."""

    def __init__(self, directory: str, cores: Cores) -> None:
        """Starts no process yet."""
        self._directory = Path(directory)
        self._cores = cores
        self._processes: list[asyncio.subprocess.Process] = []
        self.control = str(self._directory / "c.sock")  # path of the balancer's control socket

    async def start_peer(self, role: str, *options: str, is_measured: bool = False) -> int:
        """Starts a server or a relay, waits until it listens, and returns its port."""
        port = free_port()
        cores = self._cores.measured if is_measured else self._cores.rest
        self._processes.append(
            await spawn(*MODULE_ARGUMENTS, role, "--port", str(port), *options, cores=cores)
        )
        await wait_until_listening(port)
        return port

    async def start_balancer(
        self, port: int, servers: list[int], memory_mb: float
    ) -> asyncio.subprocess.Process:
        """Starts the balancer in front of these servers and waits until it listens."""
        path = self._directory / "own.json"
        path.write_text(json.dumps(balancer_config(port, servers, memory_mb)))
        serve = ("-m", "sandhatch", "serve", str(path), "--control", self.control)
        process = await spawn(*serve, cores=self._cores.measured)
        self._processes.append(process)
        await wait_until_listening(port)
        return process

    async def start_clients(self, *options: str) -> asyncio.subprocess.Process:
        """Starts a client process, which prints a line for each exchange."""
        process = await spawn(
            *MODULE_ARGUMENTS,
            "client",
            *options,
            cores=self._cores.rest,
            stdout=asyncio.subprocess.PIPE,
            stderr=None,
        )
        self._processes.append(process)
        return process

    async def stop(self) -> None:
        """Terminates all processes and waits for them."""
        await stop_all(self._processes)


# ------------------------------------------------ many bodies at once


@dataclass(slots=True)
class Progress:
    """Results of the exchanges that have ended so far."""

    bodies: int  # number of exchanges in the whole run, each of which transfers one body
    memory: MemorySampler
    results: Counter[str] = field(default_factory=Counter)
    transferred_bytes: int = 0

    async def collect(self, clients: asyncio.subprocess.Process) -> None:
        """Counts the results a client process prints; prints progress after each tenth of all bodies."""
        assert clients.stdout is not None
        async for line in clients.stdout:
            result, _, transferred = line.decode().rstrip().rpartition(" ")
            self.results[result] += 1
            self.transferred_bytes += int(transferred)
            ended = self.results.total()
            if ended % max(1, self.bodies // 10) == 0:
                resident_mib = self.memory.samples[-1].resident_mib
                results = dict(self.results)
                print(f"{ended} of {self.bodies}: {results}, {resident_mib:.1f} MiB resident", flush=True)


def client_options(args: argparse.Namespace, port: int) -> list[list[str]]:
    """Returns the options of each client process; the bodies are divided among the processes."""
    bodies_per_worker = args.bodies // WORKERS
    options = []
    for worker in range(WORKERS):
        is_last = worker == WORKERS - 1
        count = args.bodies - bodies_per_worker * (WORKERS - 1) if is_last else bodies_per_worker
        values = {
            "--port": port,
            "--first": worker * bodies_per_worker,
            "--count": count,
            "--at-once": max(1, args.at_once // WORKERS),
            "--mb": args.mb,
        }
        options.append([text for key, value in values.items() for text in (key, str(value))])
    return options


async def measure_many(args: argparse.Namespace, processes: Processes) -> str:
    """Sends many bodies concurrently; returns the line of figures to print."""
    servers = [await processes.start_peer("server") for _ in range(WORKERS)]
    port = free_port()
    balancer = await processes.start_balancer(port, servers, args.memory_mb)
    memory = MemorySampler()
    sampling = asyncio.create_task(memory.run(balancer.pid, processes.control))
    progress = Progress(args.bodies, memory)
    begin_s = perf_counter()
    clients = [await processes.start_clients(*options) for options in client_options(args, port)]
    await asyncio.gather(*(progress.collect(process) for process in clients))
    end_s = perf_counter()
    sampling.cancel()
    print_accounting(read_status(processes.control))
    transferred_bytes = progress.transferred_bytes
    elapsed_s = end_s - begin_s
    return (
        f"{args.bodies} bodies of {args.mb} MiB, {transferred_bytes / GIB:.1f} GiB in {elapsed_s:.0f} s"
        f" ({transferred_bytes / MIB / elapsed_s:.0f} MiB/s), {args.at_once} in flight:"
        f" {dict(progress.results)}; after warm-up {memory.summary(begin_s, end_s)}"
    )


def print_accounting(status: Mapping[str, Any]) -> None:
    """Prints the distribution of the peers' speeds, and the balancer's accounting of the bodies' memory."""
    speeds = ", ".join(
        f"{speed:g} MB/s {weight}" if speed else f"full {weight}" for speed, weight in SPEED_WEIGHTS.items()
    )
    accounting = status["bodies"]
    print(f"speeds drawn for each side, by weight: {speeds}")
    print(
        f"accounting: {accounting['opened']} bodies, at most {accounting['most_open']} open, peak of one body"
        f" {accounting['peak_bytes']} of {MAX_BODY_RESERVED_BYTES} bytes, over its limit"
        f" {accounting['over']} times; still open {accounting['open']},"
        f" still reserved {status['memory']['held_bytes']} bytes"
    )


# ------------------------------------------------ one large body against a relay


async def measure_large(args: argparse.Namespace, processes: Processes) -> str:
    """Sends one body at a time by relay and balancer in turn; returns a line with the throughput ratio."""
    server = await processes.start_peer("sink")
    # Relay and balancer share the measured core, so only one of them passes a body at a time.
    ports = {RELAY: await processes.start_peer("relay", "--to", str(server), is_measured=True)}
    ports[BALANCER] = free_port()
    await processes.start_balancer(ports[BALANCER], [server], LARGE_BODY_MEMORY_MB)
    loop = asyncio.get_running_loop()
    elapsed_s: dict[str, list[float]] = {name: [] for name in ports}
    for turn in range(args.rounds):
        for name in alternate_order(list(ports), turn):
            elapsed = await loop.run_in_executor(None, upload_once, ports[name], args.large_mb * MIB)
            elapsed_s[name].append(elapsed)
        row = "  ".join(
            f"{name} {args.large_mb / values[-1]:.0f} MiB/s" for name, values in elapsed_s.items()
        )
        print(f"round {turn + 1}: {row}", flush=True)
    ratio = median_ratio(elapsed_s[RELAY], elapsed_s[BALANCER])
    return f"one body of {args.large_mb} MiB: {ratio:.3f} of a bare relay's throughput on the same core"


# ------------------------------------------------ the command


async def run(args: argparse.Namespace) -> None:
    """Compares balancer and relay unless --rounds is 0, sends many bodies at once unless --bodies is 0."""
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
    """Parses the command line; `--role` and the options after it are for the benchmark's own processes."""
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
    parser.add_argument("--role", choices=("server", "relay", "client", "sink"))
    for name in ("port", "to", "first", "count"):
        parser.add_argument(f"--{name}", type=int, default=0)
    return parser.parse_args()


def main() -> None:
    """Runs the benchmark or, with `--role`, one of its processes."""
    args = parse_arguments()
    match args.role:
        case "client":
            size = args.mb * MIB
            uvloop.run(run_clients(args.port, args.first, args.count, args.at_once, size, args.seed))
        case "sink":
            serve_uploads(args.port)
        case "server" | "relay":
            with suppress(KeyboardInterrupt):
                uvloop.run(listen(args.port, args.to))
        case _:
            asyncio.run(run(args))


if __name__ == "__main__":
    main()
