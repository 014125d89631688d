"""The balancer's requests a second against a bare relay on one core: same bytes, same callers, alternating
rounds.

    python -m benchmarks.through [--rounds N] [--seconds S] [--connections C]

Caller, relay or balancer, and server run as three processes; the one measured is bound to one core, the
others to the rest. The platform's program is measured, and the same through a configuration of its own.
Prints ratios.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import statistics
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from time import perf_counter

import uvloop

from benchmarks.checkouts import package_of
from testkit.platform import config_data
from testkit.ports import free_port
from testkit.servers import entry

ROOT = Path(__file__).parent.parent
BODY = b"x" * 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + BODY


class EchoServer(asyncio.Protocol):
    """Answers each request, which ends with an empty line, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.rest = b""

    def data_received(self, data: bytes) -> None:
        *whole, self.rest = (self.rest + data).split(b"\r\n\r\n")
        if whole:
            self.transport.write(ANSWER * len(whole))  # type: ignore[attr-defined]


class RelaySide(asyncio.Protocol):
    """Bytes to the other side, unread."""

    def __init__(self, other: RelaySide | None = None, port: int = 0) -> None:
        self.other, self.port = other, port
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.other is None:
            self.other = RelaySide(self)
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(loop.create_connection(lambda: self.other, "127.0.0.1", self.port))
        else:
            for data in self.other.early:
                transport.write(data)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        assert self.other is not None
        if self.other.transport is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.close()


async def listen(role: str, port: int, to: int) -> None:
    loop = asyncio.get_running_loop()
    make = EchoServer if role == "server" else lambda: RelaySide(port=to)
    server = await loop.create_server(make, "127.0.0.1", port)
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await stopping.wait()
    server.close()


async def spawn(
    *arguments: str, cores: set[int], env: dict[str, str] | None = None, cwd: str | Path = ROOT
) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *arguments,
        cwd=cwd,
        env=dict(os.environ) | (env or {}),
        stderr=asyncio.subprocess.DEVNULL,
        preexec_fn=lambda: os.sched_setaffinity(0, cores),
    )


async def up(port: int) -> None:
    for _ in range(500):
        with suppress(OSError):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.close()
            return
        await asyncio.sleep(0.02)
    raise RuntimeError(f"nothing listens at {port}")


async def ask_on(port: int, number: int, until: float) -> int:
    """Requests answered on one connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    count = 0
    while perf_counter() < until:
        trace = f"{number:x}-{count:x}-{until}"
        writer.write(f"GET /api HTTP/1.1\r\nHost: h\r\nX-Trace-Id: {trace}\r\nX-Qos: look\r\n\r\n".encode())
        status = await reader.readuntil(b"\r\n\r\n")
        if not status.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(status.decode())
        await reader.readexactly(len(BODY))
        count += 1
    writer.close()
    return count


async def rate(port: int, connections: int, seconds: float) -> float:
    until = perf_counter() + seconds
    counts = await asyncio.gather(*(ask_on(port, n, until) for n in range(connections)))
    return sum(counts) / seconds


def cpu_s(pid: int) -> float:
    """Processor time that a process has used, in seconds (proc(5))."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure(rounds: int, seconds: float, connections: int, directory: str, before: str) -> None:
    cores = sorted(os.sched_getaffinity(0))
    one, rest = {cores[-1]}, set(cores[:-1]) or {cores[-1]}
    os.sched_setaffinity(0, rest)
    servers = [free_port() for _ in range(8)]
    relay, platform, own = (free_port() for _ in range(3))
    entries = [entry(f"s{n}", port) for n, port in enumerate(servers)]
    data = config_data(entries, 1, listen=f"127.0.0.1:{platform}")
    data["limits"]["sockets"] = 1024
    config = Path(directory) / "config.json"
    config.write_text(json.dumps(data))
    listed = {f"s{n}": {"address": f"127.0.0.1:{port}"} for n, port in enumerate(servers)}
    model = {
        "format": 1,
        "listeners": {"front": {"address": f"127.0.0.1:{own}"}},
        "classes": {"look": {"effect": "safe", "aim_ms": 5000, "deadline_ms": 8000}},
        "pools": {"web": {"servers": listed}},
        "default": {"pool": "web"},
    }
    file = Path(directory) / "own.json"
    file.write_text(json.dumps(model))
    this = ("-m", "benchmarks.through")
    processes = [await spawn(*this, "--role", "server", "--port", str(port), cores=rest) for port in servers]
    relayed = ("--role", "relay", "--port", str(relay), "--to", str(servers[0]))
    measured = {"relay": await spawn(*this, *relayed, cores=one)}
    measured["platform"] = await spawn("-m", "sandhatch", cores=one, env={"GW_CONFIG": str(config)})
    if before:
        older = free_port()
        env = {"GW_CONFIG": str(config), "GW_LISTEN": f"127.0.0.1:{older}", "PYTHONPATH": before}
        measured["before"] = await spawn("-P", "-m", package_of(Path(before)), cores=one, env=env, cwd=before)
    control = str(Path(directory) / "c.sock")
    measured["own"] = await spawn("-m", "sandhatch", "serve", str(file), "--control", control, cores=one)
    processes += measured.values()
    try:
        for port in (*servers, relay, platform, own):
            await up(port)
        await asyncio.sleep(1.0)
        ports = {"relay": relay, "platform": platform, "own": own} | ({"before": older} if before else {})
        rates: dict[str, list[float]] = {name: [] for name in ports}
        costs: dict[str, list[float]] = {name: [] for name in ports}
        for turn in range(rounds):
            order = list(ports) if turn % 2 else list(ports)[::-1]  # guards against a drift of the machine
            for name in order:
                spent = cpu_s(measured[name].pid)
                rates[name].append(await rate(ports[name], connections, seconds))
                costs[name].append((cpu_s(measured[name].pid) - spent) / (rates[name][-1] * seconds) * 1e6)
            row = "  ".join(f"{name} {values[-1]:.0f}/s" for name, values in rates.items())
            print(f"round {turn + 1}: {row}", flush=True)
        ratios = {
            name: statistics.median(a / b for a, b in zip(rates[name], rates["relay"], strict=True))
            for name in ports
        }
        told = ", ".join(f"{name} {ratio:.3f}" for name, ratio in ratios.items() if name != "relay")
        cost = ", ".join(f"{name} {statistics.median(found):.0f}" for name, found in costs.items())
        print(f"processor time a request, in microseconds: {cost}")
        print(f"through: at {connections} connections, of a bare relay's requests a second: {told}")
    finally:
        for process in processes:
            with suppress(ProcessLookupError):
                process.terminate()
        for process in processes:
            await process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--connections", type=int, default=32)
    parser.add_argument(
        "--before", default="", metavar="DIR", help="another checkout, measured in the same run"
    )
    parser.add_argument("--role", choices=("server", "relay"))
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--to", type=int, default=0)
    args = parser.parse_args()
    if args.role:
        uvloop.run(listen(args.role, args.port, args.to))
        return
    with tempfile.TemporaryDirectory() as directory:
        asyncio.run(measure(args.rounds, args.seconds, args.connections, directory, args.before))


if __name__ == "__main__":
    main()
