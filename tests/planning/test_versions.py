"""Planners as part of a configuration that is changed under traffic."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from sandhatch.config.version import State
from testkit.clients import HttpClient
from tests.planning.harness import planning, until
from tests.service.harness import Farm, run, serving


def with_planner(farm: Farm, key: Path, port: int, **more: Any) -> dict[str, Any]:
    spec = {
        "shared_key_file": str(key),
        "planners": {"p0": {"address": f"127.0.0.1:{port}"}},
        "most_lease_ms": 3_100,
        "report_ms": 50,
    }
    return farm.config(farm.pool("w1", "w2"), farm.pool("o1"), planning=spec | more)


def key_file(tmp_path: Path) -> Path:
    key = tmp_path / "key"
    key.write_text((b"k" * 32).hex())
    key.chmod(0o600)
    return key


def test_a_version_whose_key_can_not_be_read_is_not_applied_and_says_why(tmp_path: Path) -> None:
    async def work() -> None:
        farm = await Farm().start("w1", "w2", "o1")
        plain = farm.config(farm.pool("w1", "w2"), farm.pool("o1"))
        async with serving(plain) as kept, HttpClient(kept.port) as client:
            version = await kept.commit(with_planner(farm, tmp_path / "none", 1))
            assert version.state is State.FAILED
            assert "planning: " in version.why and "No such file or directory" in version.why
            client.ask()
            assert (await client.answer()).status == 200
        farm.close()

    run(work())


def test_planners_come_change_and_go_with_versions_while_requests_run(tmp_path: Path) -> None:
    key = key_file(tmp_path)

    async def work() -> None:
        farm = await Farm().start("w1", "w2", "o1")
        plain = farm.config(farm.pool("w1", "w2"), farm.pool("o1"))
        async with planning() as planner, serving(plain) as kept, HttpClient(kept.port) as client:
            forwarding = kept.service.forwarding

            async def asked() -> None:
                client.ask()
                assert (await client.answer()).status == 200

            await asked()
            assert forwarding.status() is None
            await kept.confirmed(with_planner(farm, key, planner.port))
            link = forwarding.link
            assert link is not None and set(link.pools) == {"web", "orders"}
            await until(lambda: "web" in planner.planner.pools)
            assert list(planner.planner.members) == ["forwarder-0"]
            await asked()
            load = planner.planner.pools["web"].load
            await until(lambda: sum(view.calls for view in load.servers.values()) > 0.0)
            # A pool changes: the link stays, and goes on hearing of the pool.
            data = with_planner(farm, key, planner.port)
            data["pools"]["web"]["max_attempts"] = 3
            data["pools"]["orders"]["planned"] = False
            await kept.confirmed(data)
            assert forwarding.link is link and link.pools == ["web"]
            await asked()
            await until(lambda: load.members["forwarder-0"].demand_per_s > 0.0)
            await until(lambda: not planner.planner.pools["orders"].load.members)
            # Its lent parts are known to the link that comes after it.
            await until(lambda: link.machine.leased_to == "p0")
            bound = link.machine.bound_ms
            await kept.confirmed(with_planner(farm, key, planner.port, name="other"))
            later = forwarding.link
            assert later is not None and later is not link
            assert later.machine.bound_ms >= bound - 1.0
            await until(lambda: "other" in planner.planner.members)
            await kept.confirmed(plain)
            assert forwarding.link is None
            await asked()
        farm.close()

    run(work())
