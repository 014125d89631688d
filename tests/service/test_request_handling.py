"""Routes, fixed responses and requests with missing headers, handled by a service."""

from __future__ import annotations

from testkit.clients import HttpClient
from tests.service.harness import FakeServers, run, serving


def test_routes_fixed_responses_and_requests_without_class_or_id_are_handled() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        data = fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))
        data["routes"] += [
            {
                "name": "gone",
                "match": {"path": {"exact": "/gone"}},
                "to": {"answer": {"status": 410, "body": "no"}},
            },
            {
                "name": "host",
                "match": {"hosts": ["orders.example"], "methods": ["GET"]},
                "to": {
                    "weighted": {"pools": [{"pool": "orders", "weight": 1}, {"pool": "web", "weight": 0}]}
                },
            },
        ]
        async with serving(data) as running, HttpClient(running.port) as client:
            client.send(b"GET /gone?x=1 HTTP/1.1\r\nHost: h\r\n\r\n")
            fixed = await client.read_response()
            assert (fixed.status, fixed.body, fixed.headers["content-type"]) == (410, b"no", "text/plain")
            client.send(b"GET /any HTTP/1.1\r\nHost: Orders.example:8080\r\n\r\n")
            assert (await client.read_response()).body == b"o1"
            seen = fake_servers.servers["o1"].requests[0]
            assert len(seen.headers["x-trace-id"]) == 32
            client.send(b"BREW / HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await client.read_response()).status == 400
        async with serving(data) as running, HttpClient(running.port) as client:
            client.send(b"OPTIONS /gone HTTP/1.1\r\nHost: h\r\n\r\n")
            assert (await client.read_response()).status == 405
            assert [record.route for record in running.records] == []
        fake_servers.close()

    run(scenario())
