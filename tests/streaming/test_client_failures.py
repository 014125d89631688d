"""Clients that disconnect in mid-body: their attempts are cancelled and not counted as failures of the
server.
"""

from __future__ import annotations

from sandhatch.balancing.events import Outcome
from testkit.clients import HttpClient
from tests.streaming.harness import (
    BODY,
    MIB,
    deployed,
    download_head,
    read_response,
    read_response_head,
    run,
    send_upload,
    serve_body,
    store_upload,
    upload_head,
)


def test_client_disconnect_in_mid_upload_cancels_the_attempt() -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(8 * MIB))
                client.send(BODY.prefix(MIB))
                await deployment.server.arrivals.get()
            await deployment.wait_until_idle()
            await deployment.wait_until_server_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [(record.status, record.truncated_by) for record in deployment.records] == [(0, "client")]

    run(scenario())


def test_client_disconnect_in_mid_response_is_not_counted_against_the_server() -> None:
    async def scenario() -> None:
        async with deployed(serve_body(64 * MIB)) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await read_response_head(client)
            await deployment.wait_until_idle()
            await deployment.wait_until_server_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(scenario())


def test_half_closed_client_gets_its_response_only_if_the_listener_allows_half_close() -> None:
    async def scenario() -> None:
        for half_close in (False, True):
            listeners = {"front": {"address": "127.0.0.1:0", "half_close": half_close}}
            async with (
                deployed(store_upload, listeners=listeners) as deployment,
                HttpClient(deployment.port) as client,
            ):
                await send_upload(client, MIB)
                client.writer.write_eof()
                if half_close:
                    assert (await read_response(client))[0] == 200
                else:
                    assert await client.read_to_end() == b""
                await deployment.wait_until_idle()

    run(scenario())
