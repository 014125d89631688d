"""Stand-ins for the cases of the second review: discovery, servers, clients and the platform, on loopback.

They use the standard library alone and follow the pages PROTOCOL, TERMS and DEPLOY. Where a page is silent,
each behaves like a sound server, client or platform. A case builds its course of events from them and judges
only what these parties see.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import traceback
import uuid
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit codes of a case
CASE_LIMIT_S = 110.0  # a case ends by itself before its 120 seconds are over
START_LIMIT_S = 30.0  # a balancer has to be ready within this time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0: the close resets the connection

now = time.monotonic


class NotRunError(Exception):
    """The case could not run: what it needs to judge the rule did not happen."""


class Record:
    """The lines of `record.txt`: what was sent, answered and run, each with its time in seconds."""

    def __init__(self, path: Path) -> None:
        """Start an empty record that `write` stores at `path`."""
        self._path = path
        self._started = now()
        self._lines: list[str] = []

    def __call__(self, text: str) -> None:
        """Add a line."""
        self._lines.append(f"{now() - self._started:8.3f} {text}")

    def write(self) -> None:
        """Store the lines."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass
class HttpMessage:
    """A message that was read: its first line, header fields, body, and the times of its ends."""

    first_line: str
    headers: dict[str, str]
    body: bytes
    began: float
    ended: float

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage | None:
    """Read a message with a known length, or none; None at the end of the stream."""
    first_byte = await reader.read(1)
    if not first_byte:
        return None
    began = now()
    head = first_byte + await reader.readuntil(b"\r\n\r\n")
    first_line, *rows = head.decode("latin-1").split("\r\n")
    headers = {}
    for row in filter(None, rows):
        name, _, value = row.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpMessage(first_line, headers, body, began, now())


def response(status: int, body: bytes = b"", *rows: str) -> bytes:
    """Encode a response with a length and further header rows."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *rows]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Connection:
    """A connection that a stand-in has accepted."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams."""
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Write bytes."""
        self.writer.write(data)
        await self.writer.drain()

    def reset(self) -> None:
        """Close with a reset, as a dying process does."""
        with suppress(OSError):
            raw = self.writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


class Listening:
    """A stand-in that listens at a free loopback port."""

    def __init__(self) -> None:
        """Create a stand-in that does not listen yet."""
        self.port = 0
        self.connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen; on the same port as before if it listened already."""
        self._server = await asyncio.start_server(self._accepted, HOST, self.port, backlog=512)
        self.port = int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Stop listening, and reset the open connections: the process has ended."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.reset()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (message := await read_message(reader)) is not None:
                await self.serve(message, connection)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def serve(self, message: HttpMessage, connection: Connection) -> None:
        """Serve one request."""
        raise NotImplementedError


@dataclass
class Attempt:
    """A request that arrived whole at a server."""

    server: str
    trace: str
    message: HttpMessage
    outcome: str = "open"


Behaviour = Callable[[Attempt, Connection], Awaitable[None]]


