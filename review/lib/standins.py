"""Stand-ins for clients, servers, discovery and the platform, and the start of the balancer as a process.

Standard library only. Sources: the platform's pages PROTOCOL, TERMS and DEPLOY. Every address is a loopback
address; every process that is started here is ended here.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "127.0.0.1"
READY_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 10.0
# Limits of one balancer, as in the reports from reykjavik-main ("memory MB ... of 80", "... of 384").
MEMORY_MB = 80
SOCKETS = 384
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


class NotRunError(Exception):
    """The case could not run, so that it shows nothing about the rule."""


class Record:
    """The file in which a case writes what was sent, answered and run, with the time since its start."""

    def __init__(self, path: Path) -> None:
        """Create an empty file at `path`."""
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._start

    def write(self, who: str, what: str) -> float:
        """Write one line; return its time."""
        now = self.now()
        self._file.write(f"{now:9.4f} {who:<12} {what}\n")
        self._file.flush()
        return now


@dataclass
class Request:
    """A request that a stand-in has received completely; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    arrived: float

    @property
    def trace_id(self) -> str:
        """Id of the request."""
        return self.headers.get("x-trace-id", "")


@dataclass
class Response:
    """A response that a client has received; `whole` is false if the connection ended before its end."""

    status: int
    headers: dict[str, str]
    body: bytes
    at: float
    whole: bool = True


def free_port() -> int:
    """Return a loopback port that no process listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


def response_bytes(body: bytes, status: int = 200, extra: str = "") -> bytes:
    """Encode a response with a Content-Length."""
    return f"HTTP/1.1 {status} X\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read a head; return its first line and its headers, or None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in fields}


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Upstream:
    """A server: reads each request completely, then runs its handler.

    Attributes:
        name: Name in the record and in discovery's list.
        port: Port that it listens on.
        requests: Requests that arrived completely.
        handler: What it does with a request; by default it answers 200 with the request's id.
    """

    def __init__(self, name: str, record: Record, handler: Handler | None = None) -> None:
        """Create a server that does not listen yet."""
        self.name = name
        self.port = 0
        self.requests: list[Request] = []
        self.handler = handler or self.serve
        self._record = record
        self._socket = socket.socket()
        self._accepting: asyncio.Task[None] | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, backlog: int = 100) -> None:
        """Listen on a free port.

        Args:
            backlog: Connections that the system holds while the server accepts none.
        """
        self._socket.setblocking(False)
        self._socket.bind((HOST, 0))
        self._socket.listen(backlog)
        self.port = int(self._socket.getsockname()[1])
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self._socket)
            reader, writer = await asyncio.open_connection(sock=accepted)
            task = asyncio.create_task(self._connected(reader, writer))
            self._connections.add(task)
            task.add_done_callback(self._connections.discard)

    async def come_up_late(self, for_s: float, waiting: int = 4) -> None:
        """Accept nothing for a while, with a full queue, so that new connections come up late.

        The system drops the first packet of a connection to a full queue, and the other side sends it again
        a second later. The queue is filled by `waiting` connections of this process, which send nothing.
        """
        assert self._accepting is not None
        self._accepting.cancel()
        await asyncio.wait([self._accepting])
        others = []
        for _ in range(waiting):
            other = socket.socket()
            other.setblocking(False)
            with suppress(BlockingIOError):
                other.connect((HOST, self.port))
            others.append(other)
        self._record.write(self.name, "accepts no connection, its queue is full")
        await asyncio.sleep(for_s)
        for other in others:
            other.close()
        self._accepting = asyncio.create_task(self._accept())
        self._record.write(self.name, "accepts connections again")

    async def serve(self, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer 200 with the request's id as the body."""
        writer.write(response_bytes(f"served {request.trace_id} by {self.name}".encode()))
        await writer.drain()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head[1].get("content-length", "0")))
                method, target, _ = head[0].split(" ")
                request = Request(method, target, head[1], body, self._record.now())
                self.requests.append(request)
                told = request.headers.get("x-expires-in-ms")
                self._record.write(self.name, f"got {method} {request.trace_id} X-Expires-In-Ms {told}")
                await self.handler(request, reader, writer)
                if writer.is_closing():
                    break
        writer.close()

    def entry(self, **more: Any) -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "hall-a",
            "machineType": "front-std",
            "cell": 0,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0,
        } | more


