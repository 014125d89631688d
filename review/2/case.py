"""Case 2: a keyed order is sent again after its window, on a connection that came up late.

Two servers share what they know of keys (group `all`) and forget a key when its window is over. The first
server that gets the order runs it and answers 500 after 0.7 s, inside the window of 1 s. With the disruption,
the connection to the other server comes up about a second late.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path
from typing import Any

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
WINDOW_MS = 1000.0
CONNECT_TIMEOUT_MS = 1500.0
WORK_S = 0.7
LATE_S = 0.5  # how long the other server accepts nothing, from the 500 on
SOCKET_SLACK_S = 0.05  # PROTOCOL: every time limit is 50 ms longer
HOLD_UP_S = 0.15  # STANDING: a balancer may be held up for so long between its clock and its write
ORDER = "9b1f03aa5c7e2d41"
KEY = "5c0f6e1a2b3d4c59"


def settings() -> dict[str, Any]:
    """Return the settings: `place-order` has a key and a short window, connections may come up late."""
    result = small_settings()
    place_order = result["Categories"][2]
    place_order |= {"Effect": "idempotency_key", "Group": "all", "MemorySpanMs": WINDOW_MS}
    result["PolicyLimits"]["ConnectTimeoutMs"] = CONNECT_TIMEOUT_MS
    return result


class Tier:
    """Two servers that share the keys which they have seen.

    Attributes:
        sent: For each attempt of the order, the time at which its last byte arrived.
        runs: Number of times that the order was run.
        answered_500: Time of the first server's answer.
    """

    def __init__(self, record: Record, trouble: bool) -> None:
        """Create servers that do not listen yet."""
        self.sent: list[float] = []
        self.runs = 0
        self.answered_500: float | None = None
        self._record = record
        self._trouble = trouble
        self._known_since: float | None = None
        self._late: asyncio.Task[None] | None = None
        self.servers = [Upstream(name, record, self._handler(name)) for name in ("s1", "s2")]

    def _handler(self, name: str) -> Any:
        async def handle(request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            assert request.headers["idempotency-key"] == KEY
            self.sent.append(request.arrived)
            first = len(self.sent) == 1
            if self._known_since is not None and request.arrived - self._known_since <= WINDOW_MS / 1000.0:
                self._record.write(name, f"knows key {KEY}: does not run the order again")
            else:
                self._known_since = request.arrived
                self.runs += 1
                self._record.write(name, f"RUNS the order of key {KEY}, run {self.runs}")
            if first:
                await asyncio.sleep(WORK_S)
                await self._answer_with_error(name, writer)
            else:
                writer.write(response_bytes(b"order placed"))
                await writer.drain()

        return handle

    async def _answer_with_error(self, name: str, writer: asyncio.StreamWriter) -> None:
        if self._trouble:
            (other,) = (server for server in self.servers if server.name != name)
            self._late = asyncio.create_task(other.come_up_late(LATE_S))
            await asyncio.sleep(0.01)
        self.answered_500 = self._record.write(name, "answers 500")
        writer.write(response_bytes(b"", 500))
        await writer.drain()


async def case(record: Record, trouble: bool) -> list[str]:
    """Send one order, and check the times of its attempts."""
    tier = Tier(record, trouble)
    for server in tier.servers:
        await server.start(backlog=0)
    discovery = Discovery(record, [server.entry() for server in tier.servers])
    await discovery.start()
    balancer = Balancer(record, settings(), discovery)
    try:
        await balancer.start()
        async with Client(balancer.port, record) as client:
            record.write("client", f"sends order {ORDER} with key {KEY}")
            client.send(
                request_bytes(ORDER, "place-order", 5000, b"window 3x2", f"Idempotency-Key: {KEY}\r\n")
            )
            with suppress(TimeoutError):
                await client.read_response(7.0)
    finally:
        await balancer.stop()
    if not tier.sent:
        raise NotRunError("no attempt arrived at a server")
    if trouble and tier.answered_500 is not None and len(tier.sent) > 1:
        waited_s = tier.sent[1] - tier.answered_500
        if waited_s < LATE_S:
            raise NotRunError(f"the connection was not late: the repeat came {waited_s:.3f} s after the 500")
    limit_s = WINDOW_MS / 1000.0 + SOCKET_SLACK_S + HOLD_UP_S
    ages = [sent - tier.sent[0] for sent in tier.sent[1:]]
    record.write("case", f"further attempts, seconds after the first: {ages}; limit {limit_s:.2f}")
    record.write("case", f"the order was run {tier.runs} times")
    return [f"an attempt {age:.3f} s after the first, limit {limit_s:.2f} s" for age in ages if age > limit_s]


if __name__ == "__main__":
    sys.exit(run_case(case, FOLDER))
