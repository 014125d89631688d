"""What the link to planners costs a forwarder: requests a second and processor time with it and without, in
alternating rounds on one core; its traffic, and what it costs when nothing is asked.

    python -m benchmarks.planning_link [--rounds N] [--seconds S] [--connections C] [--planners P]

Callers, servers and planners are processes on the other cores. The forwarder that is not measured is stopped
meanwhile, so that neither pays for the other.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

from benchmarks.through import cpu_s, rate, spawn, up
from sandhatch.control.client import Client
from testkit.ports import free_port

SERVERS = 8
IDLE_S = 4.0


def forwarder_config(port: int, servers: list[int], planning: dict[str, Any] | None) -> dict[str, Any]:
    listed = {f"s{n}": {"address": f"127.0.0.1:{server}"} for n, server in enumerate(servers)}
    model: dict[str, Any] = {
        "format": 1,
        "listeners": {"front": {"address": f"127.0.0.1:{port}"}},
        "classes": {"look": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 8000}},
        "pools": {"web": {"servers": listed, "copies": 4, "tier": 1, "ramp_per_s": 1000}},
        "default": {"pool": "web"},
        "planning": planning or {"place": 0},
    }
    return model


def planner_config(name: str, port: int, key: Path) -> dict[str, Any]:
    return {"format": 1, "name": name, "listen": f"127.0.0.1:{port}", "shared_key_file": str(key)}


def bytes_in(control: Path) -> int:
    with Client(str(control)) as client:
        return int(client.call("status")["bytes_in"])


async def measure(args: argparse.Namespace, directory: Path) -> None:
    cores = sorted(os.sched_getaffinity(0))
    one, rest = {cores[-1]}, set(cores[:-1]) or {cores[-1]}
    os.sched_setaffinity(0, rest)
    key = directory / "key"
    key.touch(0o600)
    key.write_text("5a" * 32)
    servers = [free_port() for _ in range(SERVERS)]
    processes = [
        await spawn("-m", "benchmarks.through", "--role", "server", "--port", str(port), cores=rest)
        for port in servers
    ]
    planners = {}
    for number in range(args.planners):
        port = free_port()
        file = directory / f"p{number}.json"
        file.write_text(json.dumps(planner_config(f"p{number}", port, key)))
        control = directory / f"p{number}.sock"
        verb = ("-m", "sandhatch", "planner", "run", str(file), "--control", str(control))
        processes.append(await spawn(*verb, cores=rest))
        planners[f"p{number}"] = {"address": f"127.0.0.1:{port}"}
    linked = {"place": 0, "shared_key_file": str(key), "planners": planners}
    ports, measured = {}, {}
    for name, planning in (("alone", None), ("linked", linked)):
        ports[name] = free_port()
        file = directory / f"{name}.json"
        file.write_text(json.dumps(forwarder_config(ports[name], servers, planning)))
        verb = ("-m", "sandhatch", "serve", str(file), "--control", str(directory / f"{name}.sock"))
        measured[name] = await spawn(*verb, cores=one)
        processes.append(measured[name])
    try:
        for port in (*servers, *ports.values()):
            await up(port)
        await settled(directory / "linked.sock")
        await report(args, directory, ports, measured)
    finally:
        for process in processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in processes:
            await process.wait()


async def settled(control: Path) -> None:
    """Until its parts are lent."""
    async with asyncio.timeout(60.0):
        while True:
            with Client(str(control)) as client:
                if client.call("status")["planning"]["lends_to"] is not None:
                    return
            await asyncio.sleep(0.1)


async def report(
    args: argparse.Namespace,
    directory: Path,
    ports: dict[str, int],
    measured: dict[str, asyncio.subprocess.Process],
) -> None:
    rates: dict[str, list[float]] = {name: [] for name in ports}
    costs: dict[str, list[float]] = {name: [] for name in ports}
    traffic = []
    control = directory / "p0.sock"
    for turn in range(args.rounds):
        for name in list(ports) if turn % 2 else list(ports)[::-1]:
            for other, process in measured.items():
                process.send_signal(signal.SIGCONT if other == name else signal.SIGSTOP)
            await asyncio.sleep(1.0)
            spent, sent = cpu_s(measured[name].pid), bytes_in(control)
            rates[name].append(await rate(ports[name], args.connections, args.seconds))
            if name == "linked":
                traffic.append((bytes_in(control) - sent) / args.seconds)
            spent = cpu_s(measured[name].pid) - spent
            costs[name].append(spent / (rates[name][-1] * args.seconds) * 1e6)
        row = "  ".join(f"{name} {values[-1]:.0f}/s" for name, values in rates.items())
        print(f"round {turn + 1}: {row}", flush=True)
    idle = {}
    for name, process in measured.items():
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1.0)
        spent = cpu_s(process.pid)
        await asyncio.sleep(IDLE_S)
        idle[name] = (cpu_s(process.pid) - spent) / IDLE_S
    ratio = statistics.median(a / b for a, b in zip(rates["linked"], rates["alone"], strict=True))
    cost = ", ".join(f"{name} {statistics.median(found):.0f}" for name, found in costs.items())
    print(f"processor time a request, microseconds: {cost}")
    print(f"idle, of a core: alone {idle['alone']:.4f}, linked {idle['linked']:.4f}")
    print(
        f"link: {args.planners} planners, {ratio:.3f} of the requests a second without it;"
        f" {statistics.median(traffic):.0f} bytes a second to each planner under load"
    )


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--rounds", type=int, default=7)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument("--planners", type=int, default=2)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(measure(args, Path(directory)))


if __name__ == "__main__":
    main()
