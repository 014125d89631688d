"""Pools across versions: one engine for each content of a pool, shared by the versions that say the same of
it.

A pool whose keys have not changed keeps its engine, and with it its balancer, tokens and connections. One
that has changed gets a new engine, which takes over what the old one knows
(`sandhatch.balancing.state_transfer`) and its idle connections; requests of older versions stay with the old
engine until they have ended. From shortly before the drain's grace is over, what the newer version no longer
lists gets nothing new from older ones either.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from typing import Any

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import ServerState
from sandhatch.balancing.state_transfer import inherit
from sandhatch.config.check import Checked, pool_settings
from sandhatch.config.model import Pool
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.discovery.names import Names
from sandhatch.discovery.static import StaticServer, StaticSource
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import Source
from sandhatch.runtime.address import Address, parse_address
from sandhatch.runtime.shared import SharedResources

STAGE_S = 5.0  # for a list to come and a server to be reached
PROBED = 8  # servers tried at once, in looking for one that can be reached
WITHDRAW_BEFORE_MS = (
    500.0  # before the grace is over, older versions stop sending to what is not listed any more
)


class StageError(Exception):
    """A pool can't be made ready; the message says which and why."""


def contents_of(checked: Checked) -> dict[str, str]:
    """What each pool is run by, as one word: pools of two versions that share it are the same pool."""
    model = checked.model
    common = json.dumps(
        {
            "classes": [(name, item.model_dump()) for name, item in model.classes.items()],
            "tenants": [(name, item.model_dump()) for name, item in model.tenants.items()],
            "seed": model.seed,
            "place": model.planning.place if model.planning is not None else 0,
        }
    )
    return {
        name: sha256(json.dumps([common, name, pool.model_dump()]).encode()).hexdigest()
        for name, pool in model.pools.items()
    }


class Book:
    """Servers by address: their numbers, and since when the configuration lists them. Both outlast a version,
    so that a server that goes from pool to pool is neither cold again nor a stranger.
    """

    def __init__(self) -> None:
        self.names = Names((), ())
        self._since: dict[str, float] = {}
        self._called: dict[int, str] = {}

    def number(self, address: str) -> int:
        return self.names.server(address)

    def name(self, number: int) -> str:
        """What a server is called in logs: its address, or discovery's id for it."""
        name = self._called.get(number)
        if name is None:
            self._called = {number: name for name, number in self.names.known()}
            name = self._called.get(number, str(number))
        return name

    def since(self, address: str, now_ms: float) -> float:
        """When it was first listed, in Unix milliseconds; 0 stands for before the process began."""
        return self._since.setdefault(address, now_ms)

    def keep(self, addresses: set[str]) -> None:
        """Forget the others: if one of them comes back, it may be another process."""
        self._since = {address: since for address, since in self._since.items() if address in addresses}


@dataclass(eq=False)
class RunningPool:
    """One engine and the versions that hold it."""

    name: str
    content: str
    spec: Pool
    dispatcher: Dispatcher
    holders: int = 0
    started: bool = False
    withdraw_at_ms: float | None = None

    @property
    def ready_numbers(self) -> frozenset[int]:
        table = self.dispatcher.connection_pool.table
        return frozenset(n for n, upstream in table.items() if upstream.state is ServerState.READY)