class Discovery:
    """Discovery: the whole list, and watches that wait for a change.

    Attributes:
        port: Port that it listens on.
        generation: Version of the list.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        """Create a service with this list that does not listen yet."""
        self.port = 0
        self.generation = 1
        self._record = record
        self._entries = {entry["instanceId"]: entry for entry in entries}
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._connected, HOST, 0)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        return {"generation": self.generation, "reset": True, "instances": list(self._entries.values())}

    def change(self, entry: dict[str, Any]) -> None:
        """Change one entry."""
        self.generation += 1
        self._entries[entry["instanceId"]] = entry
        self._changes.append((self.generation, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The last watch is cancelled at the end of the case.
        with suppress(ConnectionError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                target = head[0].split(" ")[1]
                answer = await self._answer(target)
                writer.write(response_bytes(json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
        if "after" not in query:
            return self.whole_list()
        after = int(query["after"])
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000.0):
                while self.generation <= after:
                    await self._changed.wait()
        changed = [entry for generation, entry in self._changes if generation > after]
        return {"generation": self.generation, "reset": False, "instances": changed}


class Balancer:
    """One balancer as the platform starts it: `run` of the deploy file, by `/bin/sh -c` from the root.

    Attributes:
        port: Port that clients connect to.
        process: The process, once started.
    """

    def __init__(self, record: Record, settings: dict[str, Any], discovery: Discovery) -> None:
        """Create a balancer that is not started."""
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._settings = settings
        self._discovery = discovery
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    async def start(self) -> None:
        """Start the process, and wait until `GET /ready` answers 200."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        folder = Path(self._folder.name)
        config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{self._discovery.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "known": self._discovery.whole_list(),
            "settings": self._settings,
        }
        path = folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        (folder / "tmp").mkdir()
        env = {key: value for key, value in os.environ.items() if not key.startswith(("GW_", "PYTHONPATH"))}
        env |= {
            "GW_CONFIG": str(path),
            "GW_NAME": "n1",
            "GW_LISTEN": config["listen"],
            "GW_DISCOVERY": config["discovery"],
            "TMPDIR": str(folder / "tmp"),
        }
        log = (folder / "log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", deploy["run"], cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self._record.write("platform", f"started `{deploy['run']}`")
        await self._wait_until_ready()
        self._record.write("platform", "GET /ready answered 200")

    async def _wait_until_ready(self) -> None:
        end = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end:
            if self.process is None or self.process.returncode is not None:
                raise NotRunError(f"the balancer ended at its start: {self.log()}")
            with suppress(OSError, TimeoutError):
                async with Client(self.port, self._record, quiet=True) as client:
                    client.send(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
                    response = await client.read_response(2.0)
                    if response is not None and response.status == 200:
                        return
            await asyncio.sleep(0.05)
        raise NotRunError("the balancer was not ready within 30 s")

    def signal(self, number: signal.Signals) -> float:
        """Send a signal to the process; return its time."""
        assert self.process is not None
        self.process.send_signal(number)
        return self._record.write("platform", f"sent {number.name}")

    def log(self) -> str:
        """Return what the process has written to its log."""
        return (Path(self._folder.name) / "log").read_text(encoding="utf-8", errors="replace")

    async def stop(self) -> None:
        """End the process if it still runs, and write its log to the record."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await asyncio.wait_for(self.process.wait(), EXIT_TIMEOUT_S)
        for line in self.log().splitlines():
            self._record.write("log", line)
        self._folder.cleanup()


class Client:
    """A client with one connection, open within its `async with` block."""

    def __init__(self, port: int, record: Record, quiet: bool = False) -> None:
        """Create a client that is not connected."""
        self._port = port
        self._record = record
        self._quiet = quiet

    async def __aenter__(self) -> Client:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(HOST, self._port)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close the connection."""
        self.writer.close()

    def send(self, data: bytes) -> None:
        """Write bytes unchanged."""
        self.writer.write(data)

    async def read_response(self, timeout_s: float) -> Response | None:
        """Read the next response; return None if the connection ends without one.

        Raises:
            TimeoutError: Nothing came within `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            head = await read_head(self.reader)
            if head is None:
                return None
            whole = True
            try:
                body = await self.reader.readexactly(int(head[1].get("content-length", "0")))
            except (asyncio.IncompleteReadError, ConnectionError):
                body, whole = b"", False
        response = Response(int(head[0].split()[1]), head[1], body, self._record.now(), whole)
        if not self._quiet:
            close = " Connection: close" if response.headers.get("connection") == "close" else ""
            self._record.write("client", f"read {response.status}{close} {body[:70]!r}")
        return response


def request_bytes(
    trace_id: str, class_name: str, expires_ms: int, body: bytes | None = None, extra: str = ""
) -> bytes:
    """Encode a request; one with a body is a POST."""
    head = (
        f"{'GET' if body is None else 'POST'} /api HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Trace-Id: {trace_id}\r\nX-Qos: {class_name}\r\nX-Customer: nordurgluggar\r\n"
        f"X-Expires-In-Ms: {expires_ms}\r\n{extra}"
    )
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


def small_settings() -> dict[str, Any]:
    """Return settings of a small deployment, with the figures of the site reykjavik-main.

    The rules' figures, limits and classes are those of the wire page's example and of the site's table of
    work; `PeersTotal` is 1 and there is one tier, because a case has one balancer.
    """
    common = {"Group": "all", "LateWorth": 0.0, "MemorySpanMs": 5000.0, "Streaming": False}
    return {
        "Categories": [
            {
                "Name": "view-config",
                "Effect": "read_like",
                "AimMs": 750.0,
                "HardLimitMs": 2000.0,
                "Worth": 1.0,
            }
            | common,
            {
                "Name": "save-quote",
                "Effect": "non_idempotent",
                "AimMs": 1500.0,
                "HardLimitMs": 4000.0,
                "Worth": 3.0,
            }
            | common,
            {
                "Name": "place-order",
                "Effect": "non_idempotent",
                "AimMs": 2000.0,
                "HardLimitMs": 5000.0,
                "Worth": 5.0,
            }
            | common,
        ],
        "Clients": {"MarksRetry": True},
        "Deductions": {"Connection": 0.0, "LateFail": 0.056, "Probe": 0.01, "Waste": 0.045},
        "Discovery": "on_request",
        "FamilyInfo": {"PassesDeadline": True},
        "Goal": {"Whole": 0.3, "WorstClass": 0.3, "WorstTenant": 0.1, "WorstWindow": 0.3},
        "Guarantees": {
            "AnswerSlackMs": 20.0,
            "AskWithinMs": 10000.0,
            "ColdMs": 24000.0,
            "ColdShare": 0.15,
            "DrainGraceMs": 2000.0,
            "FallMs": 2000.0,
            "FallMultiple": 2.5,
        },
        "MachineTypes": ["front-std"],
        "Me": 0,
        "MyZone": 0,
        "OverShareWorth": 0.2,
        "PeersTotal": 1,
        "PolicyLimits": {
            "ConnIdleMs": 30000.0,
            "ConnectTimeoutMs": 150.0,
            "MaxRetryAfterMs": 2000.0,
            "MayCancel": True,
            "MayProbe": True,
            "MostHeld": 29699,
            "Multiplex": 1,
            "Peers": False,
            "RetryAfter": True,
            "SecondCopies": True,
            "SendCap": 4,
        },
        "ServiceType": "chain",
        "Stats": {"Fields": [], "How": "off"},
        "Tenants": [
            {"Fraction": 0.58, "Name": "nordurgluggar", "QuotaPerS": 97.0},
            {"Fraction": 0.42, "Name": "hurdasmidjan", "QuotaPerS": 70.0},
        ],
        "TickMs": 5.0,
        "Tier": 0,
        "Tiers": ["web-front"],
        "Weights": "nominal",
        "WorthBy": "work",
        "Zones": ["hall-a"],
    }


def run_case(case: Callable[[Record, bool], Awaitable[list[str]]], folder: Path) -> int:
    """Run a case; return the exit code of its script.

    Args:
        case: The case; gets the record and whether the disruption takes place, returns the breaks it saw.
        folder: Folder of the case, where `record.txt` is written.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("case", f"disruption: {'yes' if trouble else 'no'}")

    async def limited() -> list[str]:
        # A script that is ended midway still ends what it started: the case is cancelled, and cleans up.
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110.0):
            return await case(record, trouble)

    try:
        breaks = asyncio.run(limited())
    except asyncio.CancelledError:
        record.write("case", "could not run: ended by a signal")
        return EXIT_NOT_RUN
    except Exception as problem:  # whatever it is, it shows nothing about the rule
        record.write("case", f"could not run: {problem!r}")
        return EXIT_NOT_RUN
    for line in breaks:
        record.write("BROKEN", line)
    record.write("case", "the rule was broken" if breaks else "the rule held")
    return EXIT_BROKEN if breaks else EXIT_HELD
