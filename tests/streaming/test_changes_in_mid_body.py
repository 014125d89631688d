"""Changes while a body is streamed: a draining server, a new configuration, and a graceful shutdown."""

from __future__ import annotations

import asyncio

from testkit.clients import HttpClient
from testkit.streaming_server import StreamingServer
from tests.streaming.harness import (
    BODY,
    KIB,
    MIB,
    Deployment,
    assert_stored,
    deployed,
    read_response,
    read_response_head,
    run,
    send_upload,
    store_upload,
    upload_head,
)

SIZE = 4 * MIB
FIRST_PART = BODY.prefix(SIZE)[:MIB]
REST = BODY.prefix(SIZE)[MIB:]


async def begin_upload(deployment: Deployment, client: HttpClient) -> StreamingServer:
    """Send the first part of a body; returns the server that receives it."""
    client.send(upload_head(SIZE) + FIRST_PART)
    await deployment.wait_until(lambda: deployment.requests_seen > 0)
    return next(server for server in deployment.servers if server.received_requests)


def test_draining_server_finishes_the_current_body_and_gets_no_new_requests() -> None:
    async def scenario() -> None:
        async with deployed(store_upload, store_upload) as deployment, HttpClient(deployment.port) as client:
            receiving_server = await begin_upload(deployment, client)
            data = deployment.active_configuration()
            servers = data["pools"]["drawings"]["servers"]
            server_name = next(
                name for name, row in servers.items() if row["address"].endswith(f":{receiving_server.port}")
            )
            servers[server_name]["state"] = "draining"
            await deployment.running.commit_and_confirm(data)
            await asyncio.sleep(2.1)  # longer than the grace period of a drain
            client.send(REST)
            assert (await read_response(client))[0] == 200
            for _ in range(8):
                async with HttpClient(deployment.port) as other:
                    await send_upload(other, 100 * KIB)
                    assert (await read_response(other))[0] == 200
            assert len(receiving_server.received_requests) == 1
            await deployment.wait_until_idle()

    run(scenario())


def test_body_is_completed_under_the_configuration_version_it_began_with() -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            await begin_upload(deployment, client)
            data = deployment.active_configuration()
            data["default"] = {"answer": {"status": 404}}
            data["classes"]["draw"]["bodies"]["request"]["most_bytes"] = 1024
            await deployment.running.commit_and_confirm(data)
            client.send(REST)
            await assert_stored(client, SIZE)
            async with HttpClient(deployment.port) as other:
                other.send(upload_head(MIB))
                assert (await read_response_head(other))[0] == 404
            await deployment.wait_until(lambda: bool(deployment.records))
            assert deployment.records[0].version == 1

    run(scenario())


def test_graceful_shutdown_waits_for_the_end_of_a_streamed_body() -> None:
    async def scenario() -> None:
        async with deployed(store_upload) as deployment, HttpClient(deployment.port) as client:
            await begin_upload(deployment, client)
            draining = asyncio.create_task(deployment.service.drain())
            await asyncio.sleep(0.7)  # longer than the period in which new connections are still accepted
            assert not draining.done()
            client.send(REST)
            status, headers = await read_response_head(client)
            assert (status, headers["connection"]) == (200, "close")
            await draining

    run(scenario())
