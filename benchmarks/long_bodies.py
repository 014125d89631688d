"""Long bodies through the balancer: memory, ceilings, checksums, and throughput against a bare relay.

    python -m benchmarks.long_bodies [--bodies N] [--mb SIZE] [--at-once N] [--rounds N] [--large-mb SIZE]

First part: N bodies of SIZE MB, half up and half down, between callers and servers of mixed speeds that are
drawn from a seed. Callers and servers are processes of their own, the balancer is bound to one core. Its
resident memory is read twice a second from the system; what each request held is the balancer's own account,
in which each change is entered. Every answer is counted, every body's checksum compared.

Second part: one body of SIZE MB at a time through a bare uvloop relay and through the balancer on the same
core, in turn; the ratio of their throughputs.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import sys
import tempfile
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random
from time import perf_counter
from typing import Any

import uvloop

from benchmarks.through import RelaySide, spawn, up
from sandhatch.control.client import Client
from testkit.bodies import BLOCK, Body, Pattern, head, read_body
from testkit.ports import free_port
from testkit.streaming_server import BodyServer, Upload
from testkit.wire import read_head

MIB = 1024 * 1024
# Megabytes a second of either side, and how often each is drawn; 0: as fast as it goes.
SPEEDS = ((0.0, 4), (8.0, 2), (2.0, 2), (1.0, 1))
WORKERS = 3
SAMPLE_S = 0.5


def speed(rng: Random) -> float:
    return rng.choices([item[0] for item in SPEEDS], [item[1] for item in SPEEDS])[0]


class Throttle:
    """Keeps one side at its speed, by waiting after a piece."""

    def __init__(self, mb_per_s: float) -> None:
        self._rate = mb_per_s * MIB
        self._from = perf_counter()
        self._size = 0

    async def after(self, size: int) -> None:
        if not self._rate:
            return
        self._size += size
        ahead = self._size / self._rate - (perf_counter() - self._from)
        if ahead > 0.005:
            await asyncio.sleep(ahead)


# ------------------------------------------------ servers and callers, in processes of their own


async def serve(upload: Upload) -> None:
    throttle = Throttle(float(upload.headers["x-server-speed"]))
    if upload.method == "POST":
        before = 0

        async def pause(body: Body) -> None:
            nonlocal before
            size, before = body.size - before, body.size
            await throttle.after(size)

        body = await upload.body(pause=pause)
        text = f"{body.size} {body.crc}".encode()
        await upload.talk.send(head("HTTP/1.1 200 OK", Content_Length=str(len(text))) + text)
        return
    size, seed = int(upload.headers["x-size"]), int(upload.headers["x-seed"])
    await upload.talk.send(head("HTTP/1.1 200 OK", Content_Length=str(size)))
    for piece in Pattern(seed).pieces(size):
        await upload.talk.send(bytes(piece))
        await throttle.after(len(piece))


async def listen(port: int, relay_to: int) -> None:
    if relay_to:
        loop = asyncio.get_running_loop()
        await loop.create_server(lambda: RelaySide(port=relay_to), "127.0.0.1", port)
    else:
        server = BodyServer(serve)
        server._server = await asyncio.start_server(
            server._talk, "127.0.0.1", port, limit=BLOCK, backlog=1024
        )
    await asyncio.Event().wait()


async def one(port: int, number: int, size: int, seed: int) -> tuple[str, int]:
    """One exchange: how it went, and the bytes that passed."""
    rng = Random(seed * 1_000_003 + number)
    mine, theirs, up_ = Throttle(speed(rng)), speed(rng), number % 2 == 0
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=BLOCK)
    fields = {"Host": "h", "X-Trace-Id": f"{seed:x}-{number:x}", "X-Server-Speed": str(theirs)}
    pattern = Pattern(number)
    try:
        if up_:
            writer.write(head("POST /d HTTP/1.1", Content_Length=str(size), **fields))
            for piece in pattern.pieces(size):
                writer.write(bytes(piece))
                await writer.drain()
                await mine.after(len(piece))
        else:
            writer.write(head("GET /d HTTP/1.1", X_Size=str(size), X_Seed=str(number), **fields))
        came = await read_head(reader)
        if came is None:
            return "no answer", 0
        status = came[0].split()[1]
        if status != "200":
            return status, 0
        if up_:
            text = await reader.readexactly(int(came[1]["content-length"]))
            whole = text.decode() == f"{size} {pattern.crc(size)}"
        else:
            before = 0

            async def pause(body: Body) -> None:
                nonlocal before
                step, before = body.size - before, body.size
                await mine.after(step)

            body = await read_body(reader, came[1], pause=pause)
            whole = body.whole and (body.size, body.crc) == (size, pattern.crc(size))
        # A second answer, or bytes behind it, would come now.
        writer.write_eof()
        more = await asyncio.wait_for(reader.read(), 30.0)
        return ("answered" if whole and not more else "wrong bytes"), size
    except (ConnectionError, asyncio.IncompleteReadError, TimeoutError) as problem:
        return type(problem).__name__, 0
    finally:
        writer.close()


async def call(port: int, first: int, count: int, at_once: int, size: int, seed: int) -> None:
    """Prints one line for each exchange."""
    places = asyncio.Semaphore(at_once)

    async def placed(number: int) -> None:
        async with places:
            how, passed = await one(port, number, size, seed)
            print(how, passed, flush=True)

    await asyncio.gather(*(placed(number) for number in range(first, first + count)))


# ------------------------------------------------ the balancer's memory


@dataclass
class Memory:
    """Over time, in MiB: resident memory, and what the balancer's account says that bodies hold of it. The
    second is bounded by the room and goes up and down with the peers; a leak would show in the rest.
    """

    samples: list[tuple[float, float, float]]

    async def watch(self, pid: int, control: str) -> None:
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            status = await asyncio.get_running_loop().run_in_executor(None, status_of, control)
            held = status["memory"]["held_bytes"] / MIB
            fields = Path(f"/proc/{pid}/statm").read_text().split()
            self.samples.append((perf_counter(), int(fields[1]) * page / MIB, held))
            await asyncio.sleep(SAMPLE_S)

    def told(self, begin: float, end: float) -> str:
        """After warm-up (the first fifth) and while all is under way (before the last tenth): the spread, and
        the slope of a least-squares line, in MiB a minute.
        """
        span = end - begin
        kept = [row for row in self.samples if begin + 0.2 * span <= row[0] <= end - 0.1 * span]
        times = [row[0] for row in kept]
        told = []
        for name, sizes in (
            ("resident", [row[1] for row in kept]),
            ("held by bodies", [row[2] for row in kept]),
        ):
            slope = statistics.linear_regression(times, sizes).slope * 60.0 if len(kept) > 2 else 0.0
            least, most = min(sizes, default=0.0), max(sizes, default=0.0)
            told.append(f"{name} {least:.1f} to {most:.1f} MiB, slope {slope:+.2f} a minute")
        thirds = [kept[len(kept) * n // 3 : len(kept) * (n + 1) // 3] for n in range(3)]
        peaks = ", ".join(f"{max((row[1] for row in third), default=0.0):.1f}" for third in thirds)
        return f"{'; '.join(told)}; the most in each third {peaks} ({len(kept)} samples)"


def status_of(control: str) -> dict[str, Any]:
    with Client(control) as client:
        return client.call("status")


def configuration(front: int, servers: list[int], memory_mb: float) -> dict[str, Any]:
    listed = {f"s{n}": {"address": f"127.0.0.1:{port}"} for n, port in enumerate(servers)}
    # Both ends are processes that share seven cores: what they are slow at is not to be a fault of theirs.
    patient = {f"{side}_{what}": value for side in ("writer", "reader") for what, value in PATIENCE.items()}
    bodies = {"request": patient, "answer": patient, "room_wait_ms": 600_000}
    times = {"aim_ms": 3_000_000, "deadline_ms": 3_600_000}
    return {
        "format": 1,
        "limits": {"memory_mb": memory_mb, "sockets": 8192},
        "listeners": {"front": {"address": f"127.0.0.1:{front}", "half_close": True}},
        "classes": {"draw": {"effect": "unsafe", "bodies": bodies} | times},
        "default_class": "draw",
        "watch": {"enabled": False},
        "pools": {"d": {"servers": listed, "tier": 1, "max_connections": 4096, "connect_timeout_ms": 20_000}},
        "default": {"pool": "d"},
    }


PATIENCE = {"stall_ms": 120_000, "floor_bytes_per_s": 0}


async def many(args: argparse.Namespace, directory: str, one_core: set[int], rest: set[int]) -> str:
    servers = [free_port() for _ in range(WORKERS)]
    front = free_port()
    file, control = Path(directory) / "own.json", str(Path(directory) / "c.sock")
    file.write_text(json.dumps(configuration(front, servers, args.memory_mb)))
    this = ("-m", "benchmarks.long_bodies", "--role")
    processes = [await spawn(*this, "server", "--port", str(port), cores=rest) for port in servers]
    balancer = await spawn("-m", "sandhatch", "serve", str(file), "--control", control, cores=one_core)
    processes.append(balancer)
    try:
        for port in (*servers, front):
            await up(port)
        memory = Memory([])
        watching = asyncio.create_task(memory.watch(balancer.pid, control))
        begin = perf_counter()
        share = args.bodies // WORKERS
        clients = []
        for n in range(WORKERS):
            count = share if n < WORKERS - 1 else args.bodies - share * (WORKERS - 1)
            numbers = ["--first", str(n * share), "--count", str(count)]
            numbers += ["--at-once", str(max(1, args.at_once // WORKERS)), "--mb", str(args.mb)]
            clients.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    *this,
                    "caller",
                    "--port",
                    str(front),
                    *numbers,
                    stdout=asyncio.subprocess.PIPE,
                    preexec_fn=lambda: os.sched_setaffinity(0, rest),
                )
            )
        processes += clients
        counts: dict[str, int] = {}
        passed = 0

        async def collect(process: asyncio.subprocess.Process) -> None:
            nonlocal passed
            assert process.stdout is not None
            async for line in process.stdout:
                how, _, step = line.decode().rstrip().rpartition(" ")
                counts[how] = counts.get(how, 0) + 1
                passed += int(step)
                done = sum(counts.values())
                if done % max(1, args.bodies // 10) == 0:
                    size_now = memory.samples[-1][1]
                    print(f"{done} of {args.bodies}: {counts}, {size_now:.1f} MiB resident", flush=True)

        await asyncio.gather(*(collect(process) for process in clients))
        end = perf_counter()
        watching.cancel()
        status = status_of(control)
        account, told = status["bodies"], memory.told(begin, end)
        mix = ", ".join(f"{rate:g} MB/s {weight}" if rate else f"full {weight}" for rate, weight in SPEEDS)
        ceiling = 256 * 1024
        print(f"speeds drawn for each side, by weight: {mix}")
        print(
            f"account: {account['opened']} flows, {account['most_open']} at once, one held at most"
            f" {account['peak_bytes']} of {ceiling} bytes, over its ceiling {account['over']} times;"
            f" left open {account['open']}, memory still booked {status['memory']['held_bytes']}"
        )
        return (
            f"{args.bodies} bodies of {args.mb} MiB, {passed / 2**30:.1f} GiB in {end - begin:.0f} s"
            f" ({passed / MIB / (end - begin):.0f} MiB/s), {args.at_once} at once: {counts}; after warm-up"
            f" {told}"
        )
    finally:
        await stop(processes)


async def stop(processes: list[asyncio.subprocess.Process]) -> None:
    for process in processes:
        with suppress(ProcessLookupError):
            process.terminate()
    for process in processes:
        await process.wait()


# ------------------------------------------------ one large body against a relay


def push(port: int, size: int) -> float:
    """Seconds for a body to go up and be answered, by blocking sockets that do nothing else."""
    block = memoryview(bytes(MIB))
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        begin = perf_counter()
        trace = f"{port:x}-{begin}"
        sock.sendall(head("POST /d HTTP/1.1", Host="h", X_Trace_Id=trace, Content_Length=str(size)))
        left = size
        while left:
            left -= sock.send(block[: min(left, MIB)])
        answer = sock.recv(4096)
        spent = perf_counter() - begin
    if not answer.startswith(b"HTTP/1.1 200"):
        raise RuntimeError(answer.decode())
    return spent


def drink(port: int) -> None:
    """A server that reads bodies as fast as they come, one after the other."""
    buffer = memoryview(bytearray(MIB))
    listener = socket.create_server(("127.0.0.1", port))
    while True:
        sock, _ = listener.accept()
        with sock:
            data = b""
            while b"\r\n\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    break
                data += more
            if b"\r\n\r\n" not in data:
                continue
            top, _, rest = data.partition(b"\r\n\r\n")
            fields = dict(line.lower().split(b": ", 1) for line in top.split(b"\r\n")[1:])
            left = int(fields[b"content-length"]) - len(rest)
            while left > 0:
                left -= sock.recv_into(buffer, min(left, MIB))
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")


async def large(args: argparse.Namespace, directory: str, one_core: set[int], rest: set[int]) -> str:
    size = args.large_mb * MIB
    relay, front, server = free_port(), free_port(), free_port()
    loop = asyncio.get_running_loop()
    file, control = Path(directory) / "large.json", str(Path(directory) / "l.sock")
    file.write_text(json.dumps(configuration(front, [server], 64.0)))
    this = ("-m", "benchmarks.long_bodies", "--role")
    processes = [await spawn(*this, "drink", "--port", str(server), cores=rest)]
    await up(server)
    relayed = ("relay", "--port", str(relay), "--to", str(server))
    processes.append(await spawn(*this, *relayed, cores=one_core))
    # One that is being measured must not meet the other's processes: they share the core, and take turns.
    processes.append(await spawn("-m", "sandhatch", "serve", str(file), "--control", control, cores=one_core))
    try:
        await up(relay)
        await up(front)
        spent: dict[str, list[float]] = {"relay": [], "balancer": []}
        ports = {"relay": relay, "balancer": front}
        for turn in range(args.rounds):
            for name in list(ports) if turn % 2 else list(ports)[::-1]:
                spent[name].append(await loop.run_in_executor(None, push, ports[name], size))
            row = "  ".join(f"{k} {args.large_mb / v[-1]:.0f} MiB/s" for k, v in spent.items())
            print(f"round {turn + 1}: {row}", flush=True)
    finally:
        await stop(processes)
    ratio = statistics.median(a / b for a, b in zip(spent["relay"], spent["balancer"], strict=True))
    return f"one body of {args.large_mb} MiB, of a bare relay's throughput on the same core: {ratio:.3f}"


async def measure(args: argparse.Namespace) -> None:
    cores = sorted(os.sched_getaffinity(0))
    one_core, rest = {cores[-1]}, set(cores[:-1]) or {cores[-1]}
    os.sched_setaffinity(0, rest)
    lines = []
    with tempfile.TemporaryDirectory() as directory:
        if args.rounds:
            lines.append(await large(args, directory, one_core, rest))
        if args.bodies:
            lines.append(await many(args, directory, one_core, rest))
    print("long_bodies: " + "; ".join(lines))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
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
    args = parser.parse_args()
    if args.role == "caller":
        uvloop.run(call(args.port, args.first, args.count, args.at_once, args.mb * MIB, args.seed))
    elif args.role == "drink":
        drink(args.port)
    elif args.role:
        with suppress(KeyboardInterrupt):
            uvloop.run(listen(args.port, args.to))
    else:
        asyncio.run(measure(args))


if __name__ == "__main__":
    main()
