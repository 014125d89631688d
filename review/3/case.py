"""Case 3: whole answers without a length are thrown away, and the client of an order that ran gets 502.

Three servers run orders. With the disruption, each third order is answered with no length: the head has
neither Content-Length nor Transfer-Encoding, and an orderly end of the connection ends the body (RFC 9112,
section 6.3). No connection is reset.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

from lib.standins import (
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
ORDERS = 60
ONE_IN = 3  # with the disruption, each third order is answered with no length
WORK_S = 0.05
PAUSE_S = 0.05
LEAST_SHARE = 0.5  # STANDING: of the answers with no length that come whole, half at least are forwarded


def body_of(trace_id: str) -> bytes:
    """Return the body with which a server answers an order."""
    return f"order {trace_id} placed".encode()


class Tier:
    """Three servers that run orders.

    Attributes:
        ran: Ids of the orders that ran, in order.
        without_length: Ids of the orders that were answered whole and with no length.
    """

    def __init__(self, record: Record, trouble: bool) -> None:
        """Create servers that do not listen yet."""
        self.ran: list[str] = []
        self.without_length: list[str] = []
        self._record = record
        self._trouble = trouble
        self.servers = [Upstream(name, record, self._run) for name in ("s1", "s2", "s3")]

    async def _run(self, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        trace_id = request.trace_id
        self.ran.append(trace_id)
        await asyncio.sleep(WORK_S)
        if not self._trouble or int(trace_id, 16) % ONE_IN:
            writer.write(response_bytes(body_of(trace_id)))
            await writer.drain()
            return
        self._record.write("server", f"answers {trace_id} whole, with no length, and closes")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body_of(trace_id))
        await writer.drain()
        writer.close()
        await writer.wait_closed()
        self.without_length.append(trace_id)


async def case(record: Record, trouble: bool) -> list[str]:
    """Send orders one after another, and count the answers that reach the client."""
    tier = Tier(record, trouble)
    for server in tier.servers:
        await server.start()
    discovery = Discovery(record, [server.entry() for server in tier.servers])
    await discovery.start()
    balancer = Balancer(record, small_settings(), discovery)
    served: list[str] = []
    try:
        await balancer.start()
        async with Client(balancer.port, record) as client:
            for number in range(ORDERS):
                trace_id = f"{0x9B1F03AA00000000 + number:016x}"
                client.send(request_bytes(trace_id, "place-order", 5000, b"window 3x2"))
                with suppress(TimeoutError):
                    response = await client.read_response(6.0)
                    if response is None:
                        raise NotRunError("the balancer closed the client's connection")
                    if response.status == 200 and response.body == body_of(trace_id):
                        served.append(trace_id)
                await asyncio.sleep(PAUSE_S)
    finally:
        await balancer.stop()
    answered = len(tier.without_length)
    forwarded = len(set(tier.without_length) & set(served))
    record.write("case", f"{ORDERS} orders sent, {len(tier.ran)} run, {len(served)} served to the client")
    record.write("case", f"answers with no length that came whole: {answered}; forwarded: {forwarded}")
    if trouble and not answered:
        raise NotRunError("no server answered with no length")
    if forwarded < LEAST_SHARE * answered:
        return [
            f"{forwarded} of {answered} whole answers with no length were forwarded; at least half must be"
        ]
    if not trouble and len(served) < ORDERS:
        return [f"{len(served)} of {ORDERS} orders were served without any disruption"]
    return []


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
