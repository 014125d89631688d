"""Behaviours of a fake server by name: responses and faults, each a `Behaviour` for `FakeUpstream`.

None of them sleeps: what waits, waits for an event or for the connection's end. Source: the project's own.
"""

from __future__ import annotations

import asyncio

from testkit.servers import Behaviour, Talk
from testkit.wire import Incoming, ok, status

# All behaviours take a request, though few look at it.
# ruff: noqa: ARG001


def responds(data: bytes) -> Behaviour:
    """Writes these bytes, whatever they are, in response to each request."""

    async def behave(request: Incoming, talk: Talk) -> None:
        await talk.send(data)

    return behave


def serves(body: bytes) -> Behaviour:
    """Responds to each request with status 200 and this body."""
    return responds(ok(body))


def fails_with(code: int) -> Behaviour:
    """Responds to each request with this status and no body."""
    return responds(status(code))


def waits_for(event: asyncio.Event, behaviour: Behaviour) -> Behaviour:
    """Behaves as `behaviour` once the event is set."""

    async def behave(request: Incoming, talk: Talk) -> None:
        await event.wait()
        await behaviour(request, talk)

    return behave


async def echoes_target(request: Incoming, talk: Talk) -> None:
    """Responds with the request's target as the body."""
    await talk.send(ok(request.target.encode()))


async def never_responds(request: Incoming, talk: Talk) -> None:
    """Sends nothing until the balancer closes."""
    await talk.ended()


async def disconnects(request: Incoming, talk: Talk) -> None:
    """Ends the connection in place of a response."""
    talk.reset()


def disconnects_after(body_bytes: int) -> Behaviour:
    """Begins a response, and ends the connection after so many bytes of its body."""

    async def behave(request: Incoming, talk: Talk) -> None:
        await talk.send(_truncated_response(body_bytes))
        talk.reset()

    return behave


def stalls_after(body_bytes: int) -> Behaviour:
    """Begins a response, and sends nothing more after so many bytes of its body."""

    async def behave(request: Incoming, talk: Talk) -> None:
        await talk.send(_truncated_response(body_bytes))
        await talk.ended()

    return behave


def _truncated_response(body_bytes: int) -> bytes:
    """A response that announces one byte more than it has."""
    return ok(b"x" * (body_bytes + 1))[:-1]