class Server(Listening):
    """An upstream; `behave` answers each request that has arrived whole."""

    def __init__(self, name: str, record: Record, behave: Behaviour) -> None:
        """Create a server with the id `name` in discovery's list."""
        super().__init__()
        self.name = name
        self.attempts: list[Attempt] = []
        self._record = record
        self._behave = behave

    async def serve(self, message: HttpMessage, connection: Connection) -> None:
        """Note the request, and answer it."""
        attempt = Attempt(self.name, message.headers.get("x-trace-id", ""), message)
        self.attempts.append(attempt)
        self._record(
            f"{self.name} runs {attempt.trace or 'a request with no id'}: {message.first_line}, "
            f"{message.headers.get('x-qos')}"
        )
        try:
            await self._behave(attempt, connection)
            attempt.outcome = "answered"
        except (ConnectionError, OSError):
            attempt.outcome = "cut off"

    def entry(self, lifecycle: str = "active") -> dict[str, Any]:
        """Return the server's entry in discovery's list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{HOST}:{self.port}",
            "zone": "hall",
            "machineType": "std",
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }


class Discovery(Listening):
    """Discovery by the page PROTOCOL: complete lists, and watches that wait for changes.

    Attributes:
        version: Version of the list.
        refusals: How many of the next calls fail with 503.
        list_refusals: How many of the next calls for the complete list fail with 503.
        told: When each answer was written, with the version that it told.
    """

    def __init__(self, entries: list[dict[str, Any]], record: Record, name: str = "discovery") -> None:
        """Create a discovery that lists these entries; `name` stands in the record."""
        super().__init__()
        self.version = 41
        self.refusals = 0
        self.list_refusals = 0
        self.told: list[tuple[float, int]] = []
        self._entries = {entry["instanceId"]: entry for entry in entries}
        self._changed_in = dict.fromkeys(self._entries, self.version)
        self._changed = asyncio.Event()
        self._silent: set[Connection] = set()
        self._name = name
        self._record = record

    def fall_silent(self) -> None:
        """Let the open watches fall silent: their connections stay open, and nothing comes on them."""
        self._silent |= self.connections

    def change(self, entry: dict[str, Any]) -> None:
        """Change an entry: a new version, which answers the watches."""
        self.version += 1
        self._entries[entry["instanceId"]] = entry
        self._changed_in[entry["instanceId"]] = self.version
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, message: HttpMessage, connection: Connection) -> None:
        """Answer one call."""
        target = message.first_line.split(" ")[1]
        fails = self.refusals > 0 and connection not in self._silent
        if self.list_refusals and "after=" not in target:
            fails = True
            self.list_refusals -= 1
        if fails:
            self.refusals = max(0, self.refusals - 1)
            self._record(f"{self._name}: {target} fails with 503")
            await connection.send(response(503))
            return
        version, body = await self._answer(target)
        if connection in self._silent:
            await asyncio.Event().wait()
        await connection.send(response(200, body))
        if not self.told or self.told[-1][1] != version:
            self._record(f"{self._name}: version {version} is told")
        self.told.append((now(), version))

    async def _answer(self, target: str) -> tuple[int, bytes]:
        path, _, query = target.partition("?")
        arguments = dict(pair.split("=") for pair in query.split("&")) if query else {}
        if path != "/v1/endpoints" or "after" not in arguments:
            listed = [entry for entry in self._entries.values() if entry["lifecycle"] != "left"]
            return self.version, self._encode(listed, whole=True)
        after = int(arguments["after"])
        with suppress(TimeoutError):
            async with asyncio.timeout(int(arguments.get("wait_ms", "0")) / 1000.0):
                while self.version <= after:
                    await self._changed.wait()
        changed = [entry for name, entry in self._entries.items() if self._changed_in[name] > after]
        return self.version, self._encode(changed, whole=False)

    def _encode(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        return json.dumps({"generation": self.version, "reset": whole, "instances": entries}).encode()


def free_port() -> int:
    """Return a loopback port that nobody listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Balancer:
    """One instance, started with the deploy file's command in a temporary folder of its own."""

    def __init__(
        self,
        name: str,
        record: Record,
        discovery: int,
        known: list[dict[str, Any]],
        settings: dict[str, Any],
        limits: dict[str, Any],
    ) -> None:
        """Write the configuration; `discovery` is the port of discovery."""
        self.name = name
        self.port = free_port()
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._config = self._folder / "config.json"
        self._data = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery}",
            "seed": uuid.uuid4().hex[:16],
            "limits": limits,
            "known": {"generation": 41, "reset": True, "instances": known},
            "settings": settings,
        }
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the program, and wait until `/ready` answers 200."""
        self._config.write_text(json.dumps(self._data))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = {key: value for key, value in os.environ.items() if not key.startswith("GW_")}
        environment |= {
            "GW_NAME": self.name,
            "GW_LISTEN": str(self._data["listen"]),
            "GW_DISCOVERY": str(self._data["discovery"]),
            "GW_CONFIG": str(self._config),
            "TMPDIR": str(self._folder),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await wait_until_ready(self.port)
        self._record(f"{self.name} is ready")

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, None while the process runs."""
        return None if self._process is None else self._process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self._process is not None
        self._record(f"{self.name} gets {number.name}")
        self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs, and remove its folder."""
        await _end_process(self._process)
        shutil.rmtree(self._folder, ignore_errors=True)


class Service:
    """`sandhatch serve` with a control socket and a state directory in a temporary folder of its own."""

    COMMAND: Sequence[str] = (str(ROOT / ".venv-own" / "bin" / "python"), "-m", "sandhatch")

    def __init__(self, record: Record) -> None:
        """Create the folder; `start` starts the process."""
        self.port = free_port()
        self._record = record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._process: asyncio.subprocess.Process | None = None

    def write(self, name: str, configuration: str) -> str:
        """Write a configuration; return the path of its file."""
        path = self._folder / name
        path.write_text(configuration)
        return str(path)

    async def start(self, file: str) -> None:
        """Start the service, and wait until `/ready` answers 200."""
        self._process = await asyncio.create_subprocess_exec(
            *self.COMMAND,
            "serve",
            file,
            *self._control,
            "--state",
            str(self._folder / "state"),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await wait_until_ready(self.port)
        self._record("the service is ready")

    @property
    def _control(self) -> tuple[str, str]:
        return "--control", str(self._folder / "control")

    async def call(self, verb: str, *arguments: str) -> str:
        """Run a verb of the command line against the service; return what it prints.

        Raises:
            NotRunError: The verb failed.
        """
        process = await asyncio.create_subprocess_exec(
            *self.COMMAND,
            verb,
            *arguments,
            *self._control,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        output, _ = await process.communicate()
        text = output.decode().strip()
        self._record(f"sandhatch {verb}: exit code {process.returncode}: {text}")
        if process.returncode != 0:
            raise NotRunError(f"sandhatch {verb} failed")
        return text

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self._process is not None
        self._record(f"the service gets {number.name}")
        self._process.send_signal(number)

    async def wait_until_ended(self) -> int:
        """Wait until the process has ended by itself; return its exit code."""
        assert self._process is not None
        code = await self._process.wait()
        self._record(f"the service has ended with exit code {code}")
        return code

    async def end(self) -> None:
        """Kill the process if it runs, and remove its folder."""
        await _end_process(self._process)
        shutil.rmtree(self._folder, ignore_errors=True)


async def _end_process(process: asyncio.subprocess.Process | None) -> None:
    if process is not None and process.returncode is None:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def wait_until_ready(port: int) -> None:
    """Wait until `/ready` answers 200.

    Raises:
        TimeoutError: It did not within the time that the pages allow.
    """
    async with asyncio.timeout(START_LIMIT_S):
        while await ready_status(port) != 200:  # noqa: ASYNC110 - another process becomes ready
            await asyncio.sleep(0.05)


async def ready_status(port: int) -> int:
    """Return the status of the answer to `/ready`, 0 without an answer."""
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n")
        message = await read_message(reader)
        writer.close()
        return message.status if message is not None else 0
    return 0


async def end_all(programs: Sequence[Balancer | Service], others: Sequence[Listening]) -> None:
    """End the project's programs that were started, and the stand-ins."""
    await asyncio.gather(*(program.end() for program in programs))
    for other in others:
        other.stop()


