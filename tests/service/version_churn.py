"""Random changes of the configuration, and the check that no request uses a mixture of versions."""

from __future__ import annotations

import asyncio
from copy import deepcopy
from random import Random
from typing import Any

import pytest

from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.version import State
from tests.service.harness import FakeServers, RunningService

NON_IDEMPOTENT = frozenset(("order",))


def choose_request(rng: Random) -> tuple[str, str]:
    """Draw the class and target of a request."""
    return ("order", "/orders/new") if rng.random() < 0.4 else ("look", "/pages")


def configuration_variants(fake_servers: FakeServers) -> list[dict[str, Any]]:
    """Return configurations to change between; they differ in the pools' servers, routes or settings."""
    first = fake_servers.config(fake_servers.pool("a1", "a2"), fake_servers.pool("o1", "o2"))
    replaced_pool = fake_servers.config(fake_servers.pool("b1", "b2"), fake_servers.pool("o1", "o2"))
    replaced_server = fake_servers.config(fake_servers.pool("a1", "a2"), fake_servers.pool("o2", "o3"))
    exchanged_servers = fake_servers.config(fake_servers.pool("o1", "a1"), fake_servers.pool("a2", "o2"))
    exchanged_routes = deepcopy(first)
    exchanged_routes["routes"] = [
        {"name": "orders", "match": {"path": {"prefix": "/orders"}}, "to": {"pool": "web"}}
    ]
    exchanged_routes["default"] = {"pool": "orders"}
    changed_settings = fake_servers.config(
        fake_servers.pool("a1", "a2", max_attempts=3, max_connections=64),
        fake_servers.pool("o1", "o2", copies=2),
    )
    return [first, replaced_pool, replaced_server, exchanged_servers, exchanged_routes, changed_settings]


def check_no_mixture(running: RunningService, config_by_version: dict[int, dict[str, Any]]) -> None:
    """Assert that each request record's route, pool and servers belong to the record's version."""
    for record in running.records:
        data = config_by_version[record.version]
        to = data["default"] if record.route == "default" else data["routes"][0]["to"]
        assert record.pool == to["pool"], record
        allowed = {server["address"] for server in data["pools"][record.pool]["servers"].values()}
        for number in record.servers:
            assert running.service.pools.server_registry.name(number) in allowed, record


async def churn(
    running: RunningService,
    choices: list[dict[str, Any]],
    commits: int,
    seed: int,
    pause_s: float = 0.0,
) -> dict[int, Any]:
    """Run random commits, confirmations and rollbacks; return each version's configuration by its number."""
    rng = Random(seed)
    service = running.service
    config_by_version = {1: service.transactions.active.data}
    for _ in range(commits):
        await asyncio.sleep(pause_s)
        confirm_within_ms = 60_000.0 if rng.random() < 0.4 else None
        choice = rng.choice(choices)
        if choice == service.transactions.active.data:
            with pytest.raises(RejectedError) as rejected:
                service.commit(running.propose(choice), confirm_within_ms)
            assert rejected.value.reason is RejectionReason.NOTHING
            continue
        version = service.commit(running.propose(choice), confirm_within_ms)
        config_by_version[version.number] = version.data
        await service.wait_until_decided(version)
        assert version.state is not State.FAILED, version.why
        if rng.random() < 0.5:
            await asyncio.sleep(rng.random() * 0.02)
        if version.state is State.ACTIVE:
            if rng.random() < 0.6:
                service.rollback("test")
            else:
                service.confirm()
        await service.wait_until_decided(version, until_terminal=True)
    return config_by_version
