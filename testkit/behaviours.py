"""Named behaviours of a fake server: responses and faults, each a `Behaviour` for `FakeServer`.

No behaviour sleeps: it waits only for an event or for the end of the connection. Source:
none; written for this project.
"""

from __future__ import annotations

import asyncio
from functools import partial

from testkit.servers import Behaviour, FakeConnection
from testkit.wire import ReceivedRequest, ok, status

# Every behaviour takes a request, although few behaviours use the argument.
# ruff: noqa: ARG001


def responds(data: bytes) -> Behaviour:
    """Writes `data` unchanged in response to each request."""
    return partial(_send, data)


def serves(body: bytes) -> Behaviour:
    """Responds to each request with status 200 and this body."""
    return responds(ok(body))


def fails_with(code: int) -> Behaviour:
    """Responds to each request with this status and no body."""
    return responds(status(code))


def waits_for(event: asyncio.Event, behaviour: Behaviour) -> Behaviour:
    """Behaves as `behaviour` once the event is set."""
    return partial(_wait_and_behave, event, behaviour)


async def echoes_target(request: ReceivedRequest, connection: FakeConnection) -> None:
    """Responds with the request's target as the body."""
    await connection.send(ok(request.target.encode()))


async def never_responds(request: ReceivedRequest, connection: FakeConnection) -> None:
    """Sends nothing until the balancer closes the connection."""
    await connection.ended()


async def disconnects(request: ReceivedRequest, connection: FakeConnection) -> None:
    """Resets the connection instead of sending a response."""
    connection.reset()


def disconnects_after(sent_body_bytes: int) -> Behaviour:
    """Begins a response, and resets the connection after `sent_body_bytes` of its body."""
    return partial(_send_and_disconnect, _truncated_response(sent_body_bytes))


def stalls_after(body_bytes: int) -> Behaviour:
    """Begins a response, and sends nothing after the first `body_bytes` of its body."""
    return partial(_send_and_stall, _truncated_response(body_bytes))


async def _send(data: bytes, request: ReceivedRequest, connection: FakeConnection) -> None:
    await connection.send(data)


async def _wait_and_behave(
    event: asyncio.Event, behaviour: Behaviour, request: ReceivedRequest, connection: FakeConnection
) -> None:
    await event.wait()
    await behaviour(request, connection)


async def _send_and_disconnect(data: bytes, request: ReceivedRequest, connection: FakeConnection) -> None:
    await connection.send(data)
    connection.reset()


async def _send_and_stall(data: bytes, request: ReceivedRequest, connection: FakeConnection) -> None:
    await connection.send(data)
    await connection.ended()


def _truncated_response(body_bytes: int) -> bytes:
    """Returns a response whose Content-Length is one byte more than the size of its body."""
    return ok(b"x" * (body_bytes + 1))[:-1]