@dataclass
class Request:
    """A request of a client, and what became of it.

    Attributes:
        trace: Its id, new for each request.
        request_class: Its class.
        expires_ms: The time that the client waits.
        sent: When its last byte was written.
        status: Status of the answer, 0 for none.
        answered: When the answer's last byte came.
        note: Why there is no answer.
    """

    trace: str
    request_class: str
    expires_ms: int
    body: bytes = b""
    sent: float = 0.0
    status: int = 0
    answered: float = 0.0
    answer: bytes = b""
    note: str = ""
    headers: dict[str, str] = field(default_factory=dict)

    def encode(self, method: str, tenant: str) -> bytes:
        """Encode the request in the form of the page PROTOCOL."""
        rows = [
            f"{method} /api HTTP/1.1",
            "Host: api.internal",
            f"X-Trace-Id: {self.trace}",
            f"X-Qos: {self.request_class}",
            f"X-Customer: {tenant}",
            f"X-Expires-In-Ms: {self.expires_ms}",
        ]
        if method == "POST":
            rows.append(f"Content-Length: {len(self.body)}")
        return "\r\n".join(rows).encode() + b"\r\n\r\n" + self.body


def new_trace(prefix: str = "") -> str:
    """Return a new id."""
    return prefix + uuid.uuid4().hex[:16]


