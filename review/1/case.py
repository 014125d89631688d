"""Case 1: bad clients that send little each bring the balancer over its memory limit, and it is killed.

Clients place orders. With the disruption, bad clients connect, send a request whose body comes in many small
chunks, stop before its end and stay. Each sends under 230 KB, of which under 64 KiB are body. As the platform
does, the stand-in for it kills the balancer once the balancer holds more than `memory_mb`.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import threading
from contextlib import suppress
from pathlib import Path

from lib.standins import (
    MEMORY_MB,
    Balancer,
    Client,
    Discovery,
    NotRunError,
    Record,
    Request,
    Upstream,
    request_bytes,
    response_bytes,
    run_case,
    small_settings,
)

FOLDER = Path(__file__).resolve().parent
GOOD_CLIENTS = 8
ORDERS_EACH = 20
WORK_S = 0.3
QUIET_S = 1.0  # traffic before the bad clients connect
BAD_CLIENTS = 60
CHUNK = b"2\r\nab\r\n"
CHUNKS = 32_500  # 65,000 bytes of body, below the 64 KiB that a body may have
BAD_PEER_LIMIT_S = 3.0  # TERMS: such a peer is owed an error or a close within 3 s of connecting
SAMPLE_S = 0.01


class Platform:
    """Watches the memory of the balancer's process, and kills it over its limit.

    Attributes:
        most_mb: Most memory seen.
        killed_at: Time of the kill; None if the balancer was not killed.
    """

    def __init__(self, record: Record, balancer: Balancer) -> None:
        """Create a watch that has not begun."""
        self.most_mb = 0.0
        self.killed_at: float | None = None
        self._record = record
        self._balancer = balancer
        self._ended = threading.Event()
        # A thread, so that nothing else in this process delays the samples.
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def begin(self) -> None:
        """Begin to watch."""
        self._record.write("platform", f"memory at the start {self._memory_mb():.1f} of {MEMORY_MB} MB")
        self._thread.start()

    def end(self) -> None:
        """Stop watching, if it has begun."""
        self._ended.set()
        if self._thread.is_alive():
            self._thread.join()

    def _memory_mb(self) -> float:
        """Return the private memory of the process (anonymous pages), the least of the usual measures."""
        assert self._balancer.process is not None
        status = Path(f"/proc/{self._balancer.process.pid}/status").read_text(encoding="ascii")
        return int(status.partition("RssAnon:")[2].split()[0]) / 1024.0

    def _watch(self) -> None:
        while not self._ended.wait(SAMPLE_S):
            with suppress(OSError, IndexError):
                memory_mb = self._memory_mb()
                self.most_mb = max(self.most_mb, memory_mb)
                if memory_mb > MEMORY_MB:
                    self._record.write("platform", f"memory {memory_mb:.1f} MB is over {MEMORY_MB} MB")
                    self.killed_at = self._balancer.signal(signal.SIGKILL)
                    return


class Orders:
    """Orders that clients place, one after another on each connection.

    Attributes:
        placed: Number of orders sent.
        served: Number of orders that were served.
        unanswered: Ids of the orders whose connection ended with no answer.
    """

    def __init__(self, record: Record, balancer: Balancer) -> None:
        """Create clients that are not connected."""
        self.placed = 0
        self.served = 0
        self.unanswered: list[str] = []
        self._record = record
        self._balancer = balancer

    async def place(self, number: int) -> None:
        """Place the orders of one client."""
        async with Client(self._balancer.port, self._record) as client:
            for order in range(ORDERS_EACH):
                trace_id = f"{0x9B1F03AA00000000 + 1000 * number + order:016x}"
                self.placed += 1
                client.send(request_bytes(trace_id, "place-order", 5000, b"window 3x2"))
                response = None
                with suppress(ConnectionError, TimeoutError):
                    response = await client.read_response(6.0)
                if response is None:
                    self._record.write("client", f"order {trace_id}: no answer")
                    self.unanswered.append(trace_id)
                    return
                self.served += response.status == 200


async def stop_midway(record: Record, balancer: Balancer, number: int) -> None:
    """Be one bad client: send the most of a request's body in small chunks, and stay until the end."""
    head = (
        "POST /api HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Trace-Id: {number + 1:016x}\r\nX-Qos: place-order\r\nX-Customer: nordurgluggar\r\n"
        "X-Expires-In-Ms: 5000\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    with suppress(OSError, TimeoutError):
        async with Client(balancer.port, record, quiet=True) as client:
            connected = record.now()
            client.send(head + CHUNK * CHUNKS)
            response = await client.read_response(BAD_PEER_LIMIT_S + 1.0)
            status = "a close" if response is None else str(response.status)
            record.write("bad client", f"{number} got {status} after {record.now() - connected:.2f} s")


async def case(record: Record, trouble: bool) -> list[str]:
    """Place orders, and watch the memory of the balancer."""

    async def run(request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(WORK_S)
        writer.write(response_bytes(f"order {request.trace_id} placed".encode()))
        await writer.drain()

    servers = [Upstream(name, record, run) for name in ("s1", "s2", "s3")]
    for server in servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.start()
    balancer = Balancer(record, small_settings(), discovery)
    platform = Platform(record, balancer)
    orders = Orders(record, balancer)
    try:
        await balancer.start()
        platform.begin()
        clients = [asyncio.create_task(orders.place(number)) for number in range(GOOD_CLIENTS)]
        await asyncio.sleep(QUIET_S)
        if trouble:
            sent = len(CHUNK) * CHUNKS
            record.write("bad client", f"{BAD_CLIENTS} connect and send {sent} bytes each, then stop")
            await asyncio.gather(*(stop_midway(record, balancer, number) for number in range(BAD_CLIENTS)))
        await asyncio.gather(*clients)
    finally:
        platform.end()
        await balancer.stop()
    record.write("case", f"{orders.placed} orders placed, {orders.served} served")
    record.write("case", f"most memory {platform.most_mb:.1f} MB, limit {MEMORY_MB} MB")
    if not orders.served:
        raise NotRunError("no order was served")
    if platform.killed_at is None:
        return []
    return [
        f"the balancer held {platform.most_mb:.1f} MB of {MEMORY_MB} MB and was killed: it has crashed",
        f"{len(orders.unanswered)} orders that it had accepted got no answer",
    ]


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
