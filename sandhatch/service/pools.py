"""Pools across versions: one dispatcher per fingerprint, shared by versions with equal pool configuration.

A pool whose configuration has not changed retains its dispatcher, and with it its balancer, tokens and
connections. A changed pool gets a new dispatcher, which inherits its predecessor's state
(`sandhatch.balancing.state_transfer`) and idle connections; requests of older versions stay with the
predecessor until they have ended. Shortly before the drain grace period ends, older versions stop sending to
servers that are not ready in the newer version.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from sandhatch.balancing import Balancer
from sandhatch.balancing.events import ServerState
from sandhatch.balancing.state_transfer import inherit_state
from sandhatch.config.check import CheckedConfiguration
from sandhatch.config.pool_model import Pool
from sandhatch.config.pool_settings import pool_settings
from sandhatch.discovery.client import Discovery, DiscoveryPlan
from sandhatch.discovery.endpoint_list import Listing
from sandhatch.discovery.static import StaticServer, StaticSource
from sandhatch.dispatch.dispatcher import Dispatcher
from sandhatch.dispatch.plan import PoolPlan
from sandhatch.dispatch.protocols import Source
from sandhatch.runtime.address import parse_address_setting
from sandhatch.runtime.shared_resources import SharedResources
from sandhatch.service.running_pool import RunningPool, pool_fingerprints
from sandhatch.service.server_registry import ServerRegistry

WITHDRAW_BEFORE_GRACE_END_MS = 500.0


@dataclass(slots=True, frozen=True)
class PoolStatus:
    """Present state of one pool.

    Attributes:
        fingerprint: Hash of the pool's configuration; see `pool_fingerprints`.
        name: Name of the pool in the configuration.
        versions: Number of versions that use the pool.
        ready_servers: Number of servers that may receive new requests.
        servers: Number of all servers of the pool.
        connections: Number of connections to the pool's servers.
        requests: Number of requests that have not ended.
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
        self.by_fingerprint: dict[
            str, RunningPool
        ] = {}  # key: fingerprint (hash) of the pool's configuration

    def stage(self, checked: CheckedConfiguration) -> dict[str, RunningPool]:
        """Return the version's pools by name, reused or newly built, and increment their version counts."""
        pools = {}
        for name, fingerprint in pool_fingerprints(checked).items():
            pool = self.by_fingerprint.get(fingerprint)
            if pool is None:
                pool = self._build(name, fingerprint, checked)
                self.by_fingerprint[fingerprint] = pool
            pool.version_count += 1
            pools[name] = pool
        return pools

    def _build(self, name: str, fingerprint: str, checked: CheckedConfiguration) -> RunningPool:
        spec = checked.model.pools[name]
        # The fingerprint covers the configured seed and differs between pools, so that the pools' random
        # draws are independent.
        seed = int(fingerprint[:15], 16)
        plan = PoolPlan(pool_settings(checked.model, spec), seed, spec.max_connections, spec.drain_grace_ms)
        dispatcher = Dispatcher(plan, self._shared, partial(self._build_source, name, spec))
        return RunningPool(name, fingerprint, spec, dispatcher)

    def _build_source(
        self, name: str, spec: Pool, notify: Callable[[Listing], None], log: Callable[[str], None]
    ) -> Source:
        if spec.source is None:
            return StaticSource((), notify)
        plan = DiscoveryPlan(parse_address_setting(spec.source.discovery, "discovery"))
        return Discovery(plan, notify, lambda text: log(f"pool {name}: {text}"), self.server_registry.names)

    def activate(
        self,
        pools: dict[str, RunningPool],
        previous_pools: dict[str, RunningPool],
        now_ms: float,
        first: bool,
    ) -> None:
        """Make these pools the active ones in place of the previous pools.

        A new pool inherits the state of the previous pool of its name. A pool that becomes active again after
        a rollback uses all of its servers again.

        Args:
            pools: Pools of the version that becomes active, by name.
            previous_pools: Pools of the version that was active, by name.
            now_ms: Time of the activation in Unix milliseconds.
            first: Whether the version is the first one of the process; its servers don't warm up.
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
            address = parse_address_setting(server.address, "address")
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
            inherit_state(balancer, previous_balancer, frozenset(migrated_servers))

    def withdraw_unlisted(self, active_pools: dict[str, RunningPool], now_ms: float) -> None:
        """Stop superseded pools from sending to servers that are not ready in the active pool of their name.

        A superseded pool stops at `WITHDRAW_BEFORE_GRACE_END_MS` before its drain grace period ends.
        """
        for pool in self.by_fingerprint.values():
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
        """Release the pools of a version that no longer uses them; a pool without versions is closed."""
        for pool in pools.values():
            pool.version_count -= 1
            if pool.version_count == 0:
                del self.by_fingerprint[pool.fingerprint]
                _stop_pool(pool)
        self.server_registry.retain(
            {
                server.address
                for pool in self.by_fingerprint.values()
                for server in (pool.spec.servers or {}).values()
            }
        )

    def close(self) -> None:
        """Stop watching endpoint lists and close all connections to servers."""
        for pool in self.by_fingerprint.values():
            _stop_pool(pool)

    def status(self) -> list[PoolStatus]:
        """Return the present state of each pool."""
        return [
            PoolStatus(
                fingerprint=pool.fingerprint,
                name=pool.name,
                versions=pool.version_count,
                ready_servers=len(pool.ready_numbers),
                servers=len(pool.dispatcher.connection_pool.servers),
                connections=pool.dispatcher.connection_pool.connection_count,
                requests=pool.dispatcher.open_exchange_count,
            )
            for pool in self.by_fingerprint.values()
        ]


def _stop_pool(pool: RunningPool) -> None:
    pool.dispatcher.source.stop()
    pool.dispatcher.connection_pool.close()