class Pools:
    """The pools of all versions that are alive."""

    def __init__(self, shared: SharedResources) -> None:
        self._shared = shared
        self.book = Book()
        self.alive: dict[str, RunningPool] = {}  # by content

    def stage(self, checked: Checked) -> dict[str, RunningPool]:
        """The version's pools, those that there are already and new ones. Each is held once."""
        pools = {}
        for name, content in contents_of(checked).items():
            pool = self.alive.get(content)
            if pool is None:
                pool = self.alive[content] = self._make(name, content, checked)
            pool.holders += 1
            pools[name] = pool
        return pools

    def _make(self, name: str, content: str, checked: Checked) -> RunningPool:
        spec = checked.model.pools[name]
        # Made of the configured seed too, and differs from pool to pool, so that draws do not go in step.
        seed = int(content[:15], 16)
        plan = PoolPlan(pool_settings(checked.model, spec), seed, spec.max_connections, spec.drain_grace_ms)

        def source(tell: Callable[[Listing], None], log: Callable[[str], None]) -> Source:
            if spec.source is not None:
                address = parse_address(spec.source.discovery, "discovery")
                found = DiscoveryPlan(address)
                return Discovery(found, tell, lambda text: log(f"pool {name}: {text}"), self.book.names)
            return StaticSource((), tell)

        return RunningPool(name, content, spec, Dispatcher(plan, self._shared, source))

    async def warm(self, pool: RunningPool) -> None:
        """Wait for its list, and see that a server can be connected to; StageError says why not."""
        try:
            async with asyncio.timeout(STAGE_S):
                if pool.spec.source is not None:
                    await self._listed(pool)
                    targets = [
                        upstream.address for upstream in pool.dispatcher.connection_pool.table.values()
                    ]
                else:
                    targets = [
                        parse_address(server.address, "address")
                        for server in (pool.spec.servers or {}).values()
                        if server.state == "ready"
                    ]
                if not pool.spec.require_reachable:
                    return
                if not targets:
                    raise StageError(f"pools.{pool.name}: no server is ready")
                await self._reach(pool.name, targets)
        except TimeoutError:
            raise StageError(f"pools.{pool.name}: no list or no connection within {STAGE_S:g} s") from None

    async def _listed(self, pool: RunningPool) -> None:
        if not pool.started:
            pool.started = True
            pool.dispatcher.source.start()
            if pool.spec.source is not None and pool.spec.source.ask:
                pool.dispatcher.source.fetch()
        while not pool.dispatcher.ready:
            await asyncio.sleep(0.01)

    @staticmethod
    async def _reach(name: str, targets: list[Address]) -> None:
        """One connection to any of the servers, closed at once: nothing is sent on it."""
        problem = "no server"
        for at in range(0, len(targets), PROBED):
            tries = [asyncio.create_task(_connects(target)) for target in targets[at : at + PROBED]]
            try:
                for done in asyncio.as_completed(tries):
                    failure = await done
                    if failure is None:
                        return
                    problem = failure
            finally:
                for task in tries:
                    task.cancel()
        raise StageError(f"pools.{name}: no server can be connected to; {problem}")

    def enter(
        self, pools: dict[str, RunningPool], before: dict[str, RunningPool], now_ms: float, first: bool
    ) -> None:
        """The pools are in force from now, in place of those before. One that is new takes over from the one
        of its name; one that leads back counts in full again.
        """
        for name, pool in pools.items():
            pool.withdraw_at_ms = None
            past = before.get(name)
            self._start(pool, now_ms, first)
            if past is not pool:
                pool.dispatcher.restore()
                if past is not None:
                    self._succeed(pool, past)
        for name, past in before.items():
            if pools.get(name) is not past:
                past.withdraw_at_ms = now_ms

    def _start(self, pool: RunningPool, now_ms: float, first: bool) -> None:
        if pool.started:
            return
        pool.started = True
        if isinstance(pool.dispatcher.source, StaticSource):
            pool.dispatcher.source.servers = tuple(self._servers(pool.spec, now_ms, first))
        pool.dispatcher.source.start()

    def _servers(self, spec: Pool, now_ms: float, first: bool) -> list[StaticServer]:
        rows = []
        for server in (spec.servers or {}).values():
            cold = not first and spec.new_servers == "cold"
            since = self.book.since(server.address, now_ms if cold else 0.0)
            state = ServerState.READY if server.state == "ready" else ServerState.DRAINING
            address = parse_address(server.address, "address")
            rows.append(StaticServer(self.book.number(server.address), address, state, server.weight, since))
        return rows

    @staticmethod
    def _succeed(pool: RunningPool, past: RunningPool) -> None:
        given = past.dispatcher.connection_pool.hand_over(pool.dispatcher.connection_pool)
        successor, known = pool.dispatcher.balancer, past.dispatcher.balancer
        if isinstance(successor, Balancer) and isinstance(known, Balancer):
            inherit(successor, known, frozenset(given))

    def narrow(self, in_force: dict[str, RunningPool], now_ms: float) -> None:
        """Called now and then: pools of older versions stop sending to what is not listed any more."""
        for pool in self.alive.values():
            at = pool.withdraw_at_ms
            if at is None or now_ms < at + max(0.0, pool.spec.drain_grace_ms - WITHDRAW_BEFORE_MS):
                continue
            successor = in_force.get(pool.name)
            pool.dispatcher.withdraw(successor.ready_numbers if successor is not None else frozenset(), at)

    def release(self, pools: dict[str, RunningPool]) -> None:
        """A version has let them go; one that no version holds ends."""
        for pool in pools.values():
            pool.holders -= 1
            if pool.holders == 0:
                del self.alive[pool.content]
                pool.dispatcher.source.stop()
                pool.dispatcher.connection_pool.close()
        self.book.keep(
            {server.address for pool in self.alive.values() for server in (pool.spec.servers or {}).values()}
        )

    def close(self) -> None:
        for pool in self.alive.values():
            pool.dispatcher.source.stop()
            pool.dispatcher.connection_pool.close()

    def status(self) -> dict[str, Any]:
        """For people: each pool's servers and connections."""
        return {
            pool.content[:8]: {
                "pool": pool.name,
                "versions": pool.holders,
                "ready": len(pool.ready_numbers),
                "servers": len(pool.dispatcher.connection_pool.table),
                "connections": pool.dispatcher.connection_pool.sockets,
                "requests": pool.dispatcher.open,
            }
            for pool in self.alive.values()
        }


async def _connects(target: Address) -> str | None:
    """Why it can't be connected to, None if it can."""
    try:
        _, writer = await asyncio.open_connection(*target)
    except OSError as problem:
        return f"{target[0]}:{target[1]}: {problem.strerror or problem}"
    writer.transport.abort()
    return None
