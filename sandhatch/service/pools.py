"""Pools across versions: one dispatcher per fingerprint, shared by the versions with the same content.

A pool whose keys have not changed keeps its dispatcher, and with it its balancer, tokens and connections. One
that has changed gets a new dispatcher, which takes over the state of the old one
(`sandhatch.balancing.state_transfer`) and its idle connections; requests of older versions stay with the old
dispatcher until they have ended. Shortly before the drain's grace is over, older versions stop sending to
servers that the newer version does not list.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import ServerState
from sandhatch.balancing.state_transfer import inherit
from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_model import Pool
from sandhatch.config.pool_settings import pool_settings
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.discovery.static import StaticServer, StaticSource
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import Source
from sandhatch.runtime.address import parse_address
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.running_pool import RunningPool, pool_fingerprints
from sandhatch.service.server_registry import ServerRegistry

WITHDRAW_BEFORE_GRACE_END_MS = 500.0


@dataclass(slots=True, frozen=True)
class PoolStatus:
    """What one pool has at the moment.

    Attributes:
        fingerprint: The hash of what it is run by.
        name: In the configuration.
        versions: How many versions use it.
        ready_servers: Servers that requests may be sent to.
        servers: All servers that it knows.
        connections: To its servers.
        requests: Those that have not ended.
    """

    fingerprint: str
    name: str
    versions: int
    ready_servers: int
    servers: int
    connections: int
    requests: int


class Pools:
    """The pools of all versions that still have requests or may become active."""

    def __init__(self, shared: SharedResources) -> None:
        """Start without any pool."""
        self._shared = shared
        self.server_registry = ServerRegistry()
        self.alive: dict[str, RunningPool] = {}  # by fingerprint

    def stage(self, checked: CheckedConfiguration) -> dict[str, RunningPool]:
        """The version's pools by name, existing and new ones, each counted as used once more."""
        pools = {}
        for name, fingerprint in pool_fingerprints(checked).items():
            pool = self.alive.get(fingerprint)
            if pool is None:
                pool = self._build(name, fingerprint, checked)
                self.alive[fingerprint] = pool
            pool.version_count += 1
            pools[name] = pool
        return pools

    def _build(self, name: str, fingerprint: str, checked: CheckedConfiguration) -> RunningPool:
        spec = checked.model.pools[name]
        # Derived from the configured seed too, and different in each pool, so that draws are independent.
        seed = int(fingerprint[:15], 16)
        plan = PoolPlan(pool_settings(checked.model, spec), seed, spec.max_connections, spec.drain_grace_ms)
        dispatcher = Dispatcher(plan, self._shared, partial(self._build_source, name, spec))
        return RunningPool(name, fingerprint, spec, dispatcher)

    def _build_source(
        self, name: str, spec: Pool, notify: Callable[[Listing], None], log: Callable[[str], None]
    ) -> Source:
        if spec.source is None:
            return StaticSource((), notify)
        plan = DiscoveryPlan(parse_address(spec.source.discovery, "discovery"))
        return Discovery(plan, notify, lambda text: log(f"pool {name}: {text}"), self.server_registry.names)

    def activate(
        self,
        pools: dict[str, RunningPool],
        previous_pools: dict[str, RunningPool],
        now_ms: float,
        first: bool,
    ) -> None:
        """Make the pools the active ones in place of the previous ones.

        A pool that is new takes over the state of the previous one of its name; one that becomes active again
        after a rollback uses all of its servers again.

        Args:
            pools: Pools of the version that becomes active, by name.
            previous_pools: Pools of the version that was active, by name.
            now_ms: Unix milliseconds.
            first: Whether this is the first version of the process; its servers don't warm up.
        """
        for name, pool in pools.items():
            pool.superseded_at_ms = None
            previous = previous_pools.get(name)
            self._start(pool, now_ms, first)
            if previous is not pool:
                pool.dispatcher.restore()
                if previous is not None:
                    self._transfer_state(previous, pool)
        for name, previous in previous_pools.items():
            if pools.get(name) is not previous:
                previous.superseded_at_ms = now_ms

    def _start(self, pool: RunningPool, now_ms: float, first: bool) -> None:
        if pool.started:
            return
        pool.started = True
        if isinstance(pool.dispatcher.source, StaticSource):
            pool.dispatcher.source.servers = tuple(self._static_servers(pool.spec, now_ms, first))
        pool.dispatcher.source.start()

    def _static_servers(self, spec: Pool, now_ms: float, first: bool) -> list[StaticServer]:
        warms_up = not first and spec.new_servers == "cold"
        servers = []
        for server in (spec.servers or {}).values():
            since_ms = self.server_registry.listed_since_ms(server.address, now_ms if warms_up else 0.0)
            state = ServerState.READY if server.state == "ready" else ServerState.DRAINING
            address = parse_address(server.address, "address")
            number = self.server_registry.number(server.address)
            servers.append(StaticServer(number, address, state, server.weight, since_ms))
        return servers

    @staticmethod
    def _transfer_state(previous: RunningPool, successor: RunningPool) -> None:
        migrated_servers = previous.dispatcher.connection_pool.migrate_idle(
            successor.dispatcher.connection_pool
        )
        previous_balancer = previous.dispatcher.balancer
        balancer = successor.dispatcher.balancer
        if isinstance(balancer, Balancer) and isinstance(previous_balancer, Balancer):
            inherit(balancer, previous_balancer, frozenset(migrated_servers))

    def withdraw_unlisted(self, active_pools: dict[str, RunningPool], now_ms: float) -> None:
        """Stop superseded pools from sending to servers that their successors don't list."""
        for pool in self.alive.values():
            superseded_at_ms = pool.superseded_at_ms
            if superseded_at_ms is None:
                continue
            grace_ms = max(0.0, pool.spec.drain_grace_ms - WITHDRAW_BEFORE_GRACE_END_MS)
            if now_ms < superseded_at_ms + grace_ms:
                continue
            successor = active_pools.get(pool.name)
            listed = successor.ready_numbers if successor is not None else frozenset()
            pool.dispatcher.withdraw(listed, superseded_at_ms)

    def release(self, pools: dict[str, RunningPool]) -> None:
        """A version no longer uses these pools; one that no version uses ends."""
        for pool in pools.values():
            pool.version_count -= 1
            if pool.version_count == 0:
                del self.alive[pool.fingerprint]
                _stop(pool)
        self.server_registry.retain(
            {server.address for pool in self.alive.values() for server in (pool.spec.servers or {}).values()}
        )

    def close(self) -> None:
        """Stop following endpoint lists and close all connections to servers."""
        for pool in self.alive.values():
            _stop(pool)

    def status(self) -> list[PoolStatus]:
        """Each pool's servers, connections and requests."""
        return [
            PoolStatus(
                fingerprint=pool.fingerprint,
                name=pool.name,
                versions=pool.version_count,
                ready_servers=len(pool.ready_numbers),
                servers=len(pool.dispatcher.connection_pool.table),
                connections=pool.dispatcher.connection_pool.sockets,
                requests=pool.dispatcher.open,
            )
            for pool in self.alive.values()
        ]


def _stop(pool: RunningPool) -> None:
    pool.dispatcher.source.stop()
    pool.dispatcher.connection_pool.close()
