"""Ends of a response that nothing but the end of the stream delimits: an orderly end completes it, a reset
does not, in whatever order the event loop sees them.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from sandhatch.balancing.events import Outcome
from sandhatch.upstream.connection import ServerConnection
from testkit.polling import wait_until
from testkit.wire import Response
from tests.event_loop import run
from tests.race_conditions.harness import (
    ManualServerSetup,
    accept_request,
    balancer_descriptor,
    balancer_in_front_of_manual_server,
    block_until_readable,
    block_until_reset,
    only_server_connection,
    reset,
)

RESPONSE = b"HTTP/1.1 200 OK\r\n\r\nserved"


@dataclass
class UnreadResponse:
    """A response without a length that the server has sent, and that the balancer has not read yet."""

    setup: ManualServerSetup
    server_side: socket.socket
    connection: ServerConnection
    descriptor: int

    async def read(self) -> Response:
        """Return what the client gets."""
        return await self.setup.client.read_response()

    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of all attempts."""
        return [event.outcome for event in self.setup.script.attempt_ends()]


@asynccontextmanager
async def unread_response() -> AsyncIterator[UnreadResponse]:
    """Send a request and its response; block the event loop until the kernel has received the response."""
    async with balancer_in_front_of_manual_server() as setup:
        setup.client.send_request("move", b"x")
        server_side = (await accept_request(setup.listener)).connection
        connection = only_server_connection(setup.balancer)
        descriptor = balancer_descriptor(connection)
        server_side.sendall(RESPONSE)
        block_until_readable(descriptor)
        yield UnreadResponse(setup, server_side, connection, descriptor)


@pytest.mark.parametrize("read_before", [False, True], ids=["unread", "read"])
def test_reset_does_not_complete_a_response_without_a_length(read_before: bool) -> None:
    """Guards against a truncated response that is forwarded as complete."""

    async def scenario() -> None:
        async with unread_response() as response:
            if read_before:
                await wait_until(lambda: response.connection._parser.body_bytes, "the body is read")
            reset(response.server_side)
            block_until_reset(response.descriptor)
            assert (await response.read()).status == 502
            assert response.outcomes() == [Outcome.RESET]

    run(scenario())


def test_reset_whose_error_a_write_has_received_does_not_complete_a_response_without_a_length() -> None:
    """Guards against taking a reset for an orderly end: the kernel reports its error once, then an end of
    stream.
    """

    async def scenario() -> None:
        async with unread_response() as response:
            reset(response.server_side)
            block_until_reset(response.descriptor)
            with socket.socket(fileno=socket.dup(response.descriptor)) as balancer_side:
                error = balancer_side.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)  # as a write would
            assert error == errno.ECONNRESET
            assert (await response.read()).status == 502
            assert response.outcomes() == [Outcome.RESET]

    run(scenario())


def test_orderly_end_behind_unread_bytes_completes_a_response_without_a_length() -> None:
    """Guards against the loss of a complete response of a server that closes at once."""

    async def scenario() -> None:
        async with unread_response() as response:
            response.server_side.close()
            received = await response.read()
            assert (received.status, received.body) == (200, b"served")
            assert response.outcomes() == [Outcome.OK]

    run(scenario())


def test_response_without_a_length_that_ends_before_its_request_is_sent_fails() -> None:
    """Guards against an end of stream that stands for a reset of which a write of the request was told."""

    async def scenario() -> None:
        async with unread_response() as response:
            attempt = response.connection._attempt
            assert attempt is not None
            attempt.sent_enough_to_run = False  # simulates a body larger than the socket buffers
            response.server_side.close()
            assert (await response.read()).status == 502
            assert response.outcomes() == [Outcome.RESET]

    run(scenario())