class Client:
    """A client that sends one request at a time, and keeps its connection while it may."""

    ANSWER_SLACK_S = 0.55  # an answer later than this after the request's time has been lost

    def __init__(self, port: int, tenant: str, record: Record) -> None:
        """Create a client of the balancer at `port`."""
        self._port = port
        self._tenant = tenant
        self._record = record
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def ask(self, request: Request, method: str) -> Request:
        """Send a request and wait for its answer.

        If the connection ends with no byte of an answer and had been used before, the end may have crossed
        the request: it is sent once more, on a new connection.
        """
        reused = self._streams is not None
        await self._send_and_wait(request, method)
        if request.note == "closed" and reused:
            request.note = ""
            await self._send_and_wait(request, method)
        self._record(
            f"client: {request.trace} {request.request_class} "
            + (f"answered {request.status}" if request.status else f"not answered: {request.note}")
        )
        return request

    async def _send_and_wait(self, request: Request, method: str) -> None:
        try:
            if self._streams is None:
                self._streams = await asyncio.open_connection(HOST, self._port)
            reader, writer = self._streams
            writer.write(request.encode(method, self._tenant))
            await writer.drain()
            request.sent = now()
            async with asyncio.timeout(request.expires_ms / 1000.0 + self.ANSWER_SLACK_S):
                message = await read_message(reader)
        except TimeoutError:
            request.note = "no answer in time"
            self.close()
        except asyncio.IncompleteReadError:
            request.note = "an answer that is not whole"
            self.close()
        except OSError:
            request.note = "closed"
            self.close()
        else:
            if message is None:
                request.note = "closed"
                self.close()
                return
            request.status = message.status
            request.answer = message.body
            request.answered = message.ended
            request.headers = message.headers
            if message.headers.get("connection", "").lower() == "close":
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def run_case(folder: Path, case: Callable[[Record, bool], Coroutine[Any, Any, list[str]]]) -> int:
    """Run a case, write its record, and return the exit code.

    Args:
        folder: The case's folder.
        case: Given the record and whether there is to be a disruption, returns the breaks of the rule.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble)}")

    async def limited() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGHUP):  # a case that is ended midway ends what it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(CASE_LIMIT_S):
            return await case(record, trouble)

    try:
        breaks = asyncio.run(limited())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as problem:  # the rule can't be judged
        record(f"not run: {type(problem).__name__}: {problem}")
        frame = traceback.extract_tb(problem.__traceback__)[-1]
        print(f"not run: {type(problem).__name__}: {problem} (line {frame.lineno})", file=sys.stderr)
        return NOT_RUN
    else:
        for text in breaks:
            record(f"BROKEN: {text}")
        record(f"{len(breaks)} breaks of the rule")
        print(f"{len(breaks)} breaks of the rule" + "".join(f"\n  {text}" for text in breaks[:5]))
        return BROKEN if breaks else HELD
    finally:
        record.write()
