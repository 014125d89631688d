"""Pools of a versioned configuration whose endpoint lists come from the platform's discovery service."""

from __future__ import annotations

from typing import Any

import pytest

from sandhatch.config.version import State
from sandhatch.service import readiness
from testkit.clients import HttpClient
from testkit.discovery import FakeDiscovery
from tests.service.harness import FakeServers, run, serving


def discovered_pool(discovery: FakeDiscovery, **more: Any) -> dict[str, Any]:
    return {"source": {"discovery": f"127.0.0.1:{discovery.port}"}, "drain_grace_ms": 500} | more


def test_discovered_pool_has_its_list_when_activated_and_applies_later_updates() -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "b1", "b2", "o1")
        discovery = await FakeDiscovery([fake_servers.servers["b1"].entry("b1")]).start()
        async with (
            serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running,
            HttpClient(running.port) as client,
        ):
            version = await running.commit_and_confirm(
                fake_servers.config(discovered_pool(discovery), fake_servers.pool("o1"))
            )
            client.send_request()
            # The pool received its endpoint list before the version became active.
            assert (await client.read_response()).body == b"b1"
            discovery.change(
                fake_servers.servers["b1"].entry("b1", lifecycle="leaving"),
                fake_servers.servers["b2"].entry("b2"),
            )
            web = running.service.request_handler.current.pools["web"]  # type: ignore[union-attr]
            await running.wait_until(
                lambda: len(web.ready_numbers) == 1 and len(web.dispatcher.connection_pool.servers) == 2
            )
            client.send_request()
            assert (await client.read_response()).body == b"b2"
            # After a change of another key, the pool's new dispatcher watches the same endpoint list.
            await running.commit_and_confirm(
                fake_servers.config(discovered_pool(discovery, max_attempts=3), fake_servers.pool("o1"))
            )
            client.send_request()
            assert (await client.read_response()).body == b"b2"
            assert running.service.transactions.active.number == version.number + 1
        discovery.stop()
        fake_servers.close()

    run(scenario())


def test_version_whose_pool_receives_no_endpoint_list_fails_to_stage(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(readiness, "STAGE_TIMEOUT_S", 0.3)

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "o1")
        discovery = await FakeDiscovery([]).start()
        unreachable = {"source": {"discovery": f"127.0.0.1:{discovery.port}"}}
        async with (
            serving(fake_servers.config(fake_servers.pool("a1"), fake_servers.pool("o1"))) as running,
            HttpClient(running.port) as client,
        ):
            version = await running.commit(fake_servers.config(unreachable, fake_servers.pool("o1")))
            assert version.state is State.FAILED
            assert "pools.web: no list" in version.why
            client.send_request()
            assert (await client.read_response()).body == b"a1"
            assert len(running.service.pools.by_fingerprint) == 2
        discovery.stop()
        fake_servers.close()

    run(scenario())


def test_rollback_from_discovery_to_static_servers_uses_all_servers_again() -> None:
    """The superseded pool stops using its servers late in its drain grace; a rollback undoes this change."""

    async def scenario() -> None:
        fake_servers = await FakeServers().start("a1", "b1", "o1")
        discovery = await FakeDiscovery([fake_servers.servers["b1"].entry("b1")]).start()
        first = fake_servers.config(fake_servers.pool("a1", drain_grace_ms=500), fake_servers.pool("o1"))
        async with serving(first) as running, HttpClient(running.port) as client:
            old = running.service.request_handler.current
            assert old is not None
            second = fake_servers.config(discovered_pool(discovery), fake_servers.pool("o1"))
            await running.commit(second, until_terminal=False, confirm_within_ms=60_000.0)
            await running.wait_until(lambda: not old.pools["web"].ready_numbers)
            running.service.rollback()
            assert len(old.pools["web"].ready_numbers) == 1
            client.send_request()
            assert (await client.read_response()).body == b"a1"
        discovery.stop()
        fake_servers.close()

    run(scenario())
