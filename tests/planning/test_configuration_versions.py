"""Changes of the configured planners while requests are served."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from sandhatch.config.version import State
from sandhatch.planning.server import PlannerServer
from testkit.clients import HttpClient
from testkit.polling import wait_until
from tests.planning.harness import planner_server
from tests.service.harness import FakeServers, RunningService, run, serving


def with_planner(fake_servers: FakeServers, key: Path, port: int, **overrides: Any) -> dict[str, Any]:
    planning_settings = {
        "shared_key_file": str(key),
        "planners": {"p0": {"address": f"127.0.0.1:{port}"}},
        "most_lease_ms": 3_100,
        "report_ms": 50,
    }
    return fake_servers.config(
        fake_servers.pool("w1", "w2"), fake_servers.pool("o1"), planning=planning_settings | overrides
    )


def key_file(tmp_path: Path) -> Path:
    key = tmp_path / "key"
    key.write_text((b"k" * 32).hex())
    key.chmod(0o600)
    return key


def test_a_version_with_an_unreadable_key_file_is_not_applied_and_states_the_reason(tmp_path: Path) -> None:
    async def scenario() -> None:
        fake_servers = await FakeServers().start("w1", "w2", "o1")
        plain = fake_servers.config(fake_servers.pool("w1", "w2"), fake_servers.pool("o1"))
        async with serving(plain) as running, HttpClient(running.port) as client:
            version = await running.commit(with_planner(fake_servers, tmp_path / "none", 1))
            assert version.state is State.FAILED
            assert "planning: " in version.why
            assert "No such file or directory" in version.why
            client.send_request()
            assert (await client.read_response()).status == 200
        fake_servers.close()

    run(scenario())


async def check_request_is_served(client: HttpClient) -> None:
    client.send_request()
    assert (await client.read_response()).status == 200


async def change_a_pool(
    fake_servers: FakeServers, key: Path, planner: PlannerServer, running: RunningService, client: HttpClient
) -> None:
    """Check that the link is retained and still observes the pool, and that the other pool is detached."""
    link = running.service.forwarding.link
    data = with_planner(fake_servers, key, planner.port)
    data["pools"]["web"]["max_attempts"] = 3
    data["pools"]["orders"]["planned"] = False
    await running.commit_and_confirm(data)
    assert link is not None
    assert running.service.forwarding.link is link
    assert link.pools == ["web"]
    await check_request_is_served(client)
    pools = planner.planner.pools
    await wait_until(lambda: pools["web"].load.members["forwarder-0"].demand_per_s > 0.0)
    await wait_until(lambda: not pools["orders"].load.members)


async def replace_the_link(
    fake_servers: FakeServers, key: Path, planner: PlannerServer, running: RunningService
) -> None:
    """Check that the new link keeps the old link's end of the lease of the forwarder's shares."""
    link = running.service.forwarding.link
    assert link is not None
    await wait_until(lambda: link.forwarder.leased_to == "p0")
    lease_end_ms = link.forwarder.leased_until_ms
    await running.commit_and_confirm(with_planner(fake_servers, key, planner.port, name="other"))
    replacement = running.service.forwarding.link
    assert replacement is not None
    assert replacement is not link
    assert replacement.forwarder.leased_until_ms >= lease_end_ms - 1.0
    await wait_until(lambda: "other" in planner.planner.members)


def test_planners_are_added_changed_and_removed_while_requests_are_served(tmp_path: Path) -> None:
    key = key_file(tmp_path)

    async def scenario() -> None:
        fake_servers = await FakeServers().start("w1", "w2", "o1")
        plain = fake_servers.config(fake_servers.pool("w1", "w2"), fake_servers.pool("o1"))
        async with planner_server() as planner, serving(plain) as running, HttpClient(running.port) as client:
            forwarding = running.service.forwarding
            await check_request_is_served(client)
            assert forwarding.status() is None
            await running.commit_and_confirm(with_planner(fake_servers, key, planner.port))
            assert forwarding.link is not None
            assert set(forwarding.link.pools) == {"web", "orders"}
            await wait_until(lambda: "web" in planner.planner.pools)
            assert list(planner.planner.members) == ["forwarder-0"]
            await check_request_is_served(client)
            load = planner.planner.pools["web"].load
            await wait_until(lambda: sum(view.attempts for view in load.servers.values()) > 0.0)
            await change_a_pool(fake_servers, key, planner, running, client)
            await replace_the_link(fake_servers, key, planner, running)
            await running.commit_and_confirm(plain)
            assert forwarding.link is None
            await check_request_is_served(client)
        fake_servers.close()

    run(scenario())
