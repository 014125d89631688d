"""Clients that break off in the middle of a body: their attempts are cancelled, and no server is at fault."""

from __future__ import annotations

from sandhatch.balancing.events import Outcome
from testkit.clients import HttpClient
from tests.streaming.harness import (
    BODY,
    MIB,
    deployed,
    download_head,
    response_head,
    response_of,
    run,
    send_upload,
    serve_body,
    store_upload,
    upload_head,
)


def test_a_client_that_disconnects_in_mid_upload_cancels_its_attempt() -> None:
    async def work() -> None:
        async with deployed(store_upload) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(upload_head(8 * MIB))
                client.send(BODY.prefix(MIB))
                await deployment.server.arrived.get()
            await deployment.until_idle()
            await deployment.until_server_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]
            assert [(record.status, record.truncated_by) for record in deployment.records] == [(0, "client")]

    run(work())


def test_a_client_that_disconnects_in_mid_answer_is_not_counted_against_the_server() -> None:
    async def work() -> None:
        async with deployed(serve_body(64 * MIB)) as deployment:
            async with HttpClient(deployment.port) as client:
                client.send(download_head())
                await response_head(client)
            await deployment.until_idle()
            await deployment.until_server_idle()
            assert deployment.decisions.outcomes == [Outcome.CANCELLED]

    run(work())


def test_a_half_closed_client_gets_its_answer_where_the_listener_allows_it() -> None:
    async def work() -> None:
        for half_close in (False, True):
            listeners = {"front": {"address": "127.0.0.1:0", "half_close": half_close}}
            async with (
                deployed(store_upload, listeners=listeners) as deployment,
                HttpClient(deployment.port) as client,
            ):
                await send_upload(client, MIB)
                client.writer.write_eof()
                if half_close:
                    assert (await response_of(client))[0] == 200
                else:
                    assert await client.read_to_end() == b""
                await deployment.until_idle()

    run(work())
